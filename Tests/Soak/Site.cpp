#include "Site.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <sstream>

namespace Soak {

using Harness::Fault;
using Harness::wait_until;

namespace {

/// The links that boxes announce: so narrow that no box relays a large configuration and each reads it from the store.
constexpr Harness::BoxBounds bounds { 1000, 1000, 3000, true, 0, 1 };
/// What the connections of a box may take, of the 110 MB that its settings name.
constexpr double max_connection_bytes = 110e6 / 2;
/// A record of about 120 KB, whose transfer over a narrow link takes 1.2 s.
constexpr int many_routes = 700;
/// A record whose transfer over a narrow link takes 2.4 s: longer than any long poll of the store.
constexpr int max_route_count = 2 * many_routes;

/// Drains and starts again in the play of late writes.
constexpr auto const* leaving_server = "d3";

/// Entries on a page of the list in the play of late writes, whose endpoints alone make two pages.
constexpr int page_items = 3;

/// Keys of other writers: characters that mean something in a query, and bytes that are no text.
constexpr std::array other_keys { "d1&after_rev=2", "d1 x", "d+2", "d%31", "#m", "m1\"", "\xff\xfe", "zz\x01" };
constexpr std::array other_values { "{}", "[[[[", "no JSON", "\xc3\x28",
    "{\"service\":\"desk\",\"address\":\"127.0.0.1:-1\"}" };

/// How the endpoint answers in the play of odd answers: some in each style.
std::string odd_behaviour(std::uint64_t seed)
{
    constexpr std::array styles { "ends_with_connection", "length_too_long", "last_chunk_missing",
        "interim_answer_first", "other_answer_first", "no_http", "bytes_behind", "other_answer_behind",
        "close_announced", "close_unannounced", "reset_behind", "broken_off", "broken_off_by_reset",
        "silent_before_head", "silent_in_stream", "events_with_crlf", "events_with_cr", "events_in_one_write",
        "event_in_many_writes", "echo_missing", "long_head", "head_in_pieces", "encoding_named", "failed",
        "status_zero", "field_name_with_blank" };
    auto text = "seed: " + std::to_string(seed) + "\nanswers:\n  silent_for_good: 0.002\n";
    for (auto const* style : styles)
        text += "  " + std::string(style) + ": 0.02\n";
    constexpr std::array endless_styles { "head_without_end", "interim_answers_without_end",
        "other_answers_without_end", "chunk_extension_without_end", "trailers_without_end", "event_without_end" };
    for (auto const* style : endless_styles)
        text += "  " + std::string(style) + ": 0.01\n";
    return text;
}

}

std::string version_of(std::string const& server)
{
    return server.ends_with('2') ? "v1.2" : "v1";
}

Site::Site(std::uint64_t seed, Play play)
    : seed(seed)
    , random(seed)
    , random_of_play(seed + 1000)
    , play(play)
{
    if (this->has_leader())
        this->cluster.start_cloud();
    for (auto const* name : server_names)
        this->start_server(name);
    if (this->play == Play::LateWrites) {
        this->cluster.set_page_items(page_items);
        this->start_server(leaving_server);
    }
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

std::vector<int> Site::client_ports() const
{
    std::vector<int> ports;
    for (auto const& proxy : this->to_box)
        ports.push_back(proxy.port());
    return ports;
}

void Site::strike()
{
    if (this->play == Play::CopiesAndLeader)
        this->strike_leader_or_history();
    if (this->play == Play::EndpointReports)
        this->strike_endpoint_reports();
    if (this->play == Play::CutOff)
        this->strike_endpoint_links();
    if (this->play == Play::LateWrites) {
        this->strike_leaving_server();
        this->strike_other_writer();
    }
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

void Site::check_leader_calls() const
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

void Site::check_draining() const
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

void Site::check_memory() const
{
    if (this->play != Play::Crowds)
        return;
    for (auto const* name : box_names) {
        CAPTURE(name);
        CHECK(this->cluster.metric(name, "cleatbeam_connection_bytes ") <= max_connection_bytes);
    }
    MESSAGE(this->crowds.opened() << " crowds");
}

void Site::heal()
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

Clock::time_point Site::revoke()
{
    this->cluster.set_store_mode("");
    this->keys = { "key" };
    this->write_configuration(0);
    return Clock::now();
}

void Site::configure_over_narrow_links()
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

bool Site::has_leader() const
{
    return this->play == Play::CopiesAndLeader || this->play == Play::LateWrites;
}

void Site::write_late()
{
    constexpr int late_every = 3;
    constexpr int min_late_milliseconds = 1000;
    constexpr std::uint32_t late_range = 5000;
    this->cluster.set_late_writes(
        late_every, min_late_milliseconds + static_cast<int>(this->random_of_play(late_range)));
}

void Site::strike_leaving_server()
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

void Site::strike_other_writer()
{
    auto const* const key = other_keys[this->random_of_play(static_cast<std::uint32_t>(other_keys.size()))];
    bool const is_dropped = this->random_of_play(4) == 0;
    // NOTE: The store may fail or carry the write out late, as with those of boxes and endpoints.
    static_cast<void>(this->cluster.try_write_entry(
        key, is_dropped ? "" : other_values[this->random_of_play(static_cast<std::uint32_t>(other_values.size()))]));
}

void Site::strike_crowds()
{
    auto const* const name = box_names[this->random_of_play(static_cast<std::uint32_t>(box_names.size()))];
    auto const ports = Harness::listening_ports(this->cluster.process(name).process_id());
    if (!ports.empty())
        this->crowds.add(
            ports[this->random_of_play(static_cast<std::uint32_t>(ports.size()))], this->random_of_play(Crowds::kinds));
}

void Site::strike_leader_or_history()
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

void Site::strike_endpoint_reports()
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

void Site::start_server(std::string const& name)
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

void Site::strike_endpoint_links()
{
    this->thaw_server();
    auto const* const box = box_names[this->random_of_play(static_cast<std::uint32_t>(box_names.size()))];
    auto const* const server = server_names[this->random_of_play(static_cast<std::uint32_t>(server_names.size()))];
    switch (this->random_of_play(4)) {
    case 0:
    case 1:
        this->cluster.cut_off(
            box, std::array { Fault::Reset, Fault::RefuseNew, Fault::Silent, Fault::None }[this->random_of_play(4)]);
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

void Site::thaw_server()
{
    if (!this->frozen_server.empty())
        this->cluster.process(std::exchange(this->frozen_server, {})).thaw();
}

void Site::start_box(std::size_t index)
{
    auto settings = bounds;
    settings.has_leader = this->has_leader();
    settings.store_port = this->to_store[index].port();
    this->cluster.start_box(box_names[index], settings);
    this->to_box[index].set_target(this->cluster.client_port(box_names[index]));
}

void Site::write_series()
{
    this->cluster.set_store_mode("");
    constexpr std::uint32_t most_versions = 3;
    auto const count = 1 + this->random(most_versions);
    for (std::uint32_t number = 0; number < count; ++number)
        this->write_configuration(std::array { 0, many_routes / 2, many_routes, many_routes }[this->random(4)]);
}

void Site::write_configuration(int routes)
{
    this->further_routes = routes;
    this->cluster.configure(++this->version, this->keys, routes);
}

void Site::wait_in_force() const
{
    for (auto const* name : box_names)
        wait_until(std::string(name) + " has the last version in force",
            [&] { return this->cluster.version_in_force(name) == this->version; });
}

void Site::thaw(std::size_t index)
{
    if (std::exchange(this->is_frozen[index], false))
        this->cluster.process(box_names[index]).thaw();
}

Fault Site::draw_fault()
{
    return std::array { Fault::None, Fault::Delayed, Fault::CutOneWay, Fault::Silent, Fault::Reset,
        Fault::Narrow }[this->random(6)];
}

}
