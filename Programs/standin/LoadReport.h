#pragma once

#include "LoadPlan.h"

#include <map>
#include <string>

/// What the caller of one request saw in the end.
enum class SeenOutcome {
    Completed,
    NotRun,
    Undecided,
    Unknown,
    /// The caller's patience ended first.
    GivenUp,
    /// The connection broke without an outcome.
    NoAnswer,
};

struct RequestResult {
    SeenOutcome outcome { SeenOutcome::NoAnswer };
    /// From when it was due, in milliseconds; meaningful for completed ones.
    double target_ms { 0 };
    double whole_ms { 0 };
    bool wrong_answer { false };
    int attempts { 0 };
    bool was_refused { false };
};

/// What the endpoints' journals say of one request.
struct JournalCount {
    int runs { 0 };
    long tokens { 0 };
};

struct RunFigures {
    double seconds { 0 };
    std::uint64_t lower_tier_sheds { 0 };
    std::uint64_t urgent_refusals_beside_lower_work { 0 };
    double appends_per_second { 0 };
};

/// Prints a key=value line for each class and one for the whole run.
void print_report(Scenario const& scenario, std::string const& policy, std::vector<PlannedRequest> const& plan,
    std::vector<RequestResult> const& results, std::map<std::string, JournalCount> const& journal,
    RunFigures const& figures);
