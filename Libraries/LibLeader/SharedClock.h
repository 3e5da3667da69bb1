#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// The time of day that all boxes go by, although wall clocks of single boxes may step by seconds.
///
/// It runs on the clock since the box booted, from an offset: at first that of the own wall clock. The leader takes the
/// median of the offsets that boxes tell, and tells the time that follows to all.
class SharedClock {
public:
    /// This box's own wall clock at a moment.
    void start(std::uint64_t wall_unix_microseconds, Instant now);
    /// What another process's wall clock showed when it told so, a moment ago.
    void add_sample(std::uint64_t process, std::uint64_t wall_unix_microseconds, Instant now);
    /// The leader sets its time anew from its own wall clock and those that it heard of.
    void update_from_samples(std::uint64_t own_wall_unix_microseconds, Instant now);
    /// The leader told the time, the median of so many clocks.
    void adopt(std::uint64_t unix_microseconds, unsigned clocks, Instant now);

    [[nodiscard]] std::uint64_t unix_microseconds(Instant now) const;
    /// How far it is ahead of the clock since this box booted.
    [[nodiscard]] Duration offset_from_steady_clock() const { return Duration { this->offset }; }
    /// Clocks that the time is the median of.
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

    /// Fewer clocks have no median worth following: two of three may step together.
    static constexpr unsigned min_clocks = 4;
    /// What was told longer ago is of a box that may be gone.
    static constexpr Duration sample_retention { std::chrono::seconds(10) };

    std::int64_t offset { 0 };
    unsigned clock_count { 1 };
    std::map<std::uint64_t, Sample> samples;
};

}
