#pragma once

#include <LibCore/Time.h>

#include <utility>

namespace Core {

/// Detects that the box was suspended by comparing a clock that includes suspended time with one that doesn't.
class SuspensionDetector {
public:
    SuspensionDetector(Instant now, Instant unsuspended_now)
        : clock_difference(now - unsuspended_now)
    {
    }

    /// Returns how long the box was suspended since the last call, or nothing if that is shorter than `min_length`.
    [[nodiscard]] std::optional<Duration> observe(Instant now, Instant unsuspended_now)
    {
        // NOTE: The difference is stored even if it is below the minimum. A box that stalls between the two clock
        // readings measures a false suspension; the next call then stores the true difference again.
        auto const length = (now - unsuspended_now) - std::exchange(this->clock_difference, now - unsuspended_now);
        if (length < min_length)
            return {};
        return length;
    }

    /// A tenth of the shortest time bound that boxes rely on. The clocks are read one after the other, so a stall
    /// between the two readings looks like a suspension of some milliseconds.
    static constexpr Duration min_length { std::chrono::milliseconds(100) };

private:
    Duration clock_difference;
};

}
