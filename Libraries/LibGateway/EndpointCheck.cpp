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

Task<EndpointCheckResult> check_endpoint(GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address)
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
    state.connections.release(std::move(connection), Core::monotonic_now());
    co_return EndpointCheckResult::Answers;
}

}
