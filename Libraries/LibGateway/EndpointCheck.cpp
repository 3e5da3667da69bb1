#include <LibGateway/EndpointCheck.h>

namespace Gateway {

std::string_view to_string(EndpointFinding finding)
{
    switch (finding) {
    case EndpointFinding::Refuses:
        return "refuses";
    case EndpointFinding::Answers:
        return "answers";
    case EndpointFinding::Unknown:
        break;
    }
    return "unknown";
}

Task<EndpointFinding> check_endpoint(GatewayState& state, Core::EndpointId endpoint, Routing::SocketAddress address)
{
    error_code error;
    state.metrics.count_endpoint_connection();
    auto connection = co_await state.connections.connect(endpoint, std::move(address), error);
    if (error == asio::error::connection_refused)
        co_return EndpointFinding::Refuses;
    if (error)
        co_return EndpointFinding::Unknown;
    state.connections.put_back(std::move(connection), Core::monotonic_now());
    co_return EndpointFinding::Answers;
}

}
