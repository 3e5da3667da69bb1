#include <LibRouting/Placement.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <xxhash.h>

namespace Routing {

namespace {

/// The same weight on every box, so that all boxes send requests about one thing to the same endpoint without talking.
std::uint64_t rendezvous_weight(std::uint64_t subject, std::string const& incarnation)
{
    return XXH3_64bits_withSeed(incarnation.data(), incarnation.size(), subject);
}

/// The last part that other requests share too; the very last one belongs to the request or its session.
std::optional<std::uint64_t> shared_subject(Workload const& workload)
{
    if (workload.prompt.empty())
        return {};
    auto const position = workload.prompt.size() >= 2 ? workload.prompt.size() - 2 : 0;
    return workload.prompt[position].id;
}

using Endpoints = std::vector<KnownEndpoint const*>;

/// The endpoints of a service by whether they are meant for a request, each part in the order given.
struct Sides {
    Endpoints meant;
    Endpoints others;
};

/// Engines meant for a request: the first ones of a common order for long answers, the others for long prompts.
Sides divide(Endpoints const& candidates, PlacementQuery const& query)
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
    Sides sides;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        bool const is_for_answers = weights[index] <= *last_for_answers;
        (is_for_answers == long_answer ? sides.meant : sides.others).push_back(candidates[index]);
    }
    return sides;
}

KnownEndpoint const* home_of(Endpoints const& meant, std::uint64_t subject)
{
    return *std::ranges::max_element(meant, {},
        [&](KnownEndpoint const* endpoint) { return rendezvous_weight(subject, endpoint->record.incarnation); });
}

/// Some of the endpoints by lot: the given part of them, two at least.
Endpoints drawn(Endpoints endpoints, double share, pcg32& random)
{
    /// Two by lot spread load nearly as well as all, when what is known of it is old.
    constexpr std::size_t fewest = 2;
    auto const part = static_cast<std::size_t>(std::ceil(static_cast<double>(endpoints.size()) * share));
    auto const count = std::max(fewest, part);
    if (count >= endpoints.size())
        return endpoints;
    for (std::size_t index = 0; index < count; ++index) {
        auto const left = static_cast<std::uint32_t>(endpoints.size() - index);
        std::swap(endpoints[index], endpoints[index + random(left)]);
    }
    endpoints.resize(count);
    return endpoints;
}

/// The endpoints that a box compares: all, or the home and some of each side.
Sides compared(Sides sides, KnownEndpoint const* home, PlacementQuery const& query)
{
    if (!query.is_engine || query.compared_share >= 1)
        return sides;
    pcg32 random(query.draw);
    Sides chosen { drawn(std::move(sides.meant), query.compared_share, random),
        drawn(std::move(sides.others), query.compared_share, random) };
    if (home != nullptr && std::ranges::find(chosen.meant, home) == chosen.meant.end())
        chosen.meant.push_back(home);
    return chosen;
}

/// What an engine has to read of a prompt, by what it is believed to keep.
struct TokensToRead {
    double all { 0 };
    /// Those of parts that other requests share.
    double shared { 0 };
    /// All, if what precedes the last part is certainly kept or short beside it; else 0.
    double certain { 0 };
};

TokensToRead tokens_to_read(Workload const& workload, EndpointLoad const& load, bool is_home,
    PlacementQuery const& query, PlacementModel const& model)
{
    TokensToRead to_read { static_cast<double>(workload.prompt_tokens), 0, 0 };
    for (std::size_t index = 0; index + 1 < workload.prompt.size(); ++index)
        to_read.shared += workload.prompt[index].tokens;
    // NOTE: A kept part saves nothing unless every part before it is kept too.
    for (std::size_t index = 0; index < workload.prompt.size(); ++index) {
        auto const& part = workload.prompt[index];
        bool const is_shared = index + 1 < workload.prompt.size();
        bool const is_held = load.memory().holds(part.id, query.now);
        if (!is_held && !(is_home && is_shared))
            break;
        auto const kept = part.tokens * (is_held ? 1 : model.kept_at_home);
        to_read.all -= kept;
        to_read.shared -= is_shared ? kept : 0;
    }
    to_read.all = std::max(0.0, to_read.all);
    to_read.shared = std::max(0.0, to_read.shared);
    /// Part of the tokens to read that another box may have made the engine keep without a speed being far off.
    constexpr double most_uncertain = 0.2;
    to_read.certain = to_read.shared <= to_read.all * most_uncertain ? to_read.all : 0;
    return to_read;
}

/// A prediction and what it costs to choose it, in milliseconds.
struct Candidate {
    PlacementChoice choice;
    double cost { 0 };
};

Candidate predict_engine(KnownEndpoint const& endpoint, EndpointLoad const& load, bool is_home,
    PlacementQuery const& query, PlacementModel const& model)
{
    auto const to_read = tokens_to_read(query.workload, load, is_home, query, model);
    auto const prefill = query.speed.reading_milliseconds(to_read.all);
    auto const backlog = Core::to_milliseconds(load.prefill_backlog(query.now));
    auto const running = load.running(query.now);
    auto const first_piece = backlog + prefill + query.speed.step_milliseconds;
    auto const read_again = query.speed.reading_milliseconds(to_read.shared) * model.read_again_factor;
    auto const occupancy = running / std::max(1U, endpoint.record.slots);
    auto const congestion = std::max(0.0, 2 * occupancy - 1) * model.full_engine_milliseconds;
    return { { endpoint.id, Core::from_seconds(prefill / 1000), Core::from_seconds(first_piece / 1000),
                 { first_piece, backlog, static_cast<std::uint32_t>(to_read.all),
                     static_cast<std::uint32_t>(to_read.certain), running, 0, is_home, 0, {} } },
        first_piece + read_again + congestion };
}

Candidate predict_plain(
    KnownEndpoint const& endpoint, EndpointLoad const& load, PlacementQuery const& query, PlacementModel const& model)
{
    auto const running = load.running(query.now);
    auto const free_slots = static_cast<double>(endpoint.record.slots) - running;
    auto const turns = free_slots >= 1 ? 0.0 : (1 - free_slots) / std::max(1U, endpoint.record.slots);
    // NOTE: Among endpoints with free slots the emptier one is taken, since peers send there too.
    auto const busy_share = running / std::max(1U, endpoint.record.slots);
    auto const expected = model.plain_call_milliseconds * (1 + turns + busy_share / 2);
    return { { endpoint.id, Duration { 0 }, Core::from_seconds(expected / 1000),
                 { expected, 0, 0, 0, running, 0, false, 0, {} } },
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
    auto sides = divide(has_usual ? candidates.usual : candidates.limited, query);
    auto const subject = query.is_engine ? shared_subject(query.workload) : std::nullopt;
    auto const* const home = subject ? home_of(sides.meant, *subject) : nullptr;
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
    auto const chosen = compared(std::move(sides), home, query);
    for (auto const* endpoint : chosen.meant)
        consider(endpoint, 0, model);
    for (auto const* endpoint : chosen.others)
        consider(endpoint, model.wrong_side_milliseconds, model);
    if (has_usual) {
        auto of_turn = model;
        of_turn.read_again_factor = model.limited_read_again_factor;
        for (auto const* endpoint : candidates.limited)
            consider(endpoint, -model.limited_gain_milliseconds, of_turn);
    }
    best->choice.figures.candidates = candidates.usual.size() + candidates.limited.size();
    best->choice.figures.speed = query.speed;
    best->choice.figures.subject = subject.value_or(0);
    return best->choice;
}

}
