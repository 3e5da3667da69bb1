#pragma once

#include "Cluster.h"
#include "FaultProxy.h"

#include <string_view>

namespace Harness {

/// The settings of a box that differ between tests. The bounds are short, so that tests of expiry take a second instead
/// of five.
struct BoxBounds {
    int apply_milliseconds { 500 };
    int drain_milliseconds { 300 };
    int revoke_milliseconds { 3000 };
    /// Whether the boxes can reach each other.
    bool has_peers { false };
    /// Port at which the box reaches the store, such as that of a proxy; 0 for the store's own.
    int store_port { 0 };
    /// Capacity of the box's link according to its settings, in Mbit/s. Does not limit the actual link.
    int link_megabits { 1000 };
    std::string_view failure_domain { "hall-1" };
    /// Whether, according to the settings, all boxes start for the first time.
    bool is_first_start { false };
    /// Whether one box reports usage and orders servers. Needs start_cloud().
    bool has_leader { false };
    int lease_milliseconds { 1000 };
    /// Memory and descriptors of the box according to its settings.
    int memory_megabytes { 110 };
    int max_descriptors { 4100 };
};

/// Real boxes (`cleatbeam route`) with stand-ins for the platform's store and the endpoints, for one test.
class PlatformCluster {
public:
    PlatformCluster();

    /// Starts an endpoint of a service; its id is its name.
    void start_server(std::string const& name, std::string const& service, std::vector<std::string> const& flags = {});
    /// Starts an endpoint that boxes reach through a proxy of its own, so that cut_off() works for it.
    void start_proxied_server(
        std::string const& name, std::string const& service, std::vector<std::string> const& flags = {});
    /// Sets the fault of the box's connections to all proxied endpoints, as FaultProxy::set_fault_for.
    void cut_off(std::string const& box, Fault fault);
    /// Starts an endpoint that has ended again, under the same id.
    void restart_server(std::string const& name);
    /// Restarts the endpoints that have ended, under the same ids, and returns their names.
    std::vector<std::string> restart_ended_servers();
    /// Writes a file that lasts as long as the test. Returns its path.
    [[nodiscard]] std::string write_file(std::string const& name, std::string const& text) const;
    void start_box(std::string const& name, BoxBounds const& bounds = {});
    /// Starts the stand-in that accepts usage reports and orders of servers.
    void start_cloud();
    /// The calls that the stand-in accepted, in order.
    [[nodiscard]] nlohmann::json taken_calls() const { return this->cluster.journal("cloud"); }
    void set_cloud_mode(std::string const& mode) const;
    /// Writes the operator's record and one account with these keys. The routes are streaming (/stream/, and two that
    /// can be resumed: /talk/ with one attempt, /resume/ with three), idempotent (/repeat/) and not (/once/). Further
    /// routes, about 170 bytes each, make the record larger.
    void configure(int version, std::vector<std::string> const& keys, int further_routes = 0);
    /// From now on configure() says that the endpoints of "model" are engines with this many slots; 0 for no engines.
    void set_engine_slots(int slots) { this->engine_slots = slots; }
    /// Waits until the box is ready.
    void wait_ready(std::string const& box) const;
    void set_store_mode(std::string const& mode) const;
    /// From now on the store's pages of newest records hold so many at most.
    void set_page_items(int items) const;
    /// From now on the store leaves every `every`-th write of boxes and endpoints without an answer, and carries it out
    /// that much later; 0 for none.
    void set_late_writes(int every, int late_milliseconds) const;
    /// Restores the store from a copy that lacks the writes of the last `lost_milliseconds`.
    void restore_store(int lost_milliseconds) const;

    /// Sends a request through a box.
    [[nodiscard]] Reply send(std::string const& box, std::string const& path, std::string const& attempt,
        std::map<std::string, std::string> headers = {}) const;
    /// The same with this body, so that several attempts can be of one request.
    [[nodiscard]] Reply send_body(std::string const& box, std::string const& path, std::string const& attempt,
        std::string const& body, std::map<std::string, std::string> headers = {}) const;
    /// Number of endpoints that have ended by themselves.
    [[nodiscard]] int ended_servers() const;
    /// Removes the entries of endpoints that have ended, as the platform does when they expire. The stand-in store
    /// keeps them otherwise.
    void drop_ended_servers() const;
    /// Writes an entry of the endpoints' list, as another writer may.
    void write_entry(std::string const& key, std::string const& value) const;
    /// False if the store didn't answer: it may have carried the write out, or do so later.
    [[nodiscard]] bool try_write_entry(std::string const& key, std::string const& value) const;
    /// How often all endpoints together have run an attempt.
    [[nodiscard]] int runs(std::string const& attempt) const;
    /// The same for some endpoints.
    [[nodiscard]] int runs(std::string const& attempt, std::vector<std::string> const& of) const;
    [[nodiscard]] nlohmann::json journal(std::string const& server) const { return this->cluster.journal(server); }
    [[nodiscard]] int store_port() const { return this->cluster.port("store"); }
    [[nodiscard]] int client_port(std::string const& box) const { return this->box_ports.at(box)[0]; }
    [[nodiscard]] int readiness_port(std::string const& box) const { return this->box_ports.at(box)[1]; }
    [[nodiscard]] int metrics_port(std::string const& box) const { return this->box_ports.at(box)[2]; }
    [[nodiscard]] Process& process(std::string const& name) { return this->cluster.process(name); }
    [[nodiscard]] std::string get(std::string const& name, std::string const& path) const;
    [[nodiscard]] std::string metrics(std::string const& box) const;
    /// What the box answers when it is asked whether it takes clients.
    [[nodiscard]] std::string readiness(std::string const& box) const;
    /// Sum of all samples of the metric whose line starts with `begin`; 0 if there are none.
    [[nodiscard]] double metric(std::string const& box, std::string const& begin) const;
    /// Version of the configuration in force; 0 for none.
    [[nodiscard]] int version_in_force(std::string const& box) const;
    [[nodiscard]] std::string log_of(std::string const& name) const { return this->cluster.log_of(name); }

private:
    [[nodiscard]] bool has_ended(std::string const& server) const;
    [[nodiscard]] std::string environment_of(std::string const& name, BoxBounds const& bounds) const;

    Cluster cluster;
    std::map<std::string, std::unique_ptr<FaultProxy>> proxies;
    std::vector<std::string> servers;
    std::map<std::string, std::vector<std::string>> server_flags;
    std::map<std::string, std::array<int, 3>> box_ports;
    int engine_slots { 0 };
};

}
