#include <LibRouting/Placement.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <xxhash.h>

namespace Routing {

namespace {

/// Rendezvous hashing: the weight is equal on every box, so all boxes send requests with a common prompt part to the
/// same endpoint without communication.
std::uint64_t rendezvous_weight(std::uint64_t home_key, std::string const& incarnation)
{
    return XXH3_64bits_withSeed(incarnation.data(), incarnation.size(), home_key);
}

/// The prompt part that determines the home: the last one that other requests share. The very last part belongs to the
/// request or its session.
std::optional<std::uint64_t> home_key_of(Workload const& workload)
{
    if (workload.prompt.empty())
        return {};
    auto const position = workload.prompt.size() >= 2 ? workload.prompt.size() - 2 : 0;
    return workload.prompt[position].id;
}

using Endpoints = std::vector<KnownEndpoint const*>;

/// The endpoints of a service, divided by whether they are preferred for a request, each in the given order.
struct EngineGroups {
    Endpoints preferred;
    Endpoints others;
};

/// Engines preferred for a request: the first ones in a common order for long answers, the others for long prompts.
EngineGroups group_by_work_kind(Endpoints const& candidates, PlacementQuery const& query)
{
    auto const for_answers = query.engines_for_answers;
    if (!query.is_engine || for_answers == 0 || for_answers >= candidates.size())
        return { candidates, {} };
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (auto const* endpoint : candidates)
        weights.push_back(rendezvous_weight(0, endpoint->record.incarnation));
    auto ordered = weights;
    auto const last_for_answers = ordered.begin() + static_cast<std::ptrdiff_t>(for_answers) - 1;
    std::ranges::nth_element(ordered, last_for_answers);
    bool const long_answer = work_kind(query.workload) == WorkKind::LongAnswer;
    EngineGroups groups;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        bool const is_for_answers = weights[index] <= *last_for_answers;
        (is_for_answers == long_answer ? groups.preferred : groups.others).push_back(candidates[index]);
    }
    return groups;
}

KnownEndpoint const* home_of(Endpoints const& preferred, std::uint64_t home_key)
{
    return *std::ranges::max_element(preferred, {},
        [&](KnownEndpoint const* endpoint) { return rendezvous_weight(home_key, endpoint->record.incarnation); });
}

/// A random sample of the given fraction of the endpoints, at least two of them.
Endpoints random_sample(Endpoints endpoints, double share, pcg32& random)
{
    /// With outdated load reports, choosing the better of two random endpoints spreads load nearly as well as comparing
    /// all.
    constexpr std::size_t min_count = 2;
    auto const part = static_cast<std::size_t>(std::ceil(static_cast<double>(endpoints.size()) * share));
    auto const count = std::max(min_count, part);
    if (count >= endpoints.size())
        return endpoints;
    for (std::size_t index = 0; index < count; ++index) {
        auto const left = static_cast<std::uint32_t>(endpoints.size() - index);
        std::swap(endpoints[index], endpoints[index + random(left)]);
    }
    endpoints.resize(count);
    return endpoints;
}

/// The endpoints that a box compares: all, or the home and a sample of each group.
EngineGroups sample_groups(EngineGroups groups, KnownEndpoint const* home, PlacementQuery const& query)
{
    if (!query.is_engine || query.compared_share >= 1)
        return groups;
    pcg32 random(query.sample_seed);
    EngineGroups chosen { random_sample(std::move(groups.preferred), query.compared_share, random),
        random_sample(std::move(groups.others), query.compared_share, random) };
    if (home != nullptr && std::ranges::find(chosen.preferred, home) == chosen.preferred.end())
        chosen.preferred.push_back(home);
    return chosen;
}

/// Prompt tokens that an engine has to read, by the estimate of its cache.
struct TokensToRead {
    double all { 0 };
    /// Tokens of parts that other requests share.
    double shared { 0 };
    /// Equal to `all` if the shared parts are certainly cached or short compared to it; otherwise 0.
    double certain { 0 };
};

TokensToRead tokens_to_read(Workload const& workload, EndpointLoad const& load, bool is_home,
    PlacementQuery const& query, PlacementModel const& model)
{
    TokensToRead to_read { static_cast<double>(workload.prompt_tokens), 0, 0 };
    for (std::size_t index = 0; index + 1 < workload.prompt.size(); ++index)
        to_read.shared += workload.prompt[index].tokens;
    // NOTE: A cached part saves nothing unless all parts before it are cached too.
    for (std::size_t index = 0; index < workload.prompt.size(); ++index) {
        auto const& part = workload.prompt[index];
        bool const is_shared = index + 1 < workload.prompt.size();
        bool const is_cached = load.prompt_cache().contains(part.id, query.now);
        if (!is_cached && !(is_home && is_shared))
            break;
        auto const cached = part.tokens * (is_cached ? 1 : model.cached_at_home);
        to_read.all -= cached;
        to_read.shared -= is_shared ? cached : 0;
    }
    to_read.all = std::max(0.0, to_read.all);
    to_read.shared = std::max(0.0, to_read.shared);
    /// Fraction of the tokens to read that may be cached through other boxes without distorting a speed sample.
    constexpr double max_uncertain_share = 0.2;
    to_read.certain = to_read.shared <= to_read.all * max_uncertain_share ? to_read.all : 0;
    return to_read;
}

/// A prediction and the cost of choosing it, in milliseconds.
struct Candidate {
    PlacementChoice choice;
    double cost { 0 };
};

Candidate predict_engine(KnownEndpoint const& endpoint, EndpointLoad const& load, bool is_home,
    PlacementQuery const& query, PlacementModel const& model)
{
    auto const to_read = tokens_to_read(query.workload, load, is_home, query, model);
    auto const pace = load.pace().factor(query.now);
    auto const speed = query.speed.scaled_by(pace);
    auto const prefill = speed.reading_milliseconds(to_read.all);
    auto const backlog = Core::to_milliseconds(load.prefill_backlog(query.now));
    auto const running = load.running(query.now);
    auto const slot = forecast_slot(running, endpoint.record.slots, query.slot_time, query.rank).scaled_by(pace);
    bool const preempts = query.rank == SlotRank::Preempts && slot.queue_milliseconds > 0;
    auto const preemption
        = preempts ? model.preemption_milliseconds + slot.queue_milliseconds * model.equally_urgent_share : 0;
    auto const first_piece = backlog + slot.wait_milliseconds + prefill + speed.step_milliseconds;
    auto const read_again = speed.reading_milliseconds(to_read.shared) * model.reread_factor;
    auto const occupancy = running / std::max(1U, endpoint.record.slots);
    auto const congestion = std::max(0.0, 2 * occupancy - 1) * model.full_engine_milliseconds;
    return { { endpoint.id, Core::from_seconds(prefill / 1000), Core::from_seconds(first_piece / 1000),
                 { first_piece, backlog, slot.wait_milliseconds, static_cast<std::uint32_t>(to_read.all),
                     static_cast<std::uint32_t>(to_read.certain), running, 0, is_home, 0, {}, pace } },
        first_piece + read_again + congestion + preemption };
}

Candidate predict_plain(
    KnownEndpoint const& endpoint, EndpointLoad const& load, PlacementQuery const& query, PlacementModel const& model)
{
    auto const running = load.running(query.now);
    auto const free_slots = static_cast<double>(endpoint.record.slots) - running;
    auto const queue_rounds = free_slots >= 1 ? 0.0 : (1 - free_slots) / std::max(1U, endpoint.record.slots);
    // NOTE: Among endpoints with free slots the least busy one is chosen, since other boxes send requests there too.
    auto const busy_share = running / std::max(1U, endpoint.record.slots);
    auto const expected = model.plain_call_milliseconds * (1 + queue_rounds + busy_share / 2);
    return { { endpoint.id, Duration { 0 }, Core::from_seconds(expected / 1000),
                 { expected, 0, 0, 0, 0, running, 0, false, 0, {}, 1 } },
        expected };
}

}

