#pragma once

#include "Process.h"

#include <array>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Harness {

/// A client's view of one answer.
struct Reply {
    /// 0 if the connection broke without an answer.
    int status { 0 };
    std::string body;
    std::string outcome;
    std::string reason;
    std::string request_id;
    std::string retry_after;
};

/// Waits until the condition holds. Fails the test if it does not within a generous time.
void wait_until(std::string const& what, std::function<bool()> const& condition);

/// Real processes for one test, on loopback and ephemeral ports. Their logs are deleted at the end unless the
/// environment variable CLEATBEAM_KEEP_LOGS is set.
class Cluster {
public:
    Cluster();
    ~Cluster();
    Cluster(Cluster const&) = delete;
    Cluster& operator=(Cluster const&) = delete;

    /// Starts a stand-in (`Programs/standin`) with this role. `name` identifies it in the other functions.
    void start_standin(std::string const& name, std::string const& role, std::vector<std::string> const& flags = {});
    /// Starts `cleatbeam serve`. `further_settings` are lines of its box file.
    void start_box(std::string const& name, int threads = 64, std::string const& further_settings = {});
    /// Starts `cleatbeam route` with this settings file. Returns its ports for clients, readiness and metrics.
    std::array<int, 3> start_route(std::string const& name, std::string const& settings_file);
    /// Publishes a settings document and waits until all boxes are ready.
    void publish(std::string const& document);
    void wait_ready(std::string const& box);

    [[nodiscard]] Process& process(std::string const& name) { return *this->processes.at(name); }
    [[nodiscard]] int port(std::string const& name) const { return this->ports.at(name); }
    [[nodiscard]] int operator_port(std::string const& box) const { return this->operator_ports.at(box); }

    [[nodiscard]] Reply post(std::string const& box, std::string const& path, std::string const& body,
        std::map<std::string, std::string> const& headers) const;
    [[nodiscard]] std::string get(int port, std::string const& path) const;
    void set_faults(std::string const& name, nlohmann::json const& faults) const;
    [[nodiscard]] nlohmann::json journal(std::string const& endpoint) const;
    [[nodiscard]] std::string log_of(std::string const& name) const;
    [[nodiscard]] std::string path_of(std::string const& file) const { return (this->folder / file).string(); }

private:
    std::filesystem::path folder;
    std::filesystem::path build;
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::map<std::string, int> ports;
    std::map<std::string, int> operator_ports;
};

}
