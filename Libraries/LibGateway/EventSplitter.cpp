#include <LibGateway/EventSplitter.h>

#include <algorithm>

namespace Gateway {

namespace {

/// Offset behind the last empty line, which ends an event. Lines end with LF or CR LF.
std::size_t end_of_whole_events(std::string_view text)
{
    auto const plain = text.rfind("\n\n");
    auto const returned = text.rfind("\n\r\n");
    auto const after_plain = plain == std::string_view::npos ? 0 : plain + 2;
    auto const after_returned = returned == std::string_view::npos ? 0 : returned + 3;
    return std::max(after_plain, after_returned);
}

}

std::string EventSplitter::append(std::string_view piece)
{
    this->follow(piece);
    this->partial.append(piece);
    auto const end = end_of_whole_events(this->partial);
    auto whole = this->partial.substr(0, end);
    this->partial.erase(0, end);
    this->record_ids(whole);
    return whole;
}

void EventSplitter::record_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        auto const end = std::min(events.find('\n'), events.size());
        auto line = events.substr(0, end);
        events.remove_prefix(std::min(events.size(), end + 1));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        this->last_event_id = std::string(line);
    }
}

}
