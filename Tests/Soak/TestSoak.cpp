#include <TestMain.h>

#include "Clients.h"
#include "Crowds.h"
#include <Harness/FaultProxy.h>
#include <Harness/PlatformCluster.h>
#include <algorithm>
#include <cstdlib>
#include <pcg_random.hpp>
#include <set>
#include <sstream>

/// Real boxes with stand-ins for the platform's store and the endpoints, under faults drawn from a seed: boxes are
/// killed, paused and stopped, the store fails in several ways, and connections from clients to boxes and from boxes to
/// the store are delayed, cut, narrowed and reset, while the operator writes large configurations in quick succession.
/// The answers of clients are compared with the journals of the endpoints, and the last configuration must come into
/// force on all boxes. Further plays add a store that is restored from copies and a platform to which one box reports
/// usage, endpoints with rate limits that reject requests or drain, boxes that are cut off from all endpoints, or
/// endpoints that answer oddly, or a store that carries writes out late, or crowds of clients that don't behave.
namespace {

using namespace Soak;
using Harness::Fault;
using Harness::FaultProxy;
using Harness::wait_until;

constexpr std::array box_names { "b1", "b2", "b3", "b4", "b5" };
constexpr std::array server_names { "m1", "m2", "d1", "d2" };

/// The software version of an endpoint: those of a service differ.
std::string version_of(std::string const& server)
{
    return server.ends_with('2') ? "v1.2" : "v1";
}

/// A key must not be accepted this long after its revocation.
constexpr auto revoke_within = std::chrono::milliseconds(3000);
/// The links that boxes announce: so narrow that no box relays a large configuration and each reads it from the store.
constexpr Harness::BoxBounds bounds { 1000, 1000, 3000, true, 0, 1 };
/// What the connections of a box may take, of the 110 MB that its settings name.
constexpr double max_connection_bytes = 110e6 / 2;
/// A record of about 120 KB, whose transfer over a narrow link takes 1.2 s.
constexpr int many_routes = 700;
/// A record whose transfer over a narrow link takes 2.4 s: longer than any long poll of the store.
constexpr int max_route_count = 2 * many_routes;

std::uint64_t from_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : otherwise;
}

/// Faults in addition to those that every play draws.
enum class Play {
    Plain,
    /// The store is sometimes restored from a copy, after which its writers repeat their writes; one box reports usage
    /// to and orders servers from a platform that fails at times.
    CopiesAndLeader,
    /// Endpoints announce rate limits, reject all requests for a time, break streams off inside an event, announce that
    /// they drain, and revoke all of it.
    EndpointReports,
    /// Boxes are cut off from all endpoints while everything else reaches them; endpoints are silent for a second, and
    /// announce that they can't reject many requests.
    CutOff,
    /// Endpoints answer in all styles that the stand-in has: framed oddly, broken off, silent, with bytes too many or
    /// without end.
    OddAnswers,
    /// The store carries out a third of all writes of boxes and endpoints seconds late. One endpoint drains, ends and
    /// starts again, time after time; one box reports usage.
    LateWrites,
    /// Crowds hold connections of boxes, send large bodies that they never end, or don't read, at the ports for
    /// clients, for other boxes, and for probes.
    Crowds,
};

/// Drains and starts again in the play of late writes.
constexpr auto const* leaving_server = "d3";

/// How the endpoint answers in the play of odd answers: some in each style.
std::string odd_behaviour(std::uint64_t seed)
{
    constexpr std::array styles { "ends_with_connection", "length_too_long", "last_chunk_missing",
        "interim_answer_first", "other_answer_first", "no_http", "bytes_behind", "other_answer_behind",
        "close_announced", "close_unannounced", "reset_behind", "broken_off", "broken_off_by_reset",
        "silent_before_head", "silent_in_stream", "events_with_crlf", "events_with_cr", "events_in_one_write",
        "event_in_many_writes", "echo_missing", "long_head", "head_in_pieces", "encoding_named", "failed" };
    auto text = "seed: " + std::to_string(seed) + "\nanswers:\n  silent_for_good: 0.002\n";
    for (auto const* style : styles)
        text += "  " + std::string(style) + ": 0.02\n";
    constexpr std::array endless_styles { "head_without_end", "interim_answers_without_end",
        "other_answers_without_end", "chunk_extension_without_end", "trailers_without_end" };
    for (auto const* style : endless_styles)
        text += "  " + std::string(style) + ": 0.01\n";
    return text;
}

