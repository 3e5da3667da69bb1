#pragma once

#include <LibRouting/DecayingSum.h>
#include <LibRouting/Workload.h>

#include <map>
#include <optional>

namespace Routing {

/// How a request burdens an engine.
enum class WorkKind {
    /// Reading its prompt holds up the streams that run beside it.
    LongPrompt,
    /// Most of the engine's time goes into its answer, which suffers from prompts that are read beside it.
    LongAnswer,
};

/// Prompt tokens that an engine reads in about the time of one step. A constant and not a learned speed, since learned
/// speeds differ between boxes, and boxes would divide the engines differently.
inline constexpr double prompt_tokens_per_step = 200;

/// Depends on the numbers of tokens only, so that all boxes agree.
[[nodiscard]] WorkKind work_kind(Workload const& workload);

/// Work of a service's recent requests by kind, in prompt tokens that could be read in the same time. Older requests
/// count for less.
struct WorkTotals {
    double answer_work { 0 };
    double prompt_work { 0 };

    bool operator==(WorkTotals const&) const = default;
};

/// Work of one request at an engine, in the unit of WorkTotals: reading its prompt and making its answer.
[[nodiscard]] double engine_work(Workload const& workload);

/// Divides a service's engines between long prompts and long answers by the recent requests of this box and of others.
/// Where hundreds of boxes see few requests each, load reports are too rare; a relay then adds up the totals of its
/// boxes and sends the division to all of them.
class EngineDemand {
public:
    void add(Workload const& workload, Core::Instant now);
    /// Number of a service's engines that are used for long answers. Changes only if the demand has clearly changed:
    /// each change makes engines reread shared prompt parts, and boxes that see different samples would disagree.
    [[nodiscard]] std::size_t engines_for_answers(std::size_t engines, Core::Instant now);

    /// Recent work of this box's requests.
    [[nodiscard]] WorkTotals own_totals(Core::Instant now) const;
    /// Recent work of this box and of all others that reported theirs.
    [[nodiscard]] WorkTotals all_totals(Core::Instant now) const;
    /// Incoming work of all boxes in prompt tokens per second.
    [[nodiscard]] double tokens_per_second(Core::Instant now) const;
    /// Replaces the recent work reported by another box, as of `at`.
    void apply_peer(std::uint64_t box, WorkTotals totals, Core::Instant at);
    /// Replaces the total of the recent work of other boxes.
    void apply_totals_of_others(WorkTotals totals, Core::Instant now);
    /// Applies the fraction of engines for long answers that a relay decided for all boxes of the failure domain.
    void apply_relay_share(double share, Core::Instant now);
    /// Fraction of engines that this box uses for long answers; unset before the first division.
    [[nodiscard]] std::optional<double> answer_share() const;

private:
    template <typename Value> struct Reported {
        Value value;
        Core::Instant at;

        [[nodiscard]] bool is_recent(Core::Instant now) const { return now - this->at <= report_retention; }
    };

    [[nodiscard]] double share_of_answers(Core::Instant now) const;

    /// How long reports are valid. Long enough for a box to keep its division while it changes to another relay.
    static constexpr Core::Duration report_retention { std::chrono::seconds(6) };

    /// With some ten requests per second at a box, this is about a hundred requests; fewer would make the share random.
    static constexpr Core::Duration half_life { std::chrono::seconds(6) };
    /// How much the demand must differ from the engines allotted to long answers, in engines and as a fraction.
    static constexpr double min_change_engines = 0.8;
    static constexpr double min_change_share = 0.15;
    /// Minimum share for long answers: one engine in five, so that a burst finds room.
    static constexpr double min_share = 0.2;
    static constexpr double max_share = 0.7;
    /// With fewer engines, each takes both kinds.
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
