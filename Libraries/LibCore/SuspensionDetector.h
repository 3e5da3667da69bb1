#pragma once

#include <LibCore/Time.h>

#include <utility>

namespace Core {

/// Finds out that the box was suspended: the clock that counts that time runs ahead of the one that doesn't.
class SuspensionDetector {
public:
    SuspensionDetector(Instant now, Instant unsuspended_now)
        : clock_difference(now - unsuspended_now)
    {
    }

    /// How long the box was suspended since the last call; nothing if it wasn't, or for so short a time that no promise
    /// hangs on it.
    [[nodiscard]] std::optional<Duration> observe(Instant now, Instant unsuspended_now)
    {
        // NOTE: Kept also where nothing is found: a box that stands still between the two readings shows a suspension
        // that was none, and takes it back with the next.
        auto const length = (now - unsuspended_now) - std::exchange(this->clock_difference, now - unsuspended_now);
        if (length < min_length)
            return {};
        return length;
    }

    /// A tenth of the shortest bound that boxes keep. The two clocks are read one after the other, so a box that is
    /// slow or frozen between the two shows some milliseconds that were none.
    static constexpr Duration min_length { std::chrono::milliseconds(100) };

private:
    Duration clock_difference;
};

}
