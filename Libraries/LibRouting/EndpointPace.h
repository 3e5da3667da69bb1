#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// The fastest of a few consecutive samples at one endpoint. Boxes report it to each other.
struct PaceSamples {
    /// Time per token of the fastest sample, as a factor of the service's usual time.
    double fastest { 1 };
    /// Samples that it is the fastest of.
    unsigned count { 0 };

    bool operator==(PaceSamples const&) const = default;
};

/// How long work takes at one endpoint, as a factor of the service's usual time: 1 is usual, 2 is twice as long.
///
/// Prompts that are read between steps, other work on the machine and slow clients only make samples slower, and the
/// service's usual time is the same quantile of samples that are slowed down alike. So the factor follows a quantile
/// among the fastest recent samples of all boxes, and a busy endpoint is not taken for a slow one.
///
/// Each box sees few samples of an endpoint, so boxes exchange the fastest of a few samples and their number. In a
/// group of n samples the fastest is below the quantile q with probability 1 - (1 - q)^n. The estimate is the value
/// that as many of the groups are below as these probabilities add up to.
class EndpointPace {
public:
    /// A sample took `factor` times the service's usual time. Ignored unless positive and finite.
    void add(double factor, Core::Instant now);
    /// Replaces the samples reported by another box, as of `at`. Ignored unless they are a positive and finite factor
    /// of at least one sample.
    void apply_peer(std::uint64_t box, PaceSamples const& reported, Core::Instant at);

    /// Between 0.25 and 4, and exactly 1 within a tenth of 1 or without recent samples.
    [[nodiscard]] double factor(Core::Instant now) const;
    /// Recent samples of all boxes.
    [[nodiscard]] unsigned samples(Core::Instant now) const;
    /// This box's newest samples, to be reported to other boxes; unset if there are none to report.
    [[nodiscard]] std::optional<PaceSamples> own_samples(Core::Instant now) const;

    /// Whether the factor marks an endpoint as slow.
    [[nodiscard]] bool is_slow(Core::Instant now) const { return this->factor(now) > slow_factor; }
    /// Whether the endpoint began (true) or ceased (false) to be considered slow since the last call; unset if neither.
    [[nodiscard]] std::optional<bool> take_change(Core::Instant now);

    /// Groups of more samples would be reported too late.
    static constexpr unsigned max_group_samples = 8;

private:
    struct Group {
        PaceSamples samples;
        Core::Instant began;
        Core::Instant updated;
    };

    [[nodiscard]] static bool is_recent(Group const& group, Core::Instant now)
    {
        return now - group.updated <= retention;
    }
    void estimate(Core::Instant now);

    static constexpr double min_factor = 0.25;
    static constexpr double max_factor = 4;
    /// Factors that differ less from 1 count as 1, since they are within the error of the estimate.
    static constexpr double usual_above = 0.9;
    static constexpr double usual_below = 1.1;
    /// An endpoint is considered slow above the first factor, until it falls below the second.
    static constexpr double slow_factor = 1.25;
    static constexpr double recovered_factor = 1.15;
    /// The quantile of samples to follow; that of EngineSpeedEstimate, whose estimate is the usual time.
    static constexpr double fast_quantile = 0.1;
    /// With this many samples expected below the quantile, the initial factor 1 weighs as much as the samples. With
    /// 2.5, endpoints that don't differ reached 1.13 where a box has a stream of 24 events at an endpoint every 13 s.
    static constexpr double initial_weight = 3.5;
    /// How long samples count. The estimate changes when a third to two thirds of them are newer than a change of the
    /// endpoint's speed, so it follows within some ten seconds.
    static constexpr Core::Duration retention { std::chrono::seconds(8) };
    /// Samples are reported as if they were new, so older ones are not reported. Longer than the report interval.
    static constexpr Core::Duration report_retention { std::chrono::milliseconds(2500) };
    /// Groups of this box begin at least this far apart, which bounds their number.
    static constexpr Core::Duration group_interval { std::chrono::milliseconds(500) };
    /// Boxes whose samples are kept; those with the oldest samples are dropped. Of 85 boxes that see an endpoint every
    /// ten seconds, some 30 have recent samples.
    static constexpr std::size_t max_peers = 64;

    /// Groups of this box, the oldest first.
    std::vector<Group> own;
    /// The newest group of each other box.
    std::map<std::uint64_t, Group> peers;
    double estimated { 1 };
    /// Time of the newest sample.
    Core::Instant newest;
    bool was_slow { false };
};

}
