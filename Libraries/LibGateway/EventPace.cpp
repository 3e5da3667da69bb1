#include <LibGateway/EventPace.h>

namespace Gateway {

std::optional<EventPace::Stretch> EventPace::take(std::string_view piece, Core::Instant now)
{
    auto const ends = this->count_ends(piece);
    if (ends == 0)
        return {};
    if (!this->begun_at) {
        this->begun_at = now;
        return {};
    }
    this->events += ends;
    if (this->events < events_per_stretch)
        return {};
    Stretch const stretch { this->events, now - *this->begun_at };
    this->events = 0;
    this->begun_at = now;
    return stretch;
}

unsigned EventPace::count_ends(std::string_view piece)
{
    unsigned ends = 0;
    for (char const byte : piece) {
        if (byte == '\r')
            continue;
        bool const is_line_end = byte == '\n';
        ends += is_line_end && this->is_at_line_start ? 1 : 0;
        this->is_at_line_start = is_line_end;
    }
    return ends;
}

}
