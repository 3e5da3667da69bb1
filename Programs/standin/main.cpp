#include "Standin.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(port_file, "", "where to write the port that the kernel chose");

namespace {

sigset_t end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}

void write_port_file(std::string const& path, int port)
{
    if (path.empty())
        return;
    auto const draft = path + ".draft";
    std::ofstream(draft) << port << "\n";
    std::rename(draft.c_str(), path.c_str());
}

void block_end_signals()
{
    auto const signals = end_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_end_signal()
{
    auto const signals = end_signals();
    int signal = 0;
    sigwait(&signals, &signal);
}

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin platform|endpoint|load|probe|settings|store|server|cloud [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::map<std::string, int (*)()> const roles { { "platform", run_platform }, { "endpoint", run_endpoint },
        { "load", run_load }, { "probe", run_probe }, { "settings", run_print_settings }, { "store", run_store },
        { "server", run_server }, { "cloud", run_cloud } };
    auto const role = argc == 2 ? roles.find(argv[1]) : roles.end();
    if (role == roles.end()) {
        std::cerr << gflags::ProgramUsage() << "\n";
        return 2;
    }
    return role->second();
}
