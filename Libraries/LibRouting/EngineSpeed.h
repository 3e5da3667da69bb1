#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Routing {

/// Speed of a service's engines, as used by placement.
///
/// The defaults apply until the first requests have been seen. They lie between the speeds of common engines; the
/// estimate is within 15 percent for engines 20 times faster or slower after 120 samples.
struct EngineSpeed {
    /// Prompt tokens that an engine reads per millisecond.
    double prefill_tokens_per_millisecond { 50 };
    /// Duration of an engine step, which makes one token of every running request.
    double step_milliseconds { 5 };

    [[nodiscard]] double reading_milliseconds(double tokens) const
    {
        return tokens / this->prefill_tokens_per_millisecond;
    }

    /// The speed of an engine where work takes `factor` times as long.
    [[nodiscard]] EngineSpeed scaled_by(double factor) const
    {
        return { this->prefill_tokens_per_millisecond / factor, this->step_milliseconds * factor };
    }

    bool operator==(EngineSpeed const&) const = default;
};

/// Estimates a quantile of a stream of positive samples on a logarithmic scale, with steps that shrink as samples come
/// in. A single outlier changes the estimate by a bounded factor.
class StreamingQuantile {
public:
    /// `quantile` lies between 0 and 1; `prior` is the value before the first sample.
    StreamingQuantile(double quantile, double prior);

    /// Samples that are not positive and finite are ignored.
    void add(double sample);
    [[nodiscard]] double value() const { return this->current; }
    [[nodiscard]] std::uint64_t samples() const { return this->count; }

private:
    /// The first step, as a logarithm: with `halving_samples`, 120 samples cover a factor of 20 in either direction.
    static constexpr double first_step = 1.0;
    /// Samples after which a step is half as large.
    static constexpr double halving_samples = 20;
    /// The smallest step: an engine slowdown by a factor of four is followed within 300 samples, and one sample changes
    /// the estimate by 5 percent at most.
    static constexpr double smallest_step = 0.05;

    double quantile;
    double current;
    std::uint64_t count { 0 };
};

/// Estimates the speed of a service's engines from this box's own requests.
///
/// Queues, prompts that are read between steps and slow clients can only make a sample slower. So both speeds follow a
/// quantile among the fastest samples.
class EngineSpeedEstimate {
public:
    /// The first piece of an answer arrived `taken_milliseconds` after the request was sent. The engine certainly had
    /// to read `tokens`, and no other prompt of this box was waiting there.
    void add_first_piece(double tokens, double taken_milliseconds);
    /// Consecutive events of an answer brought `tokens` in `taken_milliseconds`. Returns this time as a factor of the
    /// usual time, to compare endpoints; unset if it is no sample, or while the usual time rests on too few samples.
    std::optional<double> add_tokens(double tokens, double taken_milliseconds);

    /// The speed that another box estimated. apply_peer() replaces the box's earlier one.
    struct PeerSpeed {
        EngineSpeed speed;
        std::uint64_t samples { 0 };
        Core::Instant at;
    };
    void apply_peer(std::uint64_t box, PeerSpeed reported);

    /// The estimate from this box's own requests.
    [[nodiscard]] EngineSpeed own_speed() const;
    /// Samples behind own_speed(): those of the speed that has fewer.
    [[nodiscard]] std::uint64_t samples() const;
    /// The estimates of this box and of the others, weighted by samples.
    [[nodiscard]] EngineSpeed speed() const { return this->combined; }

private:
    void combine();

    /// Samples until the usual step is known well enough to compare endpoints with it. From a prior 20 times off, 120
    /// are needed; common engines differ less from it.
    static constexpr std::uint64_t min_samples_to_compare = 60;
    /// Samples from which a box's weight no longer grows, since older samples have faded by then.
    static constexpr std::uint64_t max_samples = 100;
    /// Speeds of a box that has reported nothing for this long are dropped.
    static constexpr Core::Duration peer_retention { std::chrono::seconds(20) };

    /// Shorter prompts are read in about the network round-trip time, so they are no use as samples.
    static constexpr double min_prompt_tokens = 256;
    /// Fewer tokens come in one or two events, whose spacing depends on the network.
    static constexpr double min_answer_tokens = 12;
    /// The quantile to follow. Under load, nine of ten samples were slowed down by other work.
    static constexpr double fast_quantile = 0.1;

    StreamingQuantile reading { fast_quantile, 1 / EngineSpeed {}.prefill_tokens_per_millisecond };
    StreamingQuantile step { fast_quantile, EngineSpeed {}.step_milliseconds };
    std::map<std::uint64_t, PeerSpeed> peers;
    EngineSpeed combined;
};

}
