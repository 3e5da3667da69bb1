#include <LibRouting/EngineDemand.h>

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// Requests that an engine runs concurrently before its steps become noticeably slower.
constexpr double concurrent_answers = 32;
/// Average fraction of a prompt that an engine has to read; the rest is cached from earlier prompts.
constexpr double uncached_share = 0.5;

double prompt_work(Workload const& workload)
{
    return workload.prompt_tokens * uncached_share;
}

double answer_work(Workload const& workload)
{
    return workload.answer_tokens * prompt_tokens_per_step / concurrent_answers;
}

}

double engine_work(Workload const& workload)
{
    return prompt_work(workload) + answer_work(workload);
}

WorkKind work_kind(Workload const& workload)
{
    /// An answer is long if generating it takes this many times as long as reading its prompt. Summaries of long texts
    /// take about as long to generate as to read, digests of short ones seventy times as long.
    constexpr double long_answer_ratio = 6;
    /// Engines read a prompt in chunks of 1,024 to 4,096 tokens, one in each step. A longer prompt holds up the streams
    /// beside it for several steps, whatever follows it, and its shared parts would otherwise be cached in both groups
    /// of engines.
    constexpr std::uint32_t max_short_prompt_tokens = 4096;
    if (workload.prompt_tokens > max_short_prompt_tokens)
        return WorkKind::LongPrompt;
    return workload.answer_tokens * prompt_tokens_per_step > workload.prompt_tokens * long_answer_ratio
        ? WorkKind::LongAnswer
        : WorkKind::LongPrompt;
}

void EngineDemand::add(Workload const& workload, Core::Instant now)
{
    if (work_kind(workload) == WorkKind::LongAnswer)
        this->answers.add(answer_work(workload), now);
    else
        this->prompts.add(engine_work(workload), now);
}

std::size_t EngineDemand::engines_for_answers(std::size_t engines, Core::Instant now)
{
    if (engines < min_engines_to_divide)
        return 0;
    if (this->relay_share && this->relay_share->is_recent(now)) {
        auto const reported = std::lround(this->relay_share->value * static_cast<double>(engines));
        this->allotted = static_cast<std::size_t>(std::max(1L, reported));
        this->allotted_of = engines;
        return this->allotted;
    }
    auto const needed = std::max(1.0, this->share_of_answers(now) * static_cast<double>(engines));
    auto const has = static_cast<double>(this->allotted);
    bool const has_changed = std::abs(needed - has) > std::max(min_change_engines, has * min_change_share);
    if (engines != this->allotted_of || has_changed)
        this->allotted = static_cast<std::size_t>(std::lround(needed));
    this->allotted_of = engines;
    return this->allotted;
}

WorkTotals EngineDemand::own_totals(Core::Instant now) const
{
    return { this->answers.value(now), this->prompts.value(now) };
}

void EngineDemand::apply_peer(std::uint64_t box, WorkTotals totals, Core::Instant at)
{
    std::erase_if(this->peers, [at](auto const& entry) { return !entry.second.is_recent(at); });
    this->peers.insert_or_assign(box, Reported<WorkTotals> { totals, at });
}

void EngineDemand::apply_totals_of_others(WorkTotals totals, Core::Instant now)
{
    this->totals_of_others = { totals, now };
}

void EngineDemand::apply_relay_share(double share, Core::Instant now)
{
    this->relay_share = { share, now };
}

std::optional<double> EngineDemand::answer_share() const
{
    if (this->allotted_of == 0)
        return {};
    return static_cast<double>(this->allotted) / static_cast<double>(this->allotted_of);
}

double EngineDemand::tokens_per_second(Core::Instant now) const
{
    // NOTE: A sum with this half-life holds the work of this many seconds.
    auto const seconds_held = Core::to_seconds(half_life) / std::log(2.0);
    auto const totals = this->all_totals(now);
    return (totals.answer_work + totals.prompt_work) / seconds_held;
}

WorkTotals EngineDemand::all_totals(Core::Instant now) const
{
    auto totals = this->own_totals(now);
    if (this->totals_of_others && this->totals_of_others->is_recent(now)) {
        totals.answer_work += this->totals_of_others->value.answer_work;
        totals.prompt_work += this->totals_of_others->value.prompt_work;
    }
    for (auto const& [box, reported] : this->peers) {
        if (!reported.is_recent(now))
            continue;
        totals.answer_work += reported.value.answer_work;
        totals.prompt_work += reported.value.prompt_work;
    }
    return totals;
}

double EngineDemand::share_of_answers(Core::Instant now) const
{
    auto const totals = this->all_totals(now);
    auto const all = totals.answer_work + totals.prompt_work;
    if (all <= 0)
        return min_share;
    return std::clamp(totals.answer_work / all, min_share, max_share);
}

}
