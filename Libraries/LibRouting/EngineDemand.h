#pragma once

#include <LibRouting/DecayingSum.h>
#include <LibRouting/Workload.h>

#include <map>
#include <optional>

namespace Routing {

/// What a request mostly costs an engine.
enum class WorkKind {
    LongPrompt,
    LongAnswer,
};

/// Prompt tokens that an engine reads in the time of one step, about. The kinds of work and the division rest on this
/// and not on learnt speeds, which differ between boxes: with those, boxes would divide the engines differently.
inline constexpr double prompt_tokens_per_step = 200;

/// By the numbers of tokens alone, so that all boxes agree.
[[nodiscard]] WorkKind work_kind(Workload const& workload);

/// What the recent requests of a service ask of its engines, by kind and as prompt tokens that could be read in the
/// same time; older ones count for less.
struct WorkTotals {
    double answer_work { 0 };
    double prompt_work { 0 };

    bool operator==(WorkTotals const&) const = default;
};

/// How a service's recent requests divide into long prompts and long answers, as this box sees them and others tell.
/// Where hundreds of boxes see few requests each, reports of all are too rare; there a relay adds up what its askers
/// see and tells the division to all.
class EngineDemand {
public:
    void add(Workload const& workload, Core::Instant now);
    /// How many of a service's engines long answers get. Changes only when the need has clearly changed: each change
    /// makes engines read shared prompt parts again, and boxes that see different samples would disagree.
    [[nodiscard]] std::size_t engines_for_answers(std::size_t engines, Core::Instant now);

    /// What this box itself has lately seen.
    [[nodiscard]] WorkTotals own_totals(Core::Instant now) const;
    /// What this box and those that told have lately seen, all together.
    [[nodiscard]] WorkTotals all_totals(Core::Instant now) const;
    /// The same as work that comes in a second, in prompt tokens.
    [[nodiscard]] double tokens_per_second(Core::Instant now) const;
    /// What another box has lately seen, as of `at`, in place of what it told before.
    void apply_peer(std::uint64_t box, WorkTotals totals, Core::Instant at);
    /// What other boxes have lately seen, all together.
    void apply_totals_of_others(WorkTotals totals, Core::Instant now);
    /// The part of the engines that long answers get, as a relay decided for all boxes of the failure domain.
    void apply_relay_share(double share, Core::Instant now);
    /// The part of the engines that this box gives to long answers; nothing before it first divided any.
    [[nodiscard]] std::optional<double> answer_share() const;

private:
    template <typename Value> struct Reported {
        Value value;
        Core::Instant at;

        [[nodiscard]] bool is_recent(Core::Instant now) const { return now - this->at <= report_retention; }
    };

    [[nodiscard]] double share_of_answers(Core::Instant now) const;

    /// What others told holds this long: a box that goes from one relay to the next keeps its division meanwhile.
    static constexpr Core::Duration report_retention { std::chrono::seconds(6) };

    /// A box of the first sites sees some ten requests a second; fewer than a hundred make the share a matter of luck.
    static constexpr Core::Duration half_life { std::chrono::seconds(6) };
    /// By how much the need must differ from what long answers have, in engines and as a part of what they have.
    static constexpr double min_change_engines = 0.8;
    static constexpr double min_change_share = 0.15;
    /// Requests that an engine runs side by side before its steps grow noticeably.
    static constexpr double concurrent_answers = 32;
    /// Part of a prompt that an engine has to read on average; the rest is kept from earlier ones.
    static constexpr double uncached_share = 0.5;
    /// Engines for long answers when there are hardly any: one in five, so that a burst finds room.
    static constexpr double min_share = 0.2;
    static constexpr double max_share = 0.7;
    /// With fewer engines every one takes both kinds.
    static constexpr std::size_t min_engines_to_divide = 3;

    DecayingSum answers { half_life };
    DecayingSum prompts { half_life };
    std::map<std::uint64_t, Reported<WorkTotals>> peers;
    std::optional<Reported<WorkTotals>> totals_of_others;
    std::optional<Reported<double>> relay_share;
    std::size_t allotted { 0 };
    std::size_t allotted_of { 0 };
};

}
