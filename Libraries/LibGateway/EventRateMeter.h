#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string_view>

namespace Gateway {

/// Measures the rate of server-sent events in an answer, in samples of eight events.
class EventRateMeter {
public:
    /// Number of events, and the time from the event before the first of them to the last of them.
    struct Sample {
        unsigned events { 0 };
        Core::Duration duration { 0 };

        bool operator==(Sample const&) const = default;
    };

    /// Adds a piece of the answer received at `now`. Returns a sample once enough events have arrived since the
    /// previous one. Events in the first piece are not counted, since they may have been generated at any time before.
    [[nodiscard]] std::optional<Sample> add(std::string_view piece, Core::Instant now);
    /// Yields no more samples of this run: the pieces no longer arrive when the endpoint sends them.
    void stop() { this->is_stopped = true; }
    /// Discards all state, before the answer of another run.
    void reset() { *this = EventRateMeter(); }

private:
    [[nodiscard]] unsigned count_event_ends(std::string_view piece);

    /// About a tenth of a long answer, and enough that a single late packet distorts the sample little.
    static constexpr unsigned events_per_sample = 8;

    std::optional<Core::Instant> sample_start;
    unsigned events { 0 };
    bool is_stopped { false };
    /// Whether the last byte ended a line, so that another line end completes an event.
    bool is_at_line_start { false };
};

}
