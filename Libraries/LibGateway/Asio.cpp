#include <LibGateway/Asio.h>

namespace Gateway {

std::optional<tcp::endpoint> to_tcp_endpoint(Routing::SocketAddress const& address)
{
    error_code error;
    auto const numeric = asio::ip::make_address(address.host, error);
    if (error)
        return {};
    return tcp::endpoint(numeric, address.port);
}

std::optional<tcp::acceptor> listen_on(
    asio::io_context& context, Routing::SocketAddress const& address, Core::LastReason& last_reason)
{
    auto const place = to_tcp_endpoint(address);
    if (!place) {
        last_reason.text = "not a numeric address: " + address.host;
        return {};
    }
    tcp::acceptor acceptor(context);
    error_code error;
    acceptor.open(place->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*place, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        return acceptor;
    last_reason.text = "cannot listen on " + address.host + ":" + std::to_string(address.port) + ": " + error.message();
    return {};
}

}