class Site {
public:
    Site(std::uint64_t seed, Play play)
        : seed(seed)
        , random(seed)
        , random_of_play(seed + 1000)
        , play(play)
    {
        if (this->has_leader())
            this->cluster.start_cloud();
        for (auto const* name : server_names)
            this->start_server(name);
        if (this->play == Play::LateWrites)
            this->start_server(leaving_server);
        this->write_configuration(0);
        for (std::size_t index = 0; index < box_names.size(); ++index) {
            this->to_store[index].set_target(this->cluster.store_port());
            this->start_box(index);
        }
        for (auto const* name : box_names)
            this->cluster.wait_ready(name);
        if (this->play == Play::LateWrites)
            this->write_late();
    }

    [[nodiscard]] std::vector<int> client_ports() const
    {
        std::vector<int> ports;
        for (auto const& proxy : this->to_box)
            ports.push_back(proxy.port());
        return ports;
    }

    /// Adds one fault; earlier ones may still be active.
    void strike()
    {
        if (this->play == Play::CopiesAndLeader)
            this->strike_leader_or_history();
        if (this->play == Play::EndpointReports)
            this->strike_endpoint_reports();
        if (this->play == Play::CutOff)
            this->strike_endpoint_links();
        if (this->play == Play::LateWrites)
            this->strike_leaving_server();
        if (this->play == Play::Crowds)
            this->strike_crowds();
        auto const index = this->random(static_cast<std::uint32_t>(box_names.size()));
        auto const* const name = box_names[index];
        switch (this->random(10)) {
        case 0:
            this->thaw(index);
            this->cluster.process(name).kill();
            this->start_box(index);
            break;
        case 1:
            this->thaw(index);
            CHECK(this->cluster.process(name).terminate() == 0);
            this->start_box(index);
            break;
        case 2:
            this->cluster.process(name).freeze();
            this->is_frozen[index] = true;
            break;
        case 3:
            this->thaw(index);
            break;
        case 4:
            this->cluster.set_store_mode(std::array { "", "reset", "busy", "silent", "" }[this->random(5)]);
            break;
        case 5:
            this->to_store[index].set_fault(Fault::Narrow);
            break;
        case 6:
            this->write_series();
            break;
        case 7:
        case 8:
            this->to_store[index].set_fault(this->draw_fault());
            break;
        default:
            this->to_box[index].set_fault(this->draw_fault());
            break;
        }
    }

    /// Checks the calls that the platform accepted: no two different reports of one window, and no token of two boxes.
    void check_leader_calls() const
    {
        if (!this->has_leader())
            return;
        auto const is_report = [](auto const& call) { return call["call"] == "/usage"; };
        wait_until("usage is reported", [&] { return std::ranges::any_of(this->cluster.taken_calls(), is_report); });
        std::map<std::uint64_t, nlohmann::json> reports;
        std::map<std::uint64_t, std::string> boxes;
        for (auto const& call : this->cluster.taken_calls()) {
            CHECK(boxes.try_emplace(call["token"], call["box"]).first->second == call["box"]);
            if (is_report(call))
                CHECK(reports.try_emplace(call["window_id"], call["counts"]).first->second == call["counts"]);
        }
        MESSAGE(reports.size() << " windows reported by " << boxes.size() << " terms");
    }

    /// Checks that no process of a box took a draining state back, by its log: such a box sends requests to an endpoint
    /// that is about to end.
    void check_draining() const
    {
        if (this->play != Play::LateWrites)
            return;
        for (auto const* name : box_names) {
            std::istringstream log(this->cluster.log_of(name));
            std::set<std::string> draining;
            for (std::string line; std::getline(log, line);) {
                if (line.find("event=endpoint_changed") == std::string::npos)
                    continue;
                auto const begin = line.find("endpoint=");
                auto const process = line.substr(begin, line.find(" service=") - begin);
                CAPTURE(line);
                if (line.find("state=draining") != std::string::npos)
                    draining.insert(process);
                else
                    CHECK_FALSE(draining.contains(process));
            }
        }
        MESSAGE(this->drains << " drains");
    }

    /// Checks that no box has used more memory than it has, by its own account.
    void check_memory() const
    {
        if (this->play != Play::Crowds)
            return;
        for (auto const* name : box_names) {
            CAPTURE(name);
            CHECK(this->cluster.metric(name, "cleatbeam_connection_bytes ") <= max_connection_bytes);
        }
        MESSAGE(this->crowds.opened() << " crowds");
    }

