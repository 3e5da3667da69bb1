#pragma once

#include <optional>
#include <string>
#include <vector>

/// A class of requests of the load generator. Latencies are in milliseconds.
struct LoadClass {
    std::string name;
    int tier { 0 };
    /// "model" or "service".
    std::string pool;
    bool streaming { false };
    bool repeatable { true };
    /// Answer length in tokens: lognormal with this mean and this spread of the logarithm.
    double mean_tokens { 32 };
    double spread { 0.5 };
    int prompt_tokens { 40 };
    /// Time that a plain service takes, in milliseconds.
    double work_ms { 30 };
    double target_ms { 500 };
    bool target_is_first_token { true };
    double patience_ms { 5000 };
    double floor { 0 };
    bool late_answer_useful { true };
    /// How often the client retries after Retry-After.
    int most_returns { 0 };
};

/// Demand of each class in one phase, as a share of its pool's capacity; in the order of the classes.
struct LoadPhase {
    double share_of_time { 0 };
    std::vector<double> demand;
    /// Whether the capacity suffices for the demand of the highest tier alone.
    bool urgent_fits { true };
};

struct Scenario {
    std::string name;
    int engines { 9 };
    int services { 3 };
    int engine_slots { 6 };
    int service_slots { 2 };
    std::vector<LoadClass> classes;
    std::vector<LoadPhase> phases;
    /// Share of requests of each account; adds up to 1.
    std::vector<double> account_shares;
};

[[nodiscard]] std::optional<Scenario> find_scenario(std::string const& name);

/// Settings document for a scenario. Ports in order: engines, then services.
[[nodiscard]] std::string settings_for(
    Scenario const& scenario, std::vector<std::string> const& ports, std::string const& policy, int boxes);

/// The key that the load generator presents for an account.
[[nodiscard]] std::string account_key(std::size_t account);
