#pragma once

#include "Scenario.h"

#include <cstdint>

/// A request with its scheduled time.
struct PlannedRequest {
    double due_seconds { 0 };
    std::size_t class_index { 0 };
    std::size_t account { 0 };
    int tokens { 0 };
    std::string token;
    std::string key;
    std::size_t phase { 0 };
    bool urgent_fits { true };
};

/// Draws all arrivals of a run before it starts, so that they are the same for every policy.
[[nodiscard]] std::vector<PlannedRequest> plan_load(Scenario const& scenario, double seconds, std::uint64_t seed,
    double token_ms, double batch_slope, double prefill_token_ms);
