#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

/// Time is passed into the decision libraries, so they run the same in virtual time and in a process.
struct VirtualClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<VirtualClock>;
    static constexpr bool is_steady = true;
};

using Duration = VirtualClock::duration;
using Instant = VirtualClock::time_point;

/// Time since the box booted, with the time that it was suspended. Every age and deadline runs on it: a box that was
/// suspended for 8 s must not take what it knew before for fresh. For the shell only.
[[nodiscard]] Instant monotonic_now();
/// The same without the time that the box was suspended, as timers run. Only to find out that it was.
[[nodiscard]] Instant now_without_suspension();
/// Lets monotonic_now() run ahead of now_without_suspension() by so much more, as after a suspension. For tests.
void simulate_suspension(Duration length);

/// Milliseconds since 1970 by this box's wall clock, which may step either way. For idempotency keys, and for records
/// that outlive the process.
[[nodiscard]] std::int64_t wall_clock_milliseconds();

/// Reads "250ms", "1.5s", "10m" or "2h"; nothing for any other text, negative or not finite.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);

[[nodiscard]] double to_milliseconds(Duration duration);
[[nodiscard]] double to_seconds(Duration duration);
[[nodiscard]] Duration from_seconds(double seconds);

}
