#include "CommandLine.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>

namespace {

std::vector<Subcommand> const& subcommands()
{
    static std::vector<Subcommand> const all {
        { "serve", "", "run an entry box until SIGTERM, then drain it", { "box", "balancer_lag_ms", "log_level" }, 0,
            run_serve },
        { "route", "", "run a box on the users' platform until SIGTERM, then drain it",
            { "metrics_port", "ports_file", "servers", "log_level" }, 0, run_route },
        { "check", "FILE", "check a settings document and name every fault", {}, 1, run_check },
        { "publish", "FILE", "publish a settings document to the platform's log", { "platform", "author", "base" }, 1,
            run_publish },
        { "show", "FILE", "show resolved settings and where each was inherited from",
            { "class", "account", "endpoint" }, 1, run_show },
        { "status", "", "show the status of a box", { "box_address", "key_file" }, 0, run_status },
        { "explain", "ID | --window=FROM-TO", "tell what was decided on a request, and why; or sum up a period",
            { "box_address", "key_file", "log", "window" }, 1, run_explain, "window" },
    };
    return all;
}

void print_usage(std::ostream& stream)
{
    stream << "usage: cleatbeam SUBCOMMAND [flags] [arguments]\n\n";
    for (auto const& subcommand : subcommands())
        stream << "  " << subcommand.name << " " << subcommand.arguments << "\n      " << subcommand.summary << "\n";
    stream << "\n`cleatbeam SUBCOMMAND --help` lists its flags.\n";
}

void print_help(Subcommand const& subcommand)
{
    std::cout << "usage: cleatbeam " << subcommand.name << " [flags] " << subcommand.arguments << "\n  "
              << subcommand.summary << "\n";
    for (auto const& flag : subcommand.flags) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(flag.c_str(), &info))
            std::cout << "  --" << flag << "  " << info.description << " (" << info.type << ", default \""
                      << info.default_value << "\")\n";
    }
}

/// The flag's name in "--name", "-name" or "--name=value"; empty for any other word.
std::string flag_name(std::string const& word)
{
    if (word.size() < 2 || word[0] != '-')
        return "";
    auto const start = word.find_first_not_of('-');
    if (start == std::string::npos)
        return "";
    return word.substr(start, word.find('=') - start);
}

int usage_error(std::string const& message)
{
    std::cerr << "cleatbeam: " << message << "\n";
    return exit_usage;
}

}

int run_command_line(int argc, char** argv)
{
    std::vector<std::string> const words(argv + 1, argv + argc);
    if (words.empty()) {
        print_usage(std::cerr);
        return exit_usage;
    }
    if (words[0] == "--help" || words[0] == "help") {
        print_usage(std::cout);
        return exit_success;
    }
    auto const subcommand = std::ranges::find(subcommands(), words[0], &Subcommand::name);
    if (subcommand == subcommands().end())
        return usage_error("unknown subcommand '" + words[0] + "'; see cleatbeam --help");
    std::vector<std::string> positional;
    bool is_flag_for_arguments_set = false;
    for (std::size_t index = 1; index < words.size(); ++index) {
        auto const name = flag_name(words[index]);
        if (name.empty()) {
            positional.push_back(words[index]);
            continue;
        }
        if (name == "help") {
            print_help(*subcommand);
            return exit_success;
        }
        if (std::ranges::find(subcommand->flags, name) == subcommand->flags.end())
            return usage_error("unknown flag --" + name + " for " + std::string(subcommand->name));
        auto const equals = words[index].find('=');
        std::string value;
        if (equals != std::string::npos) {
            value = words[index].substr(equals + 1);
        } else if (index + 1 < words.size()) {
            value = words[++index];
        } else {
            return usage_error("flag --" + name + " needs a value");
        }
        // NOTE: The flag library would end the process with code 1 on a bad value; setting flags one by one does not.
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return usage_error("bad value '" + value + "' for --" + name);
        is_flag_for_arguments_set |= name == subcommand->flag_for_arguments;
    }
    auto const wanted_count = is_flag_for_arguments_set ? 0 : subcommand->positional_count;
    if (positional.size() != wanted_count)
        return usage_error(std::string(subcommand->name) + " takes " + std::to_string(wanted_count) + " argument(s)"
            + (is_flag_for_arguments_set ? " with --" + std::string(subcommand->flag_for_arguments) : "") + ", got "
            + std::to_string(positional.size()));
    return subcommand->run(positional);
}
