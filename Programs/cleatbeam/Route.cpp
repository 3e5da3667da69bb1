#include "CommandLine.h"
#include "FileText.h"

#include <LibGateway/Gateway.h>
#include <LibLog/EventLog.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_int32(metrics_port, 0, "port of the metrics page, on all addresses of the box; 0 for none");
DECLARE_string(log_level);

int run_route(std::vector<std::string> const&)
{
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
    // NOTE: A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Log::set_up_bounded_logging(environment->box_name);
    spdlog::set_level(spdlog::level::from_str(FLAGS_log_level));
    auto const gateway = Gateway::Gateway::try_create(
        *environment, { *path, static_cast<std::uint16_t>(FLAGS_metrics_port), std::random_device {}() }, last_reason);
    if (!gateway) {
        Log::EventLine("gateway_not_started").with("reason", last_reason.text).error();
        return exit_failure;
    }
    gateway->run();
    return exit_success;
}
