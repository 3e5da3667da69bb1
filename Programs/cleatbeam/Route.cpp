#include "CommandLine.h"
#include "FileText.h"

#include <LibCore/Allocator.h>
#include <LibGateway/Gateway.h>
#include <LibLog/EventLog.h>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_int32(metrics_port, -1, "port of the metrics page, on all addresses of the box; 0 for any, -1 for none");
DEFINE_string(ports_file, "", "file to write the ports of clients, readiness and metrics to, once they are open");
DEFINE_string(servers, "demand", "how the leader orders servers: none, all that may be ordered, or as demand needs");
DECLARE_string(log_level);

namespace {

void write_ports(Gateway::Gateway::Ports const& ports)
{
    if (FLAGS_ports_file.empty())
        return;
    // NOTE: Written to a temporary file and renamed, so that nobody reads it incomplete.
    auto const draft = FLAGS_ports_file + ".draft";
    std::ofstream(draft) << ports.front << " " << ports.readiness << " " << ports.metrics << "\n";
    if (std::rename(draft.c_str(), FLAGS_ports_file.c_str()) != 0)
        Log::EventLine("ports_not_written").with("file", FLAGS_ports_file).error();
}

/// The policy of that name; an empty one for "none".
std::optional<Leader::FleetPolicy> fleet_policy(std::string const& name)
{
    if (name == "all")
        return Leader::MaximumFleet {};
    if (name == "demand")
        return Leader::FollowDemand {};
    return {};
}

}

int run_route(std::vector<std::string> const&)
{
    if (FLAGS_servers != "none" && FLAGS_servers != "all" && FLAGS_servers != "demand") {
        std::cerr << "cleatbeam: --servers must be none, all or demand\n";
        return exit_usage;
    }
    auto const path = Adapter::settings_path();
    if (!path) {
        std::cerr << "cleatbeam: the environment names no settings file of the platform\n";
        return exit_usage;
    }
    Core::LastReason last_reason;
    auto const text = read_file(*path, last_reason);
    auto const environment = text ? Adapter::decode_environment(*text, last_reason) : std::nullopt;
    if (!environment) {
        std::cerr << "cleatbeam: file=" << *path << " reason=\"" << last_reason.text << "\"\n";
        return exit_failure;
    }
    Core::return_freed_blocks();
    // NOTE: A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Log::set_up_bounded_logging(environment->box_name);
    spdlog::set_level(spdlog::level::from_str(FLAGS_log_level));
    auto const metrics_port
        = FLAGS_metrics_port < 0 ? std::nullopt : std::optional(static_cast<std::uint16_t>(FLAGS_metrics_port));
    auto const gateway = Gateway::Gateway::try_create(
        *environment, { *path, metrics_port, std::random_device {}(), fleet_policy(FLAGS_servers) }, last_reason);
    if (!gateway) {
        Log::EventLine("gateway_not_started").with("reason", last_reason.text).error();
        return exit_failure;
    }
    write_ports(gateway->ports());
    gateway->run();
    return exit_success;
}
