#pragma once

#include "LoadPlan.h"

#include <map>
#include <string>

/// How a request ended for its client.
enum class SeenOutcome {
    Completed,
    NotRun,
    Undecided,
    Unknown,
    /// The client's time limit passed first.
    GivenUp,
    /// The connection broke before a complete answer.
    NoAnswer,
};

struct RequestResult {
    SeenOutcome outcome { SeenOutcome::NoAnswer };
    /// Time from the scheduled start to the end, in milliseconds; only for completed requests.
    double target_ms { 0 };
    double whole_ms { 0 };
    bool wrong_answer { false };
    int attempts { 0 };
    bool was_refused { false };
};

/// Entries about one request in the journals of the endpoints.
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
