#include <LibGateway/EventSplitter.h>

#include <algorithm>
#include <utility>

namespace Gateway {

std::string EventSplitter::append(std::string_view piece)
{
    auto const boundary = this->position.advance(piece);
    if (!boundary) {
        this->partial.append(piece);
        return {};
    }
    auto whole = std::exchange(this->partial, std::string(piece.substr(*boundary)));
    whole.append(piece.substr(0, *boundary));
    this->record_ids(whole);
    return whole;
}

void EventSplitter::record_ids(std::string_view events)
{
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    constexpr std::string_view field = "id:";
    if (events.starts_with(byte_order_mark))
        events.remove_prefix(byte_order_mark.size());
    while (!events.empty()) {
        // NOTE: Behind the CR of a CR LF this finds an empty line more, which names no id.
        auto const end = std::min(events.find_first_of("\r\n"), events.size());
        auto line = events.substr(0, end);
        events.remove_prefix(std::min(events.size(), end + 1));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        this->last_event_id = line.size() <= max_id_bytes ? std::optional(std::string(line)) : std::nullopt;
    }
}

}
