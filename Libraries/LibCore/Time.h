#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

/// Clock type of the decision libraries. They get the current time as an argument, so tests can use virtual time.
struct VirtualClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<VirtualClock>;
    static constexpr bool is_steady = true;
};

using Duration = VirtualClock::duration;
using Instant = VirtualClock::time_point;

/// Time since the box booted, including suspended time. Every age and deadline uses this clock: after a suspension of
/// 8 s, cached data must count as 8 s older. Decision libraries don't call this function.
[[nodiscard]] Instant monotonic_now();
/// Time since the box booted, excluding suspended time, as timers count it. Used only to detect suspensions.
[[nodiscard]] Instant now_without_suspension();
/// Advances monotonic_now(), but not now_without_suspension(), by `length`, as a suspension does. For tests.
void simulate_suspension(Duration length);

/// Milliseconds since 1970 by this box's wall clock, which may step forward or back. For idempotency keys and for
/// records that outlive the process.
[[nodiscard]] std::int64_t wall_clock_milliseconds();

/// Parses "250ms", "1.5s", "10m" or "2h". Returns nothing for negative or non-finite numbers and any other text.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);

[[nodiscard]] double to_milliseconds(Duration duration);
[[nodiscard]] double to_seconds(Duration duration);
[[nodiscard]] Duration from_seconds(double seconds);

}
