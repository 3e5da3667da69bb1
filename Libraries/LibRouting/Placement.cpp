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

/// Which engines of a service are meant for a request: the first ones for long answers, the others for long prompts.
std::vector<KnownEndpoint const*> preferred_side(
    std::vector<KnownEndpoint const*> const& candidates, PlacementQuery const& query)
{
    auto const for_answers = query.engines_for_answers;
    if (for_answers == 0 || for_answers >= candidates.size())
        return candidates;
    std::vector<std::pair<std::uint64_t, KnownEndpoint const*>> order;
    order.reserve(candidates.size());
    for (auto const* endpoint : candidates)
        order.emplace_back(rendezvous_weight(0, endpoint->record.incarnation), endpoint);
    std::ranges::sort(order);
    bool const long_answer = work_kind(query.workload) == WorkKind::LongAnswer;
    std::vector<KnownEndpoint const*> side;
    for (std::size_t index = long_answer ? 0 : for_answers; index < (long_answer ? for_answers : order.size()); ++index)
        side.push_back(order[index].second);
    return side;
}

KnownEndpoint const* home_of(std::vector<KnownEndpoint const*> const& side, std::uint64_t subject)
{
    return *std::ranges::max_element(side, {},
        [&](KnownEndpoint const* endpoint) { return rendezvous_weight(subject, endpoint->record.incarnation); });
}

/// Some of the endpoints by lot, or all where `count` is no less.
std::vector<KnownEndpoint const*> drawn(std::vector<KnownEndpoint const*> endpoints, std::size_t count, pcg32& random)
{
    if (count >= endpoints.size())
        return endpoints;
    for (std::size_t index = 0; index < count; ++index) {
        auto const left = static_cast<std::uint32_t>(endpoints.size() - index);
        std::swap(endpoints[index], endpoints[index + random(left)]);
    }
    endpoints.resize(count);
    return endpoints;
}

/// The endpoints that a box compares: the home, and some of each side.
std::vector<KnownEndpoint const*> compared(std::vector<KnownEndpoint const*> const& candidates,
    std::vector<KnownEndpoint const*> const& side, KnownEndpoint const* home, PlacementQuery const& query)
{
    if (query.compared_share >= 1)
        return candidates;
    /// Two by lot spread load nearly as well as all, when what is known of it is old.
    constexpr std::size_t fewest = 2;
    auto const count = [&](std::vector<KnownEndpoint const*> const& endpoints) {
        auto const share = std::ceil(static_cast<double>(endpoints.size()) * query.compared_share);
        return std::max(fewest, static_cast<std::size_t>(share));
    };
    std::vector<KnownEndpoint const*> others;
    for (auto const* endpoint : candidates) {
        if (std::ranges::find(side, endpoint) == side.end())
            others.push_back(endpoint);
    }
    pcg32 random(query.draw);
    auto chosen = drawn(side, count(side), random);
    std::ranges::copy(drawn(others, count(others), random), std::back_inserter(chosen));
    if (home != nullptr && std::ranges::find(chosen, home) == chosen.end())
        chosen.push_back(home);
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

std::optional<PlacementChoice> choose_endpoint(std::vector<KnownEndpoint const*> const& candidates,
    LoadTable const& loads, PlacementQuery const& query, PlacementModel const& model)
{
    if (candidates.empty())
        return {};
    static EndpointLoad const unknown_load;
    auto const side = query.is_engine ? preferred_side(candidates, query) : candidates;
    auto const subject = query.is_engine ? shared_subject(query.workload) : std::nullopt;
    auto const* const home = subject ? home_of(side, *subject) : nullptr;
    std::optional<Candidate> best;
    for (auto const* endpoint : query.is_engine ? compared(candidates, side, home, query) : candidates) {
        auto const found = loads.find(endpoint->id);
        auto const& load = found == loads.end() ? unknown_load : found->second;
        auto candidate = query.is_engine ? predict_engine(*endpoint, load, endpoint == home, query, model)
                                         : predict_plain(*endpoint, load, query, model);
        candidate.cost += load.failure_share(query.now) * model.failure_milliseconds;
        candidate.cost += Core::to_milliseconds(load.overdue(query.now)) * model.overdue_factor;
        if (endpoint->record.failure_domain != query.own_domain)
            candidate.cost += model.other_domain_milliseconds;
        if (std::ranges::find(side, endpoint) == side.end())
            candidate.cost += model.wrong_side_milliseconds;
        if (!best || candidate.cost < best->cost)
            best = candidate;
    }
    best->choice.figures.candidates = candidates.size();
    best->choice.figures.speed = query.speed;
    best->choice.figures.subject = subject.value_or(0);
    return best->choice;
}

}
