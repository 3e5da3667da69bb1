#pragma once

#include <LibGateway/Asio.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace Gateway {

using Core::EndpointId;

/// A connection to an endpoint. Carries one request at a time.
struct EndpointConnection {
    explicit EndpointConnection(asio::io_context& context)
        : socket(context)
    {
    }

    /// Closes the socket, which cancels pending operations. Safe to call at any time.
    void abort();

    tcp::socket socket;
    flat_buffer buffer;
    EndpointId endpoint;
    Core::Instant opened_at;
    /// Whether the connection has carried a request before.
    bool is_reused { false };
    /// How long the endpoint keeps the connection open while idle, from its Keep-Alive header.
    std::optional<Core::Duration> keep_alive_timeout;
    Core::Instant idle_since;
    /// Incremented when the connection leaves or enters the pool, so that a handler set before is ignored.
    std::uint64_t generation { 0 };
};

using SharedConnection = std::shared_ptr<EndpointConnection>;

/// Pool of idle connections to endpoints. An idle connection that becomes readable, because the endpoint closed it or
/// sent an unexpected answer, is closed at once.
class EndpointConnections {
public:
    explicit EndpointConnections(asio::io_context& context)
        : context(context)
    {
    }

    /// Removes the most recently used connection from the pool. Returns null if none is usable.
    [[nodiscard]] SharedConnection acquire_idle(EndpointId endpoint, Core::Instant now);
    /// Opens a new connection. Returns null and sets `error` on failure or timeout.
    [[nodiscard]] Task<SharedConnection> connect(
        EndpointId endpoint, Routing::SocketAddress address, error_code& error);
    /// Returns false if the endpoint closes or resets the idle connection within `duration`.
    [[nodiscard]] static Task<bool> stays_open_for(SharedConnection connection, Core::Duration duration);
    /// Adds the connection to the pool for the next request.
    void release(SharedConnection connection, Core::Instant now);
    /// Closes all idle connections to an endpoint.
    void close_idle(EndpointId endpoint);
    /// Closes all idle connections.
    void close_all_idle();
    /// Closes connections that have been idle for too long.
    void close_expired(Core::Instant now);

private:
    /// Connecting takes about 1 ms at the endpoint and a few on the network. A host that hasn't answered by then is
    /// unreachable, and since nothing was sent, the request can go to another endpoint.
    static constexpr auto connect_timeout = std::chrono::milliseconds(250);
    /// How long sent bytes may stay unacknowledged before the kernel drops the connection.
    static constexpr int unacknowledged_milliseconds = 2000;
    /// TCP keep-alive: idle time before the first probe, time between probes, and number of probes.
    static constexpr int probe_after_seconds = 1;
    static constexpr int probe_interval_seconds = 1;
    static constexpr int probe_count = 2;
    /// For endpoints without a Keep-Alive header, which close idle connections after some seconds.
    static constexpr Core::Duration default_idle_timeout { std::chrono::seconds(4) };
    /// Subtracted from the endpoint's keep-alive timeout, so that no request is sent while the endpoint closes.
    static constexpr Core::Duration idle_margin { std::chrono::milliseconds(1200) };
    static constexpr std::size_t max_idle_per_endpoint = 32;

    [[nodiscard]] static bool is_fresh(EndpointConnection const& connection, Core::Instant now);
    void set_options(tcp::socket& socket) const;
    void close_when_readable(SharedConnection const& connection);

    asio::io_context& context;
    std::unordered_map<EndpointId, std::deque<SharedConnection>> idle;
};

}
