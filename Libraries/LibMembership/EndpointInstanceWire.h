#pragma once

#include <LibMembership/Relay.pb.h>
#include <LibRouting/EndpointDirectory.h>

/// Conversion of endpoint instances to and from messages between boxes.
namespace Membership {

inline void write_instance(cleatbeam::membership::EndpointLife& wire_message, Routing::EndpointInstance const& endpoint)
{
    wire_message.set_incarnation(endpoint.incarnation);
    wire_message.set_started_at_ms(endpoint.started_at);
}

[[nodiscard]] inline Routing::EndpointInstance read_instance(cleatbeam::membership::EndpointLife const& wire_message)
{
    return { wire_message.incarnation(), wire_message.started_at_ms() };
}

[[nodiscard]] inline bool is_valid_instance(cleatbeam::membership::EndpointLife const& wire_message)
{
    /// Ids of endpoints are some 12 bytes.
    constexpr std::size_t max_incarnation_size = 64;
    return !wire_message.incarnation().empty() && wire_message.incarnation().size() <= max_incarnation_size;
}

}
