#include <LibTraffic/Placement.h>

#include <algorithm>
#include <limits>

namespace Traffic {

namespace {

bool can_place(PlacementQuery const& query, std::size_t index)
{
    auto const& view = query.endpoints.view_at(index);
    return view.accepts_work(query.now) && view.has_capacity(query.limit, query.now);
}

PlacementChoice sole_choice(EndpointId endpoint)
{
    PlacementChoice choice { endpoint, {}, 1 };
    choice.candidates[0] = { endpoint, 0 };
    return choice;
}

/// Predicted milliseconds to the first token at an endpoint.
double score_of(PlacementQuery const& query, EndpointView const& view)
{
    constexpr double prefix_hit_factor = 0.6;
    constexpr double remote_domain_cost_ms = 0.5;
    auto const fill = view.estimated_running(query.now) / std::max(1.0, view.window());
    auto score = Core::to_milliseconds(query.typical_first_token) * view.slowness() * (1 + fill);
    if (query.facts.prefix_hash != 0 && view.has_prefix(query.facts.prefix_hash))
        score *= prefix_hit_factor;
    if (view.settings().failure_domain != query.failure_domain)
        score += remote_domain_cost_ms;
    return score;
}

}

std::optional<PlacementChoice> RoundRobinPlacement::place(PlacementQuery const& query, pcg32&)
{
    auto const size = query.endpoints.size();
    for (std::size_t step = 0; step < size; ++step) {
        auto const index = (this->next + step) % size;
        if (!can_place(query, index))
            continue;
        this->next = index + 1;
        return sole_choice(query.endpoints.id_at(index));
    }
    return {};
}

std::optional<PlacementChoice> LeastOutstandingPlacement::place(PlacementQuery const& query, pcg32& random) const
{
    std::optional<std::size_t> best;
    auto const size = query.endpoints.size();
    auto const first = size == 0 ? 0 : random(static_cast<std::uint32_t>(size));
    for (std::size_t step = 0; step < size; ++step) {
        auto const index = (first + step) % size;
        if (!can_place(query, index))
            continue;
        if (!best || query.endpoints.view_at(index).own_running() < query.endpoints.view_at(*best).own_running())
            best = index;
    }
    if (!best)
        return {};
    return sole_choice(query.endpoints.id_at(*best));
}

std::optional<PlacementChoice> SampledPlacement::place(PlacementQuery const& query, pcg32& random) const
{
    std::vector<std::size_t> candidates;
    auto const size = query.endpoints.size();
    auto const consider = [&](std::size_t index) {
        auto const is_avoided = query.avoided_endpoint && *query.avoided_endpoint == query.endpoints.id_at(index);
        auto const is_known = std::ranges::find(candidates, index) != candidates.end();
        if (!is_avoided && !is_known && can_place(query, index))
            candidates.push_back(index);
    };
    if (size <= max_scanned_pool) {
        for (std::size_t index = 0; index < size; ++index)
            consider(index);
        for (std::size_t kept = 0; kept < std::min(max_candidates, candidates.size()); ++kept)
            std::swap(
                candidates[kept], candidates[kept + random(static_cast<std::uint32_t>(candidates.size() - kept))]);
    } else {
        for (std::size_t tries = 0; tries < max_samples && candidates.size() < max_candidates; ++tries)
            consider(random(static_cast<std::uint32_t>(size)));
        if (candidates.empty() && query.suggested_endpoint) {
            auto const* view = query.endpoints.find(*query.suggested_endpoint);
            if (view != nullptr && view->accepts_work(query.now) && view->has_capacity(query.limit, query.now))
                return sole_choice(*query.suggested_endpoint);
        }
        auto const first = random(static_cast<std::uint32_t>(size));
        for (std::size_t step = 0; candidates.empty() && !query.suggested_endpoint && step < size; ++step)
            consider((first + step) % size);
    }
    if (candidates.empty()) {
        auto const* avoided = query.avoided_endpoint ? query.endpoints.find(*query.avoided_endpoint) : nullptr;
        if (avoided != nullptr && avoided->accepts_work(query.now) && avoided->has_capacity(query.limit, query.now))
            return sole_choice(*query.avoided_endpoint);
        return {};
    }
    PlacementChoice choice;
    auto best_score = std::numeric_limits<double>::infinity();
    for (std::size_t kept = 0; kept < std::min(max_candidates, candidates.size()); ++kept) {
        auto const endpoint = query.endpoints.id_at(candidates[kept]);
        auto const score = score_of(query, query.endpoints.view_at(candidates[kept]));
        choice.candidates[choice.candidate_count++] = { endpoint, score };
        if (score < best_score) {
            best_score = score;
            choice.endpoint = endpoint;
        }
    }
    return choice;
}

}
