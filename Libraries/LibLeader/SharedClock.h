#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// The time of day that all boxes share, although the wall clock of a single box may step by seconds.
///
/// The shared time is the clock since the box booted plus an offset, which starts as that of the box's own wall clock.
/// The leader computes the median of all boxes' offsets and sends the resulting time to all boxes.
class SharedClock {
public:
    /// Starts with this box's own wall clock at this moment.
    void start(std::uint64_t wall_unix_microseconds, Instant now);
    /// Adds the wall clock time that another process has just sent.
    void add_sample(std::uint64_t process, std::uint64_t wall_unix_microseconds, Instant now);
    /// On the leader: sets the time to the median of its own wall clock and the recent samples.
    void update_from_samples(std::uint64_t own_wall_unix_microseconds, Instant now);
    /// On the other boxes: sets the time to that of the leader, the median of this many clocks.
    void adopt(std::uint64_t unix_microseconds, unsigned clocks, Instant now);

    [[nodiscard]] std::uint64_t unix_microseconds(Instant now) const;
    /// Offset to add to the clock since this box booted.
    [[nodiscard]] Duration offset_from_steady_clock() const { return Duration { this->offset }; }
    /// Number of clocks of which the time is the median.
    [[nodiscard]] unsigned clocks() const { return this->clock_count; }

private:
    struct Sample {
        std::int64_t offset { 0 };
        Instant at;
    };

    [[nodiscard]] static std::int64_t offset_of(std::uint64_t unix_microseconds, Instant now)
    {
        return static_cast<std::int64_t>(unix_microseconds) - now.time_since_epoch().count();
    }

    /// The median of fewer clocks is not reliable: two of three may step together.
    static constexpr unsigned min_clocks = 4;
    /// Older samples may be of a box that no longer runs.
    static constexpr Duration sample_retention { std::chrono::seconds(10) };

    std::int64_t offset { 0 };
    unsigned clock_count { 1 };
    std::map<std::uint64_t, Sample> samples;
};

}
