#pragma once

#include <LibGateway/Asio.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace Gateway {

using Core::EndpointId;

/// A connection to an endpoint. One request at a time.
struct EndpointConnection {
    explicit EndpointConnection(asio::io_context& context)
        : socket(context)
    {
    }

    /// Ends what is under way on it; safe to call at any time.
    void abort();

    tcp::socket socket;
    flat_buffer buffer;
    EndpointId endpoint;
    Core::Instant opened_at;
    /// Whether it carried a request before.
    bool is_reused { false };
    /// How long the endpoint keeps it idle, as far as it told.
    std::optional<Core::Duration> keep_alive_timeout;
    Core::Instant idle_since;
    /// Changes when it is taken from the pool or put back, so that a watch set earlier knows that it is over.
    std::uint64_t generation { 0 };
};

using SharedConnection = std::shared_ptr<EndpointConnection>;

/// Kept connections to endpoints. An idle one on which anything arrives, be it the end of the connection or an answer
/// too many, is closed at once.
class EndpointConnections {
public:
    explicit EndpointConnections(asio::io_context& context)
        : context(context)
    {
    }

    /// A kept connection, the one used last; null if there is none that can be trusted.
    [[nodiscard]] SharedConnection acquire_idle(EndpointId endpoint, Core::Instant now);
    /// Opens a new one; null, with the error, where that fails or takes too long.
    [[nodiscard]] Task<SharedConnection> connect(
        EndpointId endpoint, Routing::SocketAddress address, error_code& error);
    /// Keeps the connection for the next request.
    void release(SharedConnection connection, Core::Instant now);
    /// Closes the idle connections of an endpoint that is gone.
    void close_idle(EndpointId endpoint);
    /// Closes those that were idle for too long.
    void close_expired(Core::Instant now);

private:
    /// A new connection takes an endpoint about 1 ms and the network a few; one that is not up by then goes to a box
    /// that is gone, and nothing was sent on it.
    static constexpr auto connect_timeout = std::chrono::milliseconds(250);
    /// How long sent bytes may stay unacknowledged before the kernel gives the connection up.
    static constexpr int unacknowledged_milliseconds = 2000;
    /// Seconds without traffic before the kernel asks the peer whether it is there, seconds between, and tries.
    static constexpr int probe_after_seconds = 1;
    static constexpr int probe_interval_seconds = 1;
    static constexpr int probe_count = 2;
    /// Endpoints that tell no time were seen to close idle connections after some seconds.
    static constexpr Core::Duration default_idle_timeout { std::chrono::seconds(4) };
    /// Taken off the time told, so that a request does not cross the endpoint's close.
    static constexpr Core::Duration idle_margin { std::chrono::milliseconds(1200) };
    static constexpr std::size_t max_idle_per_endpoint = 32;

    [[nodiscard]] static bool is_fresh(EndpointConnection const& connection, Core::Instant now);
    void set_options(tcp::socket& socket) const;
    void close_when_readable(SharedConnection const& connection);

    asio::io_context& context;
    std::unordered_map<EndpointId, std::deque<SharedConnection>> idle;
};

}
