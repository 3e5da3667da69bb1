#include <LibGateway/EventRateMeter.h>

namespace Gateway {

std::optional<EventRateMeter::Sample> EventRateMeter::add(std::string_view piece, Core::Instant now)
{
    auto const ends = this->count_event_ends(piece);
    if (ends == 0 || this->is_stopped)
        return {};
    if (!this->sample_start) {
        this->sample_start = now;
        return {};
    }
    this->events += ends;
    if (this->events < events_per_sample)
        return {};
    Sample const sample { this->events, now - *this->sample_start };
    this->events = 0;
    this->sample_start = now;
    return sample;
}

unsigned EventRateMeter::count_event_ends(std::string_view piece)
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
