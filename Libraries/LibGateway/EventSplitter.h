#pragma once

#include <LibGateway/AnswerBuffer.h>
#include <LibGateway/EventStreamPosition.h>

#include <string>

namespace Gateway {

/// Splits a stream of server-sent events at event boundaries. Only whole events are forwarded, so that another endpoint
/// can continue a stream that breaks inside an event.
class EventSplitter {
public:
    /// Appends a received piece and returns all events completed by it, byte for byte.
    [[nodiscard]] std::string append(std::string_view piece);
    /// Follows a stream whose pieces are forwarded as they arrive.
    void follow(std::string_view piece) { this->position.advance(piece); }
    /// Whether what was received ends inside an event.
    [[nodiscard]] bool is_inside_event() const { return this->position.is_inside_event(); }
    /// Whether a whole event was received, from any endpoint.
    [[nodiscard]] bool has_events() const { return this->had_events || this->position.has_events(); }
    /// Whether a whole event was received from the endpoint that answers now.
    [[nodiscard]] bool has_new_events() const { return this->position.has_events(); }
    /// The bytes received after the last whole event.
    [[nodiscard]] std::string const& partial_event() const { return this->partial; }
    /// Memory that is held for these bytes.
    [[nodiscard]] std::size_t held_bytes() const { return allocated_bytes(this->partial); }
    /// Discards an incomplete event, before another endpoint continues the stream.
    void discard_partial_event()
    {
        this->had_events = this->has_events();
        std::string().swap(this->partial);
        this->position = {};
    }
    /// The id of the last whole event that has one; nothing if it is too long to be sent to an endpoint.
    [[nodiscard]] std::optional<std::string> const& last_id() const { return this->last_event_id; }

private:
    void record_ids(std::string_view events);

    /// Endpoints refuse requests with long fields, and the id is held for as long as the stream runs.
    static constexpr std::size_t max_id_bytes = 1024;

    EventStreamPosition position;
    /// Whether a whole event was received before the stream was continued.
    bool had_events { false };
    std::string partial;
    std::optional<std::string> last_event_id;
};

}
