#pragma once

#include <LibGateway/GatewayState.h>

namespace Gateway {

/// What a new connection to an endpoint shows after one that carried a request broke.
enum class EndpointCheckResult {
    /// Its host refuses connections: the process has ended.
    Refuses,
    /// It takes connections, so the one that broke says nothing of the process.
    Answers,
    /// No word came in time. The host may be gone, or the way to it.
    Unknown,
};

[[nodiscard]] std::string_view to_string(EndpointCheckResult check_result);

/// Opens a connection to the endpoint. One that comes up is kept for the next request. A host that lives refuses within
/// a round trip, some 2 ms; the connections' own limit bounds the wait for one that says nothing.
[[nodiscard]] Task<EndpointCheckResult> check_endpoint(
    GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address);

}
