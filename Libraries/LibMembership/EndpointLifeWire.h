#pragma once

#include <LibMembership/Relay.pb.h>
#include <LibRouting/EndpointDirectory.h>

/// The life of an endpoint as boxes write it to each other.
namespace Membership {

inline void write_life(cleatbeam::membership::EndpointLife& told, Routing::EndpointInstance const& endpoint)
{
    told.set_incarnation(endpoint.incarnation);
    told.set_started_at_ms(endpoint.started_at);
}

[[nodiscard]] inline Routing::EndpointInstance read_life(cleatbeam::membership::EndpointLife const& told)
{
    return { told.incarnation(), told.started_at_ms() };
}

[[nodiscard]] inline bool is_sound_life(cleatbeam::membership::EndpointLife const& told)
{
    /// Ids of endpoints are some 12 bytes.
    constexpr std::size_t longest_incarnation = 64;
    return !told.incarnation().empty() && told.incarnation().size() <= longest_incarnation;
}

}