    void heal()
    {
        this->crowds.end();
        this->cluster.set_store_mode("");
        if (this->play == Play::LateWrites)
            this->cluster.set_late_writes(0, 0);
        if (this->has_leader())
            this->cluster.set_cloud_mode("");
        if (this->play == Play::EndpointReports) {
            for (auto const* name : server_names)
                for (auto const* path : { "/limit/", "/retry-after/", "/break-off/", "/stay" })
                    static_cast<void>(this->cluster.get(name, path));
        }
        if (this->play == Play::CutOff) {
            this->thaw_server();
            for (auto const* name : server_names)
                static_cast<void>(this->cluster.get(name, "/brittle/"));
            for (auto const* name : box_names)
                this->cluster.cut_off(name, Fault::None);
        }
        for (std::size_t index = 0; index < box_names.size(); ++index) {
            this->thaw(index);
            this->to_store[index].set_fault(Fault::None);
            this->to_box[index].set_fault(Fault::None);
        }
    }

    /// Revokes the second key. Returns when the store acknowledged it.
    Clock::time_point revoke()
    {
        this->cluster.set_store_mode("");
        this->keys = { "key" };
        this->write_configuration(0);
        return Clock::now();
    }

    /// Checks that a large configuration comes into force over narrow links to the store without other faults.
    void configure_over_narrow_links()
    {
        this->wait_in_force();
        for (auto& proxy : this->to_store)
            proxy.set_fault(Fault::Narrow);
        this->keys.emplace_back("late");
        this->write_configuration(max_route_count);
        this->wait_in_force();
        for (auto const* name : box_names) {
            wait_until(std::string(name) + " serves the new key", [&] {
                return this->cluster.send(name, "/once/x", std::string("late-") + name, { { "X-Key", "late" } }).status
                    == 200;
            });
        }
    }

    [[nodiscard]] int versions() const { return this->version; }

    Harness::PlatformCluster cluster;

private:
    [[nodiscard]] bool has_leader() const
    {
        return this->play == Play::CopiesAndLeader || this->play == Play::LateWrites;
    }

    /// From now on writes are as late as the platform allows, by a time that is drawn.
    void write_late()
    {
        constexpr int late_every = 3;
        constexpr int min_late_milliseconds = 1000;
        constexpr std::uint32_t late_range = 5000;
        this->cluster.set_late_writes(
            late_every, min_late_milliseconds + static_cast<int>(this->random_of_play(late_range)));
    }

    /// The endpoint drains; a while later its process ends, its entry goes, and a new process starts under its id.
    void strike_leaving_server()
    {
        constexpr int strikes_until_end = 6;
        if (this->drained_for == 0) {
            if (this->random_of_play(3) != 0)
                return;
            static_cast<void>(this->cluster.get(leaving_server, "/drain"));
            this->write_late();
            this->drained_for = 1;
            ++this->drains;
        } else if (++this->drained_for > strikes_until_end) {
            this->cluster.set_store_mode("");
            this->cluster.process(leaving_server).kill();
            this->cluster.drop_ended_servers();
            this->cluster.restart_ended_servers();
            this->drained_for = 0;
        }
    }

    /// A crowd comes to a box, and the one that has been there for longest leaves if there are several.
    void strike_crowds()
    {
        auto const* const name = box_names[this->random_of_play(static_cast<std::uint32_t>(box_names.size()))];
        auto const ports = Harness::listening_ports(this->cluster.process(name).process_id());
        if (!ports.empty())
            this->crowds.add(ports[this->random_of_play(static_cast<std::uint32_t>(ports.size()))],
                this->random_of_play(Crowds::kinds));
    }

    void strike_leader_or_history()
    {
        switch (this->random_of_play(8)) {
        case 0: {
            constexpr std::uint32_t most_lost_milliseconds = 2000;
            this->cluster.set_store_mode("");
            this->cluster.restore_store(static_cast<int>(this->random_of_play(most_lost_milliseconds)));
            this->cluster.configure(this->version, this->keys, this->further_routes);
            break;
        }
        case 1:
            this->cluster.set_cloud_mode(std::array { "", "reset", "busy", "" }[this->random_of_play(4)]);
            break;
        default:
            break;
        }
    }

