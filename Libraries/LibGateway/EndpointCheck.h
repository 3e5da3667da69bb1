#pragma once

#include <LibGateway/GatewayState.h>

namespace Gateway {

/// Result of connecting to an endpoint again after a connection with a pending request broke.
enum class EndpointCheckResult {
    /// The host refuses connections: the endpoint's process has ended.
    Refuses,
    /// The endpoint accepts connections, so the broken connection doesn't mean that its process has ended.
    Answers,
    /// The connection timed out or failed otherwise. The host or the network may be down.
    Unknown,
};

[[nodiscard]] std::string_view to_string(EndpointCheckResult check_result);

/// Opens a connection to the endpoint and keeps it for the next request if it stays open for `watch_duration`. A
/// process that is ending may accept connections for some milliseconds more, and breaks them then. A running host
/// refuses within a round trip (about 2 ms); the connect timeout of EndpointConnections bounds the wait for an
/// unreachable one.
[[nodiscard]] Task<EndpointCheckResult> check_endpoint(
    GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address, Core::Duration watch_duration);

}
