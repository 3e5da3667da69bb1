#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>

namespace Routing {

/// How fast the engines of a service work, as placement reckons with it.
///
/// The values given here only serve until the first requests have been seen; they are round figures between those of
/// engines in use, and the estimate is within 15 in 100 of engines 20 times faster or slower after 120 samples.
struct EngineSpeed {
    /// Prompt tokens that an engine reads in a millisecond.
    double prefill_tokens_per_millisecond { 50 };
    /// A step of an engine; each step makes one token of every running request.
    double step_milliseconds { 5 };

    [[nodiscard]] double reading_milliseconds(double tokens) const
    {
        return tokens / this->prefill_tokens_per_millisecond;
    }

    bool operator==(EngineSpeed const&) const = default;
};

/// A quantile of a stream of positive samples, followed on a logarithmic scale: first in large steps away from the
/// prior, then in small ones. A single sample moves it by a bounded factor, however far off it is.
class StreamingQuantile {
public:
    /// `quantile` lies between 0 and 1; `prior` is the value before the first sample.
    StreamingQuantile(double quantile, double prior);

    /// Samples that are not positive and finite are ignored.
    void add(double sample);
    [[nodiscard]] double value() const { return this->current; }
    [[nodiscard]] std::uint64_t samples() const { return this->count; }

private:
    /// Size of the first step, as a logarithm: with the decay below, 120 samples cover a factor of 20 either way.
    static constexpr double first_step = 1.0;
    /// After this many samples a step is half as large.
    static constexpr double halving_samples = 20;
    /// The smallest step: engines that turn four times slower are followed within 300 samples, and one sample moves the
    /// value by 5 in 100 at the most.
    static constexpr double smallest_step = 0.05;

    double quantile;
    double current;
    std::uint64_t count { 0 };
};

/// Learns the speed of a service's engines from what a box sees of its own requests.
///
/// Queues, prompts read beside an answer and slow clients only make a sample slower, so both speeds follow a quantile
/// on the fast side of what is seen.
class EngineSpeedEstimate {
public:
    /// A first piece came `taken_milliseconds` after the request was sent to an engine where this box had nothing else
    /// to be read, and which certainly had to read `tokens`.
    void add_first_piece(double tokens, double taken_milliseconds);
    /// Some events of one answer followed one another: so many tokens in so many milliseconds.
    void add_tokens(double tokens, double taken_milliseconds);

    /// What another box learnt, in place of what it told before.
    struct PeerSpeed {
        EngineSpeed speed;
        std::uint64_t samples { 0 };
        Core::Instant at;
    };
    void apply_peer(std::uint64_t box, PeerSpeed reported);

    /// What this box alone has learnt.
    [[nodiscard]] EngineSpeed own_speed() const;
    /// Samples that it rests on: those of the speed that has fewer.
    [[nodiscard]] std::uint64_t samples() const;
    /// What this box and the others have learnt, each by its number of samples.
    [[nodiscard]] EngineSpeed speed() const { return this->combined; }

private:
    void combine();

    /// More samples than this make a box's estimate no better, since old ones have faded.
    static constexpr std::uint64_t max_samples = 100;
    /// What another box told of speeds is dropped when it has told nothing for so long.
    static constexpr Core::Duration peer_retention { std::chrono::seconds(20) };

    /// Shorter prompts take about as long as the way to the engine and back.
    static constexpr double min_prompt_tokens = 256;
    /// Fewer tokens than this come in one or two events, whose distance the network decides.
    static constexpr double min_answer_tokens = 12;
    /// Under load nine of ten samples have met other work and are slower than the engine.
    static constexpr double fast_quantile = 0.1;

    StreamingQuantile reading { fast_quantile, 1 / EngineSpeed {}.prefill_tokens_per_millisecond };
    StreamingQuantile step { fast_quantile, EngineSpeed {}.step_milliseconds };
    std::map<std::uint64_t, PeerSpeed> peers;
    EngineSpeed combined;
};

}
