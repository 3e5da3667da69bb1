#pragma once

#include <LibCore/Time.h>

#include <utility>

namespace Core {

/// Finds out that the box was suspended: the clock that counts that time runs ahead of the one that doesn't.
class SuspensionMeter {
public:
    SuspensionMeter(Instant now, Instant awake)
        : ahead(now - awake)
    {
    }

    /// How long the box was suspended since the last call; nothing if it wasn't, or for so short a time that no promise
    /// hangs on it.
    [[nodiscard]] std::optional<Duration> observe(Instant now, Instant awake)
    {
        // NOTE: Kept also where nothing is found: a box that stands still between the two readings shows a suspension
        // that was none, and takes it back with the next.
        auto const length = (now - awake) - std::exchange(this->ahead, now - awake);
        if (length < shortest)
            return {};
        return length;
    }

    /// A tenth of the shortest bound that boxes keep. The two clocks are read one after the other, so a box that is
    /// slow or frozen between the two shows some milliseconds that were none.
    static constexpr Duration shortest { std::chrono::milliseconds(100) };

private:
    Duration ahead;
};

}
