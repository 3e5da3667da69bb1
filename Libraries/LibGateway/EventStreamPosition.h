#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Gateway {

/// Follows a stream of server-sent events byte by byte, and tells whether it is between two events or inside one.
///
/// Lines end with LF, CR LF or CR, and an empty line ends an event. A byte order mark at the start and comments belong
/// to no event.
class EventStreamPosition {
public:
    /// Returns the last offset in `piece` behind which the stream is between two events, greater than 0; nothing if
    /// there is none.
    std::optional<std::size_t> advance(std::string_view piece);
    /// Whether the stream has a part of an event that has not ended.
    [[nodiscard]] bool is_inside_event() const;
    /// Whether an event has ended.
    [[nodiscard]] bool has_events() const { return this->has_ended_event; }

private:
    enum class LineEnd {
        Unknown,
        LineFeed,
        CarriageReturn,
        Both,
    };

    void advance(char byte);
    void end_line();
    [[nodiscard]] bool skip_byte_order_mark(char byte);

    /// Bytes of the byte order mark that have been skipped; nothing once another byte has followed.
    std::optional<std::uint8_t> skipped_mark_bytes { 0 };
    bool line_has_bytes { false };
    bool line_is_comment { false };
    /// Whether the current event has lines.
    bool event_has_lines { false };
    bool has_ended_event { false };
    /// Whether the last byte is a CR, which a LF may follow.
    bool may_line_feed_follow { false };
    /// How the last line ended, or the line before it while a LF may follow.
    LineEnd last_line_end { LineEnd::Unknown };
};

}
