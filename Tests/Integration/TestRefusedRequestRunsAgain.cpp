#include <TestMain.h>

#include "CrashingSite.h"
#include <algorithm>
#include <thread>

namespace {

constexpr auto once = "/once/x";

/// Sends the harmful request until all boxes refuse it. Returns how many endpoints have ended by then.
int come_back_until_refused(CrashingSite& site)
{
    std::size_t refusals = 0;
    Harness::wait_until("all boxes refuse the request", [&] {
        refusals = site.try_harmful(once).status == 503 ? refusals + 1 : 0;
        return refusals >= CrashingSite::boxes.size();
    });
    return site.ended_servers();
}

}

TEST_CASE("a request that endpoints crashed under stays refused when these start again under their ids")
{
    CrashingSite site;
    auto const ended = come_back_until_refused(site);
    REQUIRE(ended <= CrashingSite::tolerated_ends + CrashingSite::tolerated_sends);
    auto const restarted = site.restart_ended_servers();
    REQUIRE(site.ended_servers() == 0);
    // From here on only restarted endpoints can answer.
    for (int number = 1; number <= CrashingSite::server_count; ++number) {
        auto const server = "d" + std::to_string(number);
        if (std::ranges::find(restarted, server) == restarted.end())
            static_cast<void>(site.get(server, "/drain"));
    }
    int sent = 0;
    Harness::wait_until("each box has an answer from a server that started again", [&] {
        return std::ranges::all_of(CrashingSite::boxes, [&](auto const* box) {
            auto const attempt = "harmless-" + std::to_string(sent++);
            return site.send(box, once, attempt).status == 200 && site.runs(attempt, restarted) == 1;
        });
    });
    for (std::size_t time = 0; time < 2 * CrashingSite::boxes.size(); ++time)
        CHECK(site.try_harmful(once).status == 503);
    CHECK(site.ended_servers() == 0);
}

TEST_CASE("a crash is known to all boxes though the ending process accepted connections for a while")
{
    CrashingSite site({ "--listen_after_crash_ms=30" });
    static_cast<void>(site.try_harmful(once));
    Harness::wait_until("all boxes know of the crash", [&] {
        return std::ranges::all_of(CrashingSite::boxes,
            [&](auto const* box) { return site.metric(box, "cleatbeam_crash_reports_total") > 0; });
    });
    CHECK(site.ended_servers() == 1);
}

TEST_CASE("copies of a request that an endpoint crashed under take few others with them, however many come at once")
{
    // Each run takes longer than a client needs to reach the next box.
    CrashingSite site({ "--crash_after_ms=300" });
    static_cast<void>(site.try_harmful(once));
    Harness::wait_until("all boxes know of the crash", [&] {
        return std::ranges::all_of(CrashingSite::boxes,
            [&](auto const* box) { return site.metric(box, "cleatbeam_crash_reports_total") > 0; });
    });
    REQUIRE(site.ended_servers() == 1);

    constexpr int clients = 9;
    constexpr int tries_of_each = 4;
    std::vector<std::jthread> flood;
    flood.reserve(clients);
    for (int client = 0; client < clients; ++client)
        flood.emplace_back([&site] {
            for (int time = 0; time < tries_of_each; ++time)
                static_cast<void>(site.try_harmful(once));
        });
    flood.clear();
    CHECK(site.ended_servers() <= CrashingSite::tolerated_ends + CrashingSite::tolerated_sends);
    static_cast<void>(come_back_until_refused(site));
    CHECK(site.ended_servers() <= CrashingSite::tolerated_ends + CrashingSite::tolerated_sends);
}
