#include "CommandLine.h"
#include "FileText.h"

#include <LibCore/Allocator.h>
#include <LibLog/EventLog.h>
#include <LibServer/Box.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(box, "", "box file: name, failure domain, addresses");
DEFINE_int32(balancer_lag_ms, 2000, "how long a stopping box still takes new connections, in milliseconds");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace {

/// Blocks the termination signals, so that only the waiting main thread receives them.
sigset_t block_end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::uint64_t random_seed()
{
    constexpr unsigned half_of_seed_bits = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << half_of_seed_bits) | device();
}

}

int run_serve(std::vector<std::string> const&)
{
    Core::LastReason last_reason;
    auto const text = read_file(FLAGS_box, last_reason);
    if (!text) {
        std::cerr << "cleatbeam: --box: " << last_reason.text << "\n";
        return exit_usage;
    }
    std::vector<Settings::SettingsFault> faults;
    auto const settings = Server::read_box_settings(*text, faults);
    for (auto const& fault : faults)
        std::cerr << "file=" << FLAGS_box << " " << fault.to_string() << "\n";
    if (!settings)
        return exit_failure;
    Core::return_freed_blocks();
    auto const signals = block_end_signals();
    // NOTE: A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Log::set_up_logging(settings->name);
    spdlog::set_level(spdlog::level::from_str(FLAGS_log_level));
    auto const box = Server::Box::try_create(*settings, random_seed(), last_reason);
    if (!box) {
        Log::EventLine("box_not_started").with("reason", last_reason.text).error();
        return exit_failure;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    box->drain(std::chrono::milliseconds(FLAGS_balancer_lag_ms));
    return exit_success;
}
