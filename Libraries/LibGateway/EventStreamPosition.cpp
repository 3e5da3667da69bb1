#include <LibGateway/EventStreamPosition.h>

namespace Gateway {

std::optional<std::size_t> EventStreamPosition::advance(std::string_view piece)
{
    std::optional<std::size_t> last_boundary;
    for (std::size_t offset = 0; offset < piece.size(); ++offset) {
        this->advance(piece[offset]);
        if (!this->is_inside_event())
            last_boundary = offset + 1;
    }
    return last_boundary;
}

bool EventStreamPosition::is_inside_event() const
{
    // NOTE: Where lines end with CR LF, a stream that ends behind the CR lacks the LF.
    bool const is_inside_line_end = this->may_line_feed_follow && this->last_line_end == LineEnd::Both;
    return this->line_has_bytes || this->event_has_lines || is_inside_line_end;
}

void EventStreamPosition::advance(char byte)
{
    if (this->skip_byte_order_mark(byte))
        return;
    if (this->may_line_feed_follow) {
        this->may_line_feed_follow = false;
        this->last_line_end = byte == '\n' ? LineEnd::Both : LineEnd::CarriageReturn;
        if (byte == '\n')
            return;
    }
    if (byte == '\n') {
        this->last_line_end = LineEnd::LineFeed;
        this->end_line();
        return;
    }
    if (byte == '\r') {
        this->may_line_feed_follow = true;
        this->end_line();
        return;
    }
    if (!this->line_has_bytes)
        this->line_is_comment = byte == ':';
    this->line_has_bytes = true;
}

void EventStreamPosition::end_line()
{
    if (!this->line_has_bytes) {
        this->has_ended_event |= this->event_has_lines;
        this->event_has_lines = false;
        return;
    }
    this->event_has_lines |= !this->line_is_comment;
    this->line_has_bytes = false;
}

bool EventStreamPosition::skip_byte_order_mark(char byte)
{
    constexpr std::string_view mark = "\xEF\xBB\xBF";
    if (!this->skipped_mark_bytes)
        return false;
    auto const skipped = *this->skipped_mark_bytes;
    if (skipped == mark.size() || byte != mark[skipped]) {
        this->skipped_mark_bytes.reset();
        return false;
    }
    this->skipped_mark_bytes = static_cast<std::uint8_t>(skipped + 1);
    return true;
}

}
