#include <LibGateway/EndpointConnections.h>

#include <algorithm>
#include <netinet/tcp.h>

namespace Gateway {

void EndpointConnection::abort()
{
    error_code ignored;
    this->socket.close(ignored);
}

SharedConnection EndpointConnections::acquire_idle(EndpointId endpoint, Core::Instant now)
{
    auto const found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return nullptr;
    auto& kept = found->second;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        ++connection->generation;
        error_code error;
        // NOTE: The handler of close_when_readable may not have run yet. Bytes on an idle connection belong to no
        // request.
        bool const is_silent = connection->socket.available(error) == 0 && !error;
        if (is_silent && is_fresh(*connection, now)) {
            error_code ignored;
            connection->socket.cancel(ignored);
            connection->is_reused = true;
            return connection;
        }
        connection->abort();
    }
    return nullptr;
}

Task<SharedConnection> EndpointConnections::connect(
    EndpointId endpoint, Routing::SocketAddress address, error_code& error)
{
    auto connection = std::make_shared<EndpointConnection>(this->context);
    connection->endpoint = endpoint;
    auto const place = to_tcp_endpoint(address);
    if (!place) {
        error = asio::error::invalid_argument;
        co_return nullptr;
    }
    asio::steady_timer timer(this->context, connect_timeout);
    // NOTE: Cancelling doesn't stop a timer handler that is already queued when the connect completes.
    auto const is_over = std::make_shared<bool>(false);
    timer.async_wait([connection, is_over](error_code cancelled) {
        if (!cancelled && !*is_over)
            connection->abort();
    });
    auto const [failure] = co_await connection->socket.async_connect(*place, as_value);
    *is_over = true;
    bool const was_closed = !connection->socket.is_open();
    error = was_closed && !failure ? error_code(asio::error::timed_out) : failure;
    if (error)
        co_return nullptr;
    this->set_options(connection->socket);
    connection->opened_at = Core::monotonic_now();
    co_return connection;
}

Task<bool> EndpointConnections::stays_open_for(SharedConnection connection, Core::Duration duration)
{
    asio::steady_timer timer(connection->socket.get_executor(), duration);
    // NOTE: Cancelling doesn't stop a timer handler that is already queued when the wait ends.
    auto const is_over = std::make_shared<bool>(false);
    timer.async_wait([connection, is_over](error_code cancelled) {
        error_code ignored;
        if (!cancelled && !*is_over)
            connection->socket.cancel(ignored);
    });
    auto const [error] = co_await connection->socket.async_wait(tcp::socket::wait_read, as_value);
    *is_over = true;
    co_return error == asio::error::operation_aborted;
}

void EndpointConnections::release(SharedConnection connection, Core::Instant now)
{
    auto& kept = this->idle[connection->endpoint];
    if (kept.size() >= max_idle_per_endpoint) {
        connection->abort();
        return;
    }
    connection->idle_since = now;
    ++connection->generation;
    this->close_when_readable(connection);
    kept.push_back(std::move(connection));
}

void EndpointConnections::close_idle(EndpointId endpoint)
{
    auto const found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return;
    for (auto const& connection : found->second)
        connection->abort();
    this->idle.erase(found);
}

void EndpointConnections::close_all_idle()
{
    for (auto const& [endpoint, kept] : this->idle) {
        for (auto const& connection : kept)
            connection->abort();
    }
    this->idle.clear();
}

void EndpointConnections::close_expired(Core::Instant now)
{
    for (auto& [endpoint, kept] : this->idle) {
        // NOTE: The oldest connections are in front, since acquire_idle takes from the back.
        while (!kept.empty() && !is_fresh(*kept.front(), now)) {
            kept.front()->abort();
            kept.pop_front();
        }
    }
}

bool EndpointConnections::is_fresh(EndpointConnection const& connection, Core::Instant now)
{
    auto const allowed = connection.keep_alive_timeout
        ? std::max(Core::Duration { 0 }, *connection.keep_alive_timeout - idle_margin)
        : default_idle_timeout;
    return now - connection.idle_since < allowed;
}

void EndpointConnections::set_options(tcp::socket& socket) const
{
    using Probing = asio::socket_base::keep_alive;
    using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    // NOTE: Errors are ignored: without an option a dead endpoint is only detected later, by the request's deadline.
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(Probing(true), ignored);
    socket.set_option(ProbeAfter(probe_after_seconds), ignored);
    socket.set_option(ProbeInterval(probe_interval_seconds), ignored);
    socket.set_option(ProbeCount(probe_count), ignored);
    socket.set_option(UserTimeout(unacknowledged_milliseconds), ignored);
}

void EndpointConnections::close_when_readable(SharedConnection const& connection)
{
    connection->socket.async_wait(tcp::socket::wait_read,
        [this, weak_connection = std::weak_ptr(connection), generation = connection->generation](error_code error) {
            auto const connection = weak_connection.lock();
            if (error || !connection || connection->generation != generation)
                return;
            connection->abort();
            auto const found = this->idle.find(connection->endpoint);
            if (found != this->idle.end())
                std::erase(found->second, connection);
        });
}

}
