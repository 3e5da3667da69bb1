#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Exit codes of every subcommand.
enum ExitCode {
    exit_success = 0,
    exit_failure = 1,
    exit_usage = 2,
};

/// A subcommand with its help text and its flags.
struct Subcommand {
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::vector<std::string> flags;
    std::size_t positional_count { 0 };
    int (*run)(std::vector<std::string> const& positional) { nullptr };
    /// The flag that stands in for all arguments; empty if there is none.
    std::string_view flag_for_arguments {};
};

int run_serve(std::vector<std::string> const& positional);
int run_route(std::vector<std::string> const& positional);
int run_check(std::vector<std::string> const& positional);
int run_publish(std::vector<std::string> const& positional);
int run_show(std::vector<std::string> const& positional);
int run_status(std::vector<std::string> const& positional);
int run_explain(std::vector<std::string> const& positional);

/// Checks the words and flags, then runs the subcommand. Unknown words and flags end with `exit_usage`.
int run_command_line(int argc, char** argv);
