#pragma once

#include <LibRouting/EndpointLoad.h>
#include <LibRouting/FadingSum.h>

namespace Routing {

/// Speeds of engines that placement reckons with, from the users' sheets.
struct EngineSpeed {
    /// Prompt tokens that an engine reads in a millisecond.
    double prefill_tokens_per_millisecond { 56.9 };
    /// A step of an engine without other requests; each step makes one token of every running request.
    double step_milliseconds { 3.09 };
    /// What each running request adds to a step.
    double step_milliseconds_per_request { 0.102 };

    [[nodiscard]] double reading_milliseconds(Workload const& workload) const
    {
        return workload.prompt_tokens / this->prefill_tokens_per_millisecond;
    }
    [[nodiscard]] double writing_milliseconds(Workload const& workload) const
    {
        return workload.answer_tokens * this->step_milliseconds;
    }

    bool operator==(EngineSpeed const&) const = default;
};

/// What a request mostly costs an engine.
enum class WorkKind {
    LongPrompt,
    LongAnswer,
};

[[nodiscard]] WorkKind work_kind(Workload const& workload, EngineSpeed const& speed);

/// How a service's recent requests divide into long prompts and long answers, as this box sees them. Boxes see samples
/// of the same traffic, so they come to nearly the same division without talking.
class EngineDemand {
public:
    void add(Workload const& workload, EngineSpeed const& speed, Core::Instant now);
    /// The part of the engines that long answers need.
    [[nodiscard]] double share_of_answers(Core::Instant now) const;

private:
    /// Bursts last some seconds; a few requests are enough for a rough division.
    static constexpr Core::Duration half_life { std::chrono::seconds(2) };
    /// Requests that an engine runs side by side before its steps grow noticeably.
    static constexpr double answers_side_by_side = 32;
    /// Part of a prompt that an engine has to read on average; the rest is kept from earlier ones.
    static constexpr double unkept_share = 0.5;
    /// Engines for long answers when there are hardly any: one in five, so that a burst finds room.
    static constexpr double least_share = 0.2;
    static constexpr double most_share = 0.7;

    FadingSum answers { half_life };
    FadingSum prompts { half_life };
};

}
