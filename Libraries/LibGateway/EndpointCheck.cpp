#include <LibGateway/EndpointCheck.h>

namespace Gateway {

std::string_view to_string(EndpointCheckResult check_result)
{
    switch (check_result) {
    case EndpointCheckResult::Refuses:
        return "refuses";
    case EndpointCheckResult::Answers:
        return "answers";
    case EndpointCheckResult::Unknown:
        break;
    }
    return "unknown";
}

namespace {

/// Connections that a check opens. A process that breaks the first has usually ended when the next one is opened.
constexpr int max_checked_connections = 2;

/// Opens one connection. Unset if it is accepted, but breaks within `watch_duration`.
Task<std::optional<EndpointCheckResult>> check_connection(
    GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address, Core::Duration watch_duration)
{
    error_code error;
    auto const began = Core::monotonic_now();
    state.metrics.count_endpoint_connection();
    auto connection = co_await state.connections.connect(endpoint, std::move(address), error);
    if (error)
        state.reachability.connect_failed(endpoint, began);
    if (error == asio::error::connection_refused)
        co_return EndpointCheckResult::Refuses;
    if (error)
        co_return EndpointCheckResult::Unknown;
    bool const stays_open = co_await EndpointConnections::stays_open_for(connection, watch_duration);
    auto const now = Core::monotonic_now();
    if (!stays_open) {
        state.reachability.new_connection_broke(endpoint, { began, connection->opened_at, now });
        co_return std::nullopt;
    }
    state.connections.release(std::move(connection), now);
    co_return EndpointCheckResult::Answers;
}

}

Task<EndpointCheckResult> check_endpoint(
    GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address, Core::Duration watch_duration)
{
    for (int connection = 0; connection < max_checked_connections; ++connection) {
        if (auto const result = co_await check_connection(state, endpoint, address, watch_duration))
            co_return *result;
    }
    co_return EndpointCheckResult::Unknown;
}

}
