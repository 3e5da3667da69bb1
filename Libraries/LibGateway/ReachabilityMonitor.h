#pragma once

#include <LibGateway/EndpointConnections.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibRouting/EndpointReachability.h>
#include <LibRouting/RequestRouter.h>

namespace Gateway {

/// Finds out whether this box is cut off from the endpoints while the rest of the network still reaches it.
///
/// What requests show is confirmed by opening connections to a few other endpoints, since a box with few requests would
/// learn too late and one with a broken endpoint too much. While the box is cut off, it goes on trying.
class ReachabilityMonitor {
public:
    ReachabilityMonitor(asio::io_context& context, Routing::RequestRouter& router, EndpointConnections& connections,
        GatewayMetrics& metrics)
        : context(context)
        , router(router)
        , connections(connections)
        , metrics(metrics)
        , pause(context)
    {
    }

    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    [[nodiscard]] bool is_cut_off() const { return this->reachability.is_cut_off(); }
    /// How long a new connection has to stay open to count as one that works.
    [[nodiscard]] Core::Duration confirmation_time() const { return this->reachability.confirmation_time(); }
    /// A connection attempt that began at `began` failed.
    void connect_failed(EndpointId endpoint, Core::Instant began);
    /// A new connection broke before it carried any answer.
    void new_connection_broke(EndpointId endpoint, Routing::EndpointReachability::BrokenConnection const& broken);
    /// A request that was sent at `sent_at` got no answer, or its connection broke.
    void unanswered(Core::Instant sent_at);
    /// An endpoint sent an answer on a connection that was opened at `opened_at`.
    void answered(Core::Instant opened_at);
    /// Whether an endpoint other than `refusing`, which refuses connections, accepts one. Then the refusal is the
    /// endpoint's own. True as well if there is no other endpoint to ask.
    [[nodiscard]] Task<bool> is_own_refusal(EndpointId refusing);

private:
    /// Tries to connect to a few endpoints at the same time. Returns whether there was one to try.
    [[nodiscard]] Task<bool> check(std::vector<EndpointId> excluded);
    [[nodiscard]] Task<bool> accepts_connection(Routing::KnownEndpoint endpoint);
    [[nodiscard]] Task<void> try_connection(Routing::KnownEndpoint endpoint);
    /// A connection that was opened at `opened_at` works.
    void connected(Core::Instant opened_at);
    void apply(Routing::EndpointReachability::Change change, Core::Instant now);

    /// Endpoints to which a check connects.
    static constexpr std::size_t checked_endpoints = 3;
    /// Endpoints that are asked whether a refusal is another one's own. After a series of crashes some refuse as well.
    static constexpr std::size_t max_others_asked = 8;
    /// Interval of checks while the box is cut off, and the least time between two checks that succeed.
    static constexpr Core::Duration check_interval { std::chrono::milliseconds(500) };
    static constexpr Core::Duration idle_interval { std::chrono::minutes(1) };
    static constexpr std::size_t max_refusing_endpoints = 64;

    asio::io_context& context;
    Routing::RequestRouter& router;
    EndpointConnections& connections;
    GatewayMetrics& metrics;
    InterruptibleTimer pause;
    Routing::EndpointReachability reachability;
    /// When the box was last found to be cut off.
    Core::Instant cut_off_at;
    Core::Instant last_answer { Core::Instant::min() };
    /// Whether requests gave reason for a check.
    bool is_suspected { false };
    /// Endpoints that refused connections while others accepted them, the latest last.
    std::vector<EndpointId> refusing_endpoints;
};

}
