#pragma once

#include <LibGateway/CrashNews.h>
#include <LibGateway/EndpointConnections.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibRouting/RequestRouter.h>

namespace Gateway {

/// What the parts of the front share. Used by the event loop's thread only, but for the router and the metrics, which
/// have locks of their own.
struct GatewayState {
    GatewayState(asio::io_context& context, Routing::RouterSettings settings, std::uint64_t seed)
        : context(context)
        , router(std::move(settings), seed)
        , connections(context)
        , crash_news(context, this->metrics)
    {
    }

    asio::io_context& context;
    Routing::RequestRouter router;
    EndpointConnections connections;
    GatewayMetrics metrics;
    CrashNews crash_news;
    /// Set once the process has been told to stop.
    bool is_stopping { false };
    /// When this process ends at the latest; known once it takes no new connections.
    std::optional<Core::Instant> ends_at;
    /// Requests being served.
    std::size_t requests { 0 };
    /// Bytes of request bodies held, and the most that may be.
    std::size_t body_bytes { 0 };
    std::size_t most_body_bytes { 0 };
    /// Open connections of clients, and the most that may be.
    std::size_t clients { 0 };
    std::size_t most_clients { 0 };
};

}
