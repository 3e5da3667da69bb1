#include <TestMain.h>

#include "Clients.h"
#include "Site.h"
#include <cstdlib>
#include <set>

/// Real boxes with stand-ins for the platform's store and the endpoints, under faults drawn from a seed: boxes are
/// killed, paused and stopped, the store fails in several ways, and connections from clients to boxes and from boxes to
/// the store are delayed, cut, narrowed and reset, while the operator writes large configurations in quick succession.
/// The answers of clients are compared with the journals of the endpoints, and the last configuration must come into
/// force on all boxes. Further plays add a store that is restored from copies and a platform to which one box reports
/// usage, endpoints with rate limits that reject requests or drain, boxes that are cut off from all endpoints, or
/// endpoints that answer oddly, or a store that carries writes out late, or crowds of clients that don't behave.
namespace {

using namespace Soak;
using Harness::wait_until;

/// A key must not be accepted this long after its revocation.
constexpr auto revoke_within = std::chrono::milliseconds(3000);
std::uint64_t from_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : otherwise;
}

std::string whole_stream(std::string const& attempt, int first = 1)
{
    std::string text;
    for (int event = first; event <= Clients::stream_events; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + attempt + ":" + std::to_string(event) + "\n\n";
    return text;
}

/// How often each attempt was run, according to the journals of the endpoints.
std::map<std::string, int> runs_of(Site const& site)
{
    std::map<std::string, int> runs;
    for (auto const* server : server_names) {
        auto const journal = site.cluster.journal(server);
        for (auto const& [attempt, run] : journal.items())
            runs[attempt] += run.value("count", 0);
    }
    return runs;
}

/// The software versions of the endpoints that ran each attempt.
std::map<std::string, std::set<std::string>> versions_of_runs(Site const& site)
{
    std::map<std::string, std::set<std::string>> versions;
    for (auto const* server : server_names) {
        auto const journal = site.cluster.journal(server);
        for (auto const& [attempt, run] : journal.items())
            versions[attempt].insert(version_of(server));
    }
    return versions;
}

/// Checks that streams went on only at the version that began them.
void check_versions(Site const& site, std::vector<Exchange> const& exchanges)
{
    auto const versions = versions_of_runs(site);
    std::size_t taken_up = 0;
    std::size_t went_on = 0;
    for (auto const& exchange : exchanges) {
        auto const run = versions.find(exchange.attempt);
        taken_up += exchange.taken_up.empty() ? 0 : 1;
        if (exchange.taken_up.empty() || run == versions.end())
            continue;
        CAPTURE(exchange.attempt);
        ++went_on;
        CHECK(run->second == versions.at(exchange.taken_up));
    }
    MESSAGE(taken_up << " streams taken up, " << went_on << " went on");
}

/// Whether the status promises that the request has not run and never will.
bool says_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void check(Exchange const& exchange, int runs, Clock::time_point revoked_at)
{
    CAPTURE(exchange.attempt);
    CAPTURE(exchange.status);
    bool const is_repeatable = exchange.kind == RequestKind::Repeatable;
    if (!is_repeatable && exchange.kind != RequestKind::ContinuedStream) {
        CHECK(runs <= 1);
        if (says_not_run(exchange.status))
            CHECK(runs == 0);
    }
    bool const is_plain = exchange.kind == RequestKind::Once || is_repeatable;
    if (exchange.status == 200)
        CHECK(exchange.body
            == (is_plain ? "ran " + exchange.attempt : whole_stream(exchange.attempt, exchange.last_event + 1)));
    if (exchange.key == "key")
        CHECK((exchange.status != 401 && exchange.status != 404));
    if (exchange.key == "other" && exchange.sent_at > revoked_at + revoke_within)
        CHECK(runs == 0);
}

void play(Play kind)
{
    auto const seed = from_environment("CLEATBEAM_SOAK_SEED", 1);
    auto const strikes = from_environment("CLEATBEAM_SOAK_STRIKES", 24);
    CAPTURE(seed);
    Site site(seed, kind);
    Clients clients(site.client_ports(), seed);
    constexpr auto between_strikes = std::chrono::milliseconds(250);
    Clock::time_point revoked_at;
    for (std::uint64_t strike = 0; strike < strikes; ++strike) {
        if (strike == strikes / 2)
            revoked_at = site.revoke();
        site.strike();
        std::this_thread::sleep_for(between_strikes);
    }
    site.heal();
    for (auto const* name : box_names) {
        wait_until(std::string(name) + " serves again", [&] {
            static int number = 0;
            return site.cluster.send(name, "/once/x", "after-" + std::to_string(number++)).status == 200;
        });
    }
    auto const exchanges = clients.finish();
    auto const runs = runs_of(site);
    std::size_t served = 0;
    for (auto const& exchange : exchanges) {
        auto const found = runs.find(exchange.attempt);
        check(exchange, found == runs.end() ? 0 : found->second, revoked_at);
        served += exchange.status == 200 ? 1 : 0;
    }
    MESSAGE("seed " << seed << ": " << exchanges.size() << " requests, " << served << " served, " << site.versions()
                    << " versions");
    CHECK(served > 0);
    check_versions(site, exchanges);
    site.check_leader_calls();
    site.check_draining();
    site.check_memory();
    site.configure_over_narrow_links();
}

}

TEST_CASE("what clients are told is true under faults of all kinds")
{
    play(Play::Plain);
}

TEST_CASE("and where the store comes back from copies, while one box reports usage for all")
{
    play(Play::CopiesAndLeader);
}

TEST_CASE("and where servers say that they take little, turn all away for a time or leave")
{
    play(Play::EndpointReports);
}

TEST_CASE("and where boxes are cut off from all endpoints, and endpoints are silent for a while")
{
    play(Play::CutOff);
}

TEST_CASE(
    "and where the store carries writes out late and holds entries of other writers, while an endpoint drains and "
    "starts again")
{
    play(Play::LateWrites);
}

TEST_CASE("and where servers frame their answers oddly, break them off, fall silent and send too much")
{
    play(Play::OddAnswers);
}

TEST_CASE("and where crowds of clients hold connections, send without end or don't read")
{
    play(Play::Crowds);
}
