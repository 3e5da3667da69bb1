#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string_view>

namespace Gateway {

/// Measures how fast the events of an answer follow one another, some events at a time.
class EventRateMeter {
public:
    /// Events that came and the time from the one before the first of them to the last.
    struct Sample {
        unsigned events { 0 };
        Core::Duration duration { 0 };

        bool operator==(Sample const&) const = default;
    };

    /// Takes a piece of the answer that came at `now`; a stretch where enough events have come since the last one.
    /// Events that came together with the first piece count for nothing: when they were made can't be told.
    [[nodiscard]] std::optional<Sample> add(std::string_view piece, Core::Instant now);
    /// The next piece is of another run.
    void reset() { *this = EventRateMeter(); }

private:
    [[nodiscard]] unsigned count_event_ends(std::string_view piece);

    /// So many events make a stretch: about a tenth of a long answer, and enough that a late packet counts little.
    static constexpr unsigned events_per_sample = 8;

    std::optional<Core::Instant> sample_start;
    unsigned events { 0 };
    /// Whether the last byte ended a line, so that a line end next ends an event.
    bool is_at_line_start { false };
};

}
