#pragma once

#include "Cluster.h"

#include <string_view>

namespace Harness {

/// What the settings file of a box says where tests differ. Short bounds, so that a test of what runs out waits for a
/// second and not for five.
struct BoxBounds {
    int apply_milliseconds { 500 };
    int drain_milliseconds { 300 };
    int revoke_milliseconds { 3000 };
    /// Whether the boxes can reach each other.
    bool has_peers { false };
    /// Where the box finds the store, if not at the store's own port: a proxy before it.
    int store_port { 0 };
    /// The box's link as its settings file tells it, in Mbit/s. Narrows nothing by itself.
    int link_megabits { 1000 };
    std::string_view failure_domain { "hall-1" };
    /// Whether the settings say that all boxes start for the first time.
    bool is_first_start { false };
    /// Whether one box reports usage and orders servers, from the stand-in platform that start_cloud() starts.
    bool has_leader { false };
    int lease_milliseconds { 1000 };
};

/// Real boxes (`cleatbeam route`) before stand-ins of the users' store and servers, for one test.
class PlatformCluster {
public:
    PlatformCluster();

    /// Starts a server of a service; its id is its name.
    void start_server(std::string const& name, std::string const& service, std::vector<std::string> const& flags = {});
    /// Starts the servers that have ended again, each under its id, as before. Returns which.
    std::vector<std::string> restart_ended_servers();
    void start_box(std::string const& name, BoxBounds const& bounds = {});
    /// Starts the stand-in that takes usage reports and orders of servers.
    void start_cloud();
    /// What it took, in order.
    [[nodiscard]] nlohmann::json taken_calls() const { return this->cluster.journal("cloud"); }
    void set_cloud_mode(std::string const& mode) const;
    /// Writes the operator's record: three routes (a stream, a call that may be repeated, one that may not) and one
    /// account that holds the keys. Further routes, some 170 bytes each, make it as large as a test wants it.
    void configure(int version, std::vector<std::string> const& keys, int further_routes = 0);
    /// Waits until the box takes clients.
    void wait_ready(std::string const& box) const;
    void set_store_mode(std::string const& mode) const;
    /// The store comes back from a copy that lacks what was written in the last so many milliseconds.
    void restore_store(int lost_milliseconds) const;

    /// Sends a request through a box.
    [[nodiscard]] Reply send(std::string const& box, std::string const& path, std::string const& attempt,
        std::map<std::string, std::string> headers = {}) const;
    /// The same with this body, where several attempts are of one request.
    [[nodiscard]] Reply send_body(std::string const& box, std::string const& path, std::string const& attempt,
        std::string const& body, std::map<std::string, std::string> headers = {}) const;
    /// How many of the servers that were started have ended by themselves.
    [[nodiscard]] int ended_servers() const;
    /// Drops the entries of servers that have ended, as the platform does when they lapse; the stand-in store keeps
    /// all.
    void drop_ended_servers() const;
    /// How often the servers have run an attempt, all together.
    [[nodiscard]] int runs(std::string const& attempt) const;
    /// The same for these servers.
    [[nodiscard]] int runs(std::string const& attempt, std::vector<std::string> const& of) const;
    [[nodiscard]] nlohmann::json journal(std::string const& server) const { return this->cluster.journal(server); }
    [[nodiscard]] int store_port() const { return this->cluster.port("store"); }
    [[nodiscard]] int client_port(std::string const& box) const { return this->box_ports.at(box)[0]; }
    [[nodiscard]] Process& process(std::string const& name) { return this->cluster.process(name); }
    [[nodiscard]] std::string get(std::string const& name, std::string const& path) const;
    [[nodiscard]] std::string metrics(std::string const& box) const;
    /// Sum of a metric's samples whose line begins so; 0 if there is none.
    [[nodiscard]] double metric(std::string const& box, std::string const& begin) const;
    /// Version of the configuration in force; 0 if there is none.
    [[nodiscard]] int version_in_force(std::string const& box) const;
    [[nodiscard]] std::string log_of(std::string const& name) const { return this->cluster.log_of(name); }

private:
    [[nodiscard]] bool has_ended(std::string const& server) const;
    [[nodiscard]] std::string environment_of(std::string const& name, BoxBounds const& bounds) const;

    Cluster cluster;
    std::vector<std::string> servers;
    std::map<std::string, std::vector<std::string>> server_flags;
    std::map<std::string, std::array<int, 3>> box_ports;
};

}
