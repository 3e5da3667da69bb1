#include "PlatformCluster.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <httplib.h>
#include <sstream>

namespace Harness {

namespace {

using nlohmann::json;

json route(std::string const& prefix, std::string const& kind, std::string const& service, int attempts)
{
    json entry;
    entry["name"] = prefix;
    entry["host"] = "h.example";
    entry["path_prefix"] = prefix;
    entry["kind"] = kind;
    entry["timeout_ms"] = 20000;
    entry["goal_ms"] = 5000;
    entry["priority"] = 1;
    entry["service"] = service;
    entry["max_attempts"] = attempts;
    return entry;
}

json environment(std::string const& name, int store_port, BoxBounds const& bounds)
{
    json settings = json::parse(R"({"ip":"127.0.0.1",
      "listen":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},
      "limits":{"memory_mb":110,"max_fds":4100},
      "bounds":{"grace_s":8,"revoke_strict":true,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":100}})");
    settings["node_name"] = name;
    settings["zone"] = bounds.failure_domain;
    settings["bootstrap"] = bounds.is_first_start;
    settings["provider"]["address"] = "127.0.0.1:" + std::to_string(store_port);
    settings["bounds"]["config_apply_ms"] = bounds.apply_milliseconds;
    settings["bounds"]["drain_ms"] = bounds.drain_milliseconds;
    settings["bounds"]["revoke_ms"] = bounds.revoke_milliseconds;
    settings["limits"]["link_mbps"] = bounds.link_megabits;
    settings["limits"]["memory_mb"] = bounds.memory_megabytes;
    settings["limits"]["max_fds"] = bounds.max_descriptors;
    if (bounds.has_peers)
        settings["port_range"] = { 0, 0 };
    return settings;
}

std::string keyed_record(std::string const& key, std::string const& value)
{
    auto const length = 1 + key.size() + value.size();
    std::string record;
    for (int shift = 24; shift >= 0; shift -= 8)
        record += static_cast<char>(length >> static_cast<unsigned>(shift) & 0xffU);
    return record + static_cast<char>(key.size()) + key + value;
}

}

PlatformCluster::PlatformCluster()
{
    this->cluster.start_standin("store", "store");
}

void PlatformCluster::start_cloud()
{
    this->cluster.start_standin("cloud", "cloud");
}

void PlatformCluster::set_cloud_mode(std::string const& mode) const
{
    json faults;
    faults["mode"] = mode;
    this->cluster.set_faults("cloud", faults);
}

std::string PlatformCluster::environment_of(std::string const& name, BoxBounds const& bounds) const
{
    auto settings = environment(name, bounds.store_port != 0 ? bounds.store_port : this->store_port(), bounds);
    if (bounds.has_leader) {
        settings["cloud_api"]["address"] = "127.0.0.1:" + std::to_string(this->cluster.port("cloud"));
        settings["cloud_api"]["duties"] = { "usage", "autoscale" };
        settings["bounds"]["lease_ms"] = bounds.lease_milliseconds;
        settings["bounds"]["usage_window_s"] = 1;
        settings["bounds"]["usage_late_s"] = 10;
    }
    return settings.dump();
}

void PlatformCluster::start_server(
    std::string const& name, std::string const& service, std::vector<std::string> const& flags)
{
    std::vector<std::string> all { "--store=127.0.0.1:" + std::to_string(this->cluster.port("store")),
        "--service=" + service, "--incarnation=" + name };
    all.insert(all.end(), flags.begin(), flags.end());
    this->cluster.start_standin(name, "server", all);
    this->servers.push_back(name);
    this->server_flags[name] = std::move(all);
}

void PlatformCluster::start_proxied_server(
    std::string const& name, std::string const& service, std::vector<std::string> const& flags)
{
    auto& proxy = *this->proxies.emplace(name, std::make_unique<FaultProxy>()).first->second;
    auto all = flags;
    all.push_back("--listed_port=" + std::to_string(proxy.port()));
    this->start_server(name, service, all);
    proxy.set_target(this->cluster.port(name));
}

std::string PlatformCluster::write_file(std::string const& name, std::string const& text) const
{
    auto path = this->cluster.path_of(name);
    std::ofstream(path) << text;
    return path;
}

void PlatformCluster::cut_off(std::string const& box, Fault fault)
{
    auto const process = this->process(box).process_id();
    for (auto const& [name, proxy] : this->proxies)
        proxy->set_fault_for(process, fault);
}

void PlatformCluster::restart_server(std::string const& name)
{
    this->cluster.start_standin(name, "server", this->server_flags.at(name));
}

std::vector<std::string> PlatformCluster::restart_ended_servers()
{
    std::vector<std::string> restarted;
    for (auto const& server : this->servers) {
        if (!this->has_ended(server))
            continue;
        this->restart_server(server);
        restarted.push_back(server);
    }
    return restarted;
}

void PlatformCluster::start_box(std::string const& name, BoxBounds const& bounds)
{
    auto const settings = this->cluster.path_of(name + ".json");
    std::ofstream(settings) << this->environment_of(name, bounds);
    auto const ports = this->cluster.start_route(name, settings);
    this->box_ports[name] = ports;
}

void PlatformCluster::configure(int version, std::vector<std::string> const& keys, int further_routes)
{
    json account;
    account["name"] = "account";
    account["api_keys"] = keys;
    json configuration;
    configuration["version"] = version;
    configuration["routes"] = { route("/stream/", "streaming", "model", 1), route("/repeat/", "idempotent", "desk", 2),
        route("/once/", "non_idempotent", "desk", 1), route("/talk/", "streaming", "model", 1),
        route("/resume/", "streaming", "model", 3) };
    for (auto& entry : configuration["routes"])
        entry["can_resume"] = entry["name"] == "/talk/" || entry["name"] == "/resume/";
    for (int number = 0; number < further_routes; ++number)
        configuration["routes"].push_back(route("/more-" + std::to_string(number) + "/", "idempotent", "desk", 2));
    json service;
    service["name"] = "desk";
    service["autoscale"] = { { "min", 1 }, { "max", 4 }, { "boot_time_s", 1 }, { "spot_price", 0.2 },
        { "zone_prices", { { "hall-1", 1.0 } } } };
    configuration["services"] = { service };
    if (this->engine_slots > 0) {
        json engines;
        engines["name"] = "model";
        engines["engine"] = { { "slots", this->engine_slots }, { "kv_cache_tokens", 400000 } };
        configuration["services"].push_back(engines);
    }
    configuration["tenants"] = { account };
    httplib::Client client("127.0.0.1", this->cluster.port("store"));
    auto const result = client.Post(
        "/log-append?topic=keyed.op&part=0", keyed_record("config", configuration.dump()), "application/octet-stream");
    REQUIRE(static_cast<bool>(result));
}

void PlatformCluster::wait_ready(std::string const& box) const
{
    auto const port = this->box_ports.at(box)[1];
    wait_until(box + " is ready", [&] { return this->cluster.get(port, "/readiness") == "ready\n"; });
}

void PlatformCluster::set_store_mode(std::string const& mode) const
{
    json faults;
    faults["mode"] = mode;
    this->cluster.set_faults("store", faults);
}

void PlatformCluster::set_page_items(int items) const
{
    json faults;
    faults["page_items"] = items;
    this->cluster.set_faults("store", faults);
}

void PlatformCluster::set_late_writes(int every, int late_milliseconds) const
{
    json faults;
    faults["late_every"] = every;
    faults["late_ms"] = late_milliseconds;
    this->cluster.set_faults("store", faults);
}

void PlatformCluster::restore_store(int lost_milliseconds) const
{
    httplib::Client client("127.0.0.1", this->cluster.port("store"));
    auto const result
        = client.Post("/restore?lost_ms=" + std::to_string(lost_milliseconds), "", "application/octet-stream");
    REQUIRE(static_cast<bool>(result));
}

Reply PlatformCluster::send(std::string const& box, std::string const& path, std::string const& attempt,
    std::map<std::string, std::string> headers) const
{
    return this->send_body(box, path, attempt, "body of " + attempt, std::move(headers));
}

Reply PlatformCluster::send_body(std::string const& box, std::string const& path, std::string const& attempt,
    std::string const& body, std::map<std::string, std::string> headers) const
{
    headers.try_emplace("Host", "h.example");
    headers.try_emplace("X-Attempt-Id", attempt);
    headers.try_emplace("X-Deadline-Ms", "15000");
    headers.try_emplace("X-Key", "key");
    constexpr auto longest_answer = std::chrono::seconds(30);
    httplib::Client client("127.0.0.1", this->box_ports.at(box)[0]);
    client.set_read_timeout(longest_answer);
    auto const result = client.Post(path, httplib::Headers(headers.begin(), headers.end()), body, "text/plain");
    if (!result)
        return {};
    return { result->status, result->body, {}, {}, {}, result->get_header_value("Retry-After") };
}

bool PlatformCluster::has_ended(std::string const& server) const
{
    return this->cluster.get(this->cluster.port(server), "/journal").empty();
}

int PlatformCluster::ended_servers() const
{
    return static_cast<int>(
        std::ranges::count_if(this->servers, [this](auto const& server) { return this->has_ended(server); }));
}

bool PlatformCluster::try_write_entry(std::string const& key, std::string const& value) const
{
    httplib::Client client("127.0.0.1", this->cluster.port("store"));
    auto const result
        = client.Post("/log-append?topic=keyed.servers&part=0", keyed_record(key, value), "application/octet-stream");
    return static_cast<bool>(result);
}

void PlatformCluster::write_entry(std::string const& key, std::string const& value) const
{
    REQUIRE(this->try_write_entry(key, value));
}

void PlatformCluster::drop_ended_servers() const
{
    for (auto const& server : this->servers) {
        if (this->has_ended(server))
            this->write_entry(server, "");
    }
}

int PlatformCluster::runs(std::string const& attempt) const
{
    return this->runs(attempt, this->servers);
}

int PlatformCluster::runs(std::string const& attempt, std::vector<std::string> const& of) const
{
    int count = 0;
    for (auto const& server : of) {
        auto const text = this->cluster.get(this->cluster.port(server), "/journal");
        auto const journal = json::parse(text, nullptr, false);
        if (journal.is_object() && journal.contains(attempt))
            count += journal[attempt].value("count", 0);
    }
    return count;
}

std::string PlatformCluster::get(std::string const& name, std::string const& path) const
{
    return this->cluster.get(this->cluster.port(name), path);
}

double PlatformCluster::metric(std::string const& box, std::string const& begin) const
{
    auto const text = this->metrics(box);
    double sum = 0;
    for (auto position = text.find("\n" + begin); position != std::string::npos;
         position = text.find("\n" + begin, position + 1)) {
        auto const line_end = text.find('\n', position + 1);
        auto const line = text.substr(position + 1, line_end - position - 1);
        sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

int PlatformCluster::version_in_force(std::string const& box) const
{
    return static_cast<int>(this->metric(box, "cleatbeam_configuration_version "));
}

std::string PlatformCluster::readiness(std::string const& box) const
{
    return this->cluster.get(this->readiness_port(box), "/readiness");
}

std::string PlatformCluster::metrics(std::string const& box) const
{
    return this->cluster.get(this->box_ports.at(box)[2], "/metrics");
}

}