std::optional<PlacementChoice> choose_endpoint(PlacementCandidates const& candidates, LoadTable const& loads,
    PlacementQuery const& query, PlacementModel const& model)
{
    if (candidates.usual.empty() && candidates.limited.empty())
        return {};
    static EndpointLoad const unknown_load;
    bool const has_usual = !candidates.usual.empty();
    auto groups = group_by_work_kind(has_usual ? candidates.usual : candidates.limited, query);
    auto const home_key = query.is_engine ? home_key_of(query.workload) : std::nullopt;
    auto const* const home = home_key ? home_of(groups.preferred, *home_key) : nullptr;
    std::optional<Candidate> best;
    auto const consider = [&](KnownEndpoint const* endpoint, double extra_cost, PlacementModel const& model) {
        auto const found = loads.find(endpoint->id);
        auto const& load = found == loads.end() ? unknown_load : found->second;
        auto candidate = query.is_engine ? predict_engine(*endpoint, load, endpoint == home, query, model)
                                         : predict_plain(*endpoint, load, query, model);
        candidate.cost += extra_cost;
        candidate.cost += load.failure_share(query.now) * model.failure_milliseconds;
        candidate.cost += Core::to_milliseconds(load.overdue(query.now)) * model.overdue_factor;
        if (endpoint->record.failure_domain != query.own_domain)
            candidate.cost += model.other_domain_milliseconds;
        if (!best || candidate.cost < best->cost)
            best = candidate;
    };
    auto const chosen = sample_groups(std::move(groups), home, query);
    for (auto const* endpoint : chosen.preferred)
        consider(endpoint, 0, model);
    for (auto const* endpoint : chosen.others)
        consider(endpoint, model.wrong_group_milliseconds, model);
    if (has_usual) {
        auto limited_model = model;
        limited_model.reread_factor = model.limited_reread_factor;
        for (auto const* endpoint : candidates.limited)
            consider(endpoint, -model.limited_bonus_milliseconds, limited_model);
    }
    best->choice.figures.candidates = candidates.usual.size() + candidates.limited.size();
    best->choice.figures.speed = query.speed;
    best->choice.figures.home_key = home_key.value_or(0);
    return best->choice;
}

}
