#include "LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <pcg_random.hpp>
#include <random>

namespace {

/// Requests a second that the pool of a class serves when it serves nothing else.
double capacity_of(
    Scenario const& scenario, LoadClass const& load, double token_ms, double batch_slope, double prefill_token_ms)
{
    constexpr double milliseconds_per_second = 1000;
    if (load.pool == "service")
        return scenario.services * scenario.service_slots * milliseconds_per_second / load.work_ms;
    auto const step = token_ms * (1 + batch_slope * (scenario.engine_slots - 1));
    auto const request_ms = load.mean_tokens * step + load.prompt_tokens * prefill_token_ms;
    return scenario.engines * scenario.engine_slots * milliseconds_per_second / request_ms;
}

/// A UUIDv7 for a key made at run time is put in by the sender; the plan only numbers the keys.
std::string key_name(std::uint64_t seed, std::size_t number)
{
    return fmt::format("{:04x}-{:012x}", seed & 0xffffU, number);
}

}

std::vector<PlannedRequest> plan_load(Scenario const& scenario, double seconds, std::uint64_t seed, double token_ms,
    double batch_slope, double prefill_token_ms)
{
    pcg64 random(seed);
    std::discrete_distribution<std::size_t> pick_account(
        scenario.account_shares.begin(), scenario.account_shares.end());
    std::vector<PlannedRequest> plan;
    for (std::size_t class_index = 0; class_index < scenario.classes.size(); ++class_index) {
        auto const& load = scenario.classes[class_index];
        auto const capacity = capacity_of(scenario, load, token_ms, batch_slope, prefill_token_ms);
        // NOTE: The lognormal's mean is exp(mu + spread^2 / 2), so mu is chosen to give the mean asked for.
        std::lognormal_distribution<double> length(
            std::log(load.mean_tokens) - load.spread * load.spread / 2, load.spread);
        double phase_start = 0;
        for (auto const& phase : scenario.phases) {
            auto const phase_end = phase_start + phase.share_of_time * seconds;
            auto const rate = capacity * phase.demand[class_index];
            std::exponential_distribution<double> gap(rate);
            auto due = phase_start + gap(random);
            while (due < phase_end) {
                auto const tokens
                    = std::clamp(static_cast<int>(length(random)), 1, static_cast<int>(load.mean_tokens * 8));
                plan.push_back({ due, class_index, pick_account(random), tokens, "", "",
                    static_cast<std::size_t>(&phase - scenario.phases.data()), phase.urgent_fits });
                due += gap(random);
            }
            phase_start = phase_end;
        }
    }
    std::ranges::sort(plan, {}, &PlannedRequest::due_seconds);
    for (std::size_t number = 0; number < plan.size(); ++number) {
        plan[number].token = fmt::format("r{}-{}", seed, number);
        plan[number].key = key_name(seed, number);
    }
    return plan;
}
