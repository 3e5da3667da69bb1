#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// Cuts a stream of server-sent events at their ends. Only whole events are passed on, so that a stream which breaks
/// inside an event can be continued by another run.
class EventSplitter {
public:
    /// Takes what came and gives the whole events that are complete by now, as they were written.
    [[nodiscard]] std::string append(std::string_view piece);
    /// What came after the last whole event.
    [[nodiscard]] std::string const& partial_event() const { return this->partial; }
    /// Forgets a part of an event, before another run continues the stream.
    void discard_partial_event() { this->partial.clear(); }
    /// The id of the last whole event that had one.
    [[nodiscard]] std::optional<std::string> const& last_id() const { return this->last_event_id; }

private:
    void record_ids(std::string_view events);

    std::string partial;
    std::optional<std::string> last_event_id;
};

}
