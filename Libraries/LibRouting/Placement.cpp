#include <LibRouting/Placement.h>

#include <algorithm>
#include <cmath>
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

KnownEndpoint const* home_of(std::vector<KnownEndpoint const*> const& candidates, std::uint64_t subject)
{
    return *std::ranges::max_element(candidates, {},
        [&](KnownEndpoint const* endpoint) { return rendezvous_weight(subject, endpoint->record.incarnation); });
}

/// Divides the engines of a service in two: the first ones for long answers, the others for long prompts.
class Sides {
public:
    Sides(std::vector<KnownEndpoint const*> const& candidates, double share_for_answers)
    {
        if (candidates.size() < fewest_to_divide)
            return;
        std::vector<std::pair<std::uint64_t, EndpointId>> order;
        for (auto const* endpoint : candidates)
            order.emplace_back(rendezvous_weight(0, endpoint->record.incarnation), endpoint->id);
        std::ranges::sort(order);
        auto const count = std::lround(static_cast<double>(order.size()) * share_for_answers);
        for (long index = 0; index < count; ++index)
            this->for_answers.push_back(order[static_cast<std::size_t>(index)].second);
        this->is_divided = true;
    }

    [[nodiscard]] bool is_wrong_side(EndpointId endpoint, bool long_answer) const
    {
        if (!this->is_divided)
            return false;
        bool const is_for_answers = std::ranges::find(this->for_answers, endpoint) != this->for_answers.end();
        return is_for_answers != long_answer;
    }

private:
    static constexpr std::size_t fewest_to_divide = 3;

    std::vector<EndpointId> for_answers;
    bool is_divided { false };
};

/// Prompt tokens that the engine has to read, by what it is believed to keep.
double tokens_to_read(Workload const& workload, EndpointLoad const& load, bool is_home, PlacementQuery const& query,
    PlacementModel const& model)
{
    double to_read = workload.prompt_tokens;
    // NOTE: A kept part saves nothing unless every part before it is kept too.
    for (std::size_t index = 0; index < workload.prompt.size(); ++index) {
        auto const& part = workload.prompt[index];
        if (load.memory().holds(part.id, query.now)) {
            to_read -= part.tokens;
            continue;
        }
        bool const is_shared = index + 1 < workload.prompt.size();
        if (!is_home || !is_shared)
            break;
        to_read -= part.tokens * model.kept_at_home;
    }
    return std::max(0.0, to_read);
}

PlacementChoice predict_engine(KnownEndpoint const& endpoint, EndpointLoad const& load, bool is_home,
    PlacementQuery const& query, PlacementModel const& model)
{
    auto const to_read = tokens_to_read(query.workload, load, is_home, query, model);
    auto const prefill = to_read / model.prefill_tokens_per_millisecond;
    auto const backlog = Core::to_milliseconds(load.prefill_backlog(query.now));
    auto const running = load.running(query.now);
    auto const step = model.step_milliseconds + model.step_milliseconds_per_request * running;
    auto const first_piece = backlog + prefill + step;
    return { endpoint.id, Core::from_seconds(prefill / 1000), Core::from_seconds(first_piece / 1000),
        { first_piece, backlog, static_cast<std::uint32_t>(to_read), running, 0 } };
}

PlacementChoice predict_plain(
    KnownEndpoint const& endpoint, EndpointLoad const& load, PlacementQuery const& query, PlacementModel const& model)
{
    auto const running = load.running(query.now);
    auto const free_slots = static_cast<double>(endpoint.record.slots) - running;
    auto const turns = free_slots >= 1 ? 0.0 : (1 - free_slots) / std::max(1U, endpoint.record.slots);
    // NOTE: Among endpoints with free slots the emptier one is taken, since peers send there too.
    auto const busy_share = running / std::max(1U, endpoint.record.slots);
    auto const expected = model.plain_call_milliseconds * (1 + turns + busy_share / 2);
    return { endpoint.id, Duration { 0 }, Core::from_seconds(expected / 1000), { expected, 0, 0, running, 0 } };
}

}

std::optional<PlacementChoice> choose_endpoint(std::vector<KnownEndpoint const*> const& candidates,
    LoadTable const& loads, PlacementQuery const& query, PlacementModel const& model)
{
    if (candidates.empty())
        return {};
    static EndpointLoad const unknown_load;
    auto const subject = query.is_engine ? shared_subject(query.workload) : std::nullopt;
    auto const* const home = subject ? home_of(candidates, *subject) : nullptr;
    auto const sides = query.is_engine ? Sides(candidates, model.share_for_long_answers) : Sides({}, 0);
    auto const prompt_milliseconds = query.workload.prompt_tokens / model.prefill_tokens_per_millisecond;
    bool const long_answer = query.workload.answer_tokens * model.step_milliseconds > prompt_milliseconds;
    std::optional<PlacementChoice> best;
    double best_score = 0;
    for (auto const* endpoint : candidates) {
        auto const found = loads.find(endpoint->id);
        auto const& load = found == loads.end() ? unknown_load : found->second;
        auto choice = query.is_engine ? predict_engine(*endpoint, load, endpoint == home, query, model)
                                      : predict_plain(*endpoint, load, query, model);
        auto score = choice.figures.predicted_milliseconds;
        score += load.failure_share(query.now) * model.failure_milliseconds;
        if (endpoint->record.failure_domain != query.own_domain)
            score += model.other_domain_milliseconds;
        if (sides.is_wrong_side(endpoint->id, long_answer))
            score += model.wrong_side_milliseconds;
        if (best && score >= best_score)
            continue;
        best_score = score;
        choice.figures.candidates = candidates.size();
        best = choice;
    }
    return best;
}

}
