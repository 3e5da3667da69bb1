#include <TestMain.h>

#include "CrashingSite.h"
#include <chrono>
#include <thread>

// Guards against a request that ends every endpoint that runs it, one after the other, through any box.
namespace {

constexpr auto client_pause = std::chrono::milliseconds(200);

void come_back(CrashingSite& site, std::string const& path, int times)
{
    for (int time = 0; time < times; ++time) {
        static_cast<void>(site.try_harmful(path));
        std::this_thread::sleep_for(client_pause);
    }
}

}

TEST_CASE("a request under which endpoints end is sent to no more of them, whichever box it comes to")
{
    CrashingSite site;
    std::string path;
    SUBCASE("a call that may not be repeated")
    {
        path = "/once/x";
    }
    SUBCASE("a call that may be repeated")
    {
        path = "/repeat/x";
    }
    constexpr int many_times = 12;
    come_back(site, path, many_times);
    auto const ended = site.ended_servers();
    CHECK(ended >= CrashingSite::tolerated_ends);
    REQUIRE(ended <= CrashingSite::tolerated_ends + CrashingSite::tolerated_sends);

    for (std::size_t time = 0; time < 2 * CrashingSite::boxes.size(); ++time) {
        auto const reply = site.try_harmful(path);
        CHECK(reply.status == 503);
        CHECK_FALSE(reply.retry_after.empty());
    }
    CHECK(site.ended_servers() == ended);
    for (auto const* box : CrashingSite::boxes)
        CHECK(site.send(box, path, std::string("harmless-") + box).status == 200);

    // The refusal survives the restart of all boxes, which know of ended endpoints only what the list says.
    site.drop_ended_servers();
    for (auto const* box : CrashingSite::boxes)
        site.process(box).kill();
    site.start_boxes();
    come_back(site, path, static_cast<int>(CrashingSite::boxes.size()));
    CHECK(site.ended_servers() == ended);
    for (auto const* box : CrashingSite::boxes)
        CHECK(site.send(box, path, std::string("harmless-again-") + box).status == 200);
}
