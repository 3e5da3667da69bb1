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
    /// How many of a service's engines long answers get. Changes only when the need has clearly changed: each change
    /// makes engines read shared prompt parts again, and boxes that see different samples would disagree.
    [[nodiscard]] std::size_t engines_for_answers(std::size_t engines, Core::Instant now);

private:
    [[nodiscard]] double share_of_answers(Core::Instant now) const;

    /// A box of the first sites sees some ten requests a second; fewer than a hundred make the share a matter of luck.
    static constexpr Core::Duration half_life { std::chrono::seconds(6) };
    /// By how much the need must differ from what long answers have, in engines and as a part of what they have.
    static constexpr double least_change_engines = 0.8;
    static constexpr double least_change_share = 0.15;
    /// Requests that an engine runs side by side before its steps grow noticeably.
    static constexpr double answers_side_by_side = 32;
    /// Part of a prompt that an engine has to read on average; the rest is kept from earlier ones.
    static constexpr double unkept_share = 0.5;
    /// Engines for long answers when there are hardly any: one in five, so that a burst finds room.
    static constexpr double least_share = 0.2;
    static constexpr double most_share = 0.7;
    /// With fewer engines every one takes both kinds.
    static constexpr std::size_t fewest_to_divide = 3;

    FadingSum answers { half_life };
    FadingSum prompts { half_life };
    std::size_t given { 0 };
    std::size_t given_of { 0 };
};

}