    void strike_endpoint_reports()
    {
        auto const* const name = server_names[this->random_of_play(static_cast<std::uint32_t>(server_names.size()))];
        constexpr std::array paths { "/limit/3", "/limit/0.5", "/limit/", "/retry-after/0.5", "/retry-after/2",
            "/retry-after/" };
        static_cast<void>(this->cluster.get(name, paths[this->random_of_play(paths.size())]));
        constexpr std::array break_offs { "/break-off/7", "/break-off/1", "/break-off/", "/break-off/" };
        static_cast<void>(this->cluster.get(
            std::array { "m1", "m2" }[this->random_of_play(2)], break_offs[this->random_of_play(break_offs.size())]));
        // NOTE: The other endpoint of each service stays, since a box does not soon reuse one that announced a drain.
        if (this->random_of_play(4) == 0)
            static_cast<void>(this->cluster.get(this->random_of_play(2) == 0 ? "m1" : "d1", "/leave"));
    }

    void start_server(std::string const& name)
    {
        auto const* const service = name[0] == 'm' ? "model" : "desk";
        // NOTE: One endpoint of each service sends answers without length or chunks.
        std::vector<std::string> flags;
        if (name.ends_with('2'))
            flags.emplace_back("--ends_with_connection");
        flags.push_back("--software_version=" + version_of(name));
        if (this->play == Play::OddAnswers)
            flags.push_back("--behaviour=" + this->cluster.write_file(name + ".yaml", odd_behaviour(this->seed)));
        if (this->play == Play::CutOff)
            this->cluster.start_proxied_server(name, service, flags);
        else
            this->cluster.start_server(name, service, flags);
    }

    void strike_endpoint_links()
    {
        this->thaw_server();
        auto const* const box = box_names[this->random_of_play(static_cast<std::uint32_t>(box_names.size()))];
        auto const* const server = server_names[this->random_of_play(static_cast<std::uint32_t>(server_names.size()))];
        switch (this->random_of_play(4)) {
        case 0:
        case 1:
            this->cluster.cut_off(box,
                std::array { Fault::Reset, Fault::RefuseNew, Fault::Silent, Fault::None }[this->random_of_play(4)]);
            break;
        case 2:
            this->cluster.process(server).freeze();
            this->frozen_server = server;
            break;
        default:
            static_cast<void>(
                this->cluster.get(server, std::array { "/brittle/1000", "/brittle/" }[this->random_of_play(2)]));
            break;
        }
    }

    /// A silent endpoint goes on after the time between two strikes, at the latest.
    void thaw_server()
    {
        if (!this->frozen_server.empty())
            this->cluster.process(std::exchange(this->frozen_server, {})).thaw();
    }

    void start_box(std::size_t index)
    {
        auto settings = bounds;
        settings.has_leader = this->has_leader();
        settings.store_port = this->to_store[index].port();
        this->cluster.start_box(box_names[index], settings);
        this->to_box[index].set_target(this->cluster.client_port(box_names[index]));
    }

    /// Writes up to three versions in a row, some of them large, as soon as the store accepts them.
    void write_series()
    {
        this->cluster.set_store_mode("");
        constexpr std::uint32_t most_versions = 3;
        auto const count = 1 + this->random(most_versions);
        for (std::uint32_t number = 0; number < count; ++number)
            this->write_configuration(std::array { 0, many_routes / 2, many_routes, many_routes }[this->random(4)]);
    }

    void write_configuration(int routes)
    {
        this->further_routes = routes;
        this->cluster.configure(++this->version, this->keys, routes);
    }

    void wait_in_force() const
    {
        for (auto const* name : box_names)
            wait_until(std::string(name) + " has the last version in force",
                [&] { return this->cluster.version_in_force(name) == this->version; });
    }

    void thaw(std::size_t index)
    {
        if (std::exchange(this->is_frozen[index], false))
            this->cluster.process(box_names[index]).thaw();
    }

    Fault draw_fault()
    {
        return std::array { Fault::None, Fault::Delayed, Fault::CutOneWay, Fault::Silent, Fault::Reset,
            Fault::Narrow }[this->random(6)];
    }

    std::uint64_t seed;
    pcg32 random;
    /// Separate generators, so that a seed's faults are the same in all plays.
    pcg32 random_of_play;
    Play play;
    int version { 0 };
    int further_routes { 0 };
    std::vector<std::string> keys { "key", "other" };
    std::array<FaultProxy, box_names.size()> to_store;
    std::array<FaultProxy, box_names.size()> to_box;
    std::array<bool, box_names.size()> is_frozen {};
    /// Strikes since the leaving endpoint began to drain; 0 while it doesn't.
    int drained_for { 0 };
    int drains { 0 };
    /// The endpoint that is silent now; empty for none.
    std::string frozen_server;
    Crowds crowds;
};

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

TEST_CASE("and where the store carries writes out late, while an endpoint drains and starts again")
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
