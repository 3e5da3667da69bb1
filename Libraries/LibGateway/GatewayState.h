#pragma once

#include <LibCore/SuspensionMeter.h>
#include <LibGateway/CrashNews.h>
#include <LibGateway/EndpointConnections.h>
#include <LibGateway/EndpointNews.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibLeader/SharedClock.h>
#include <LibLeader/UsageCounts.h>
#include <LibRouting/RequestRouter.h>

namespace Gateway {

/// What the parts of the front share. Used by the event loop's thread only, but for the router and the metrics, which
/// have locks of their own.
struct GatewayState {
    GatewayState(asio::io_context& context, Routing::RouterSettings settings, std::uint64_t seed)
        : context(context)
        , router(std::move(settings), seed)
        , connections(context)
        , crash_exchange(context, this->metrics)
        , endpoint_notice_exchange(this->router)
    {
    }

    /// Looks whether the box was suspended since the last look, and has what hangs on it done before anything else. To
    /// be called before a decision that rests on what this box knows.
    void check_for_suspension()
    {
        auto const now = Core::monotonic_now();
        auto const length = this->suspension.observe(now, Core::awake_now());
        if (length && this->on_suspension)
            this->on_suspension(*length);
    }

    /// The usage window that a moment lies in, by the time that all boxes go by.
    [[nodiscard]] std::uint64_t usage_window_at(Core::Instant moment) const
    {
        return Leader::window_at(this->clock.unix_microseconds(moment), this->usage_window);
    }
    /// An endpoint began a request of the client account at that moment.
    void count_started_request(std::string const& account, Core::Instant at)
    {
        if (this->usage_window > Core::Duration { 0 } && !account.empty())
            this->usage.add(account, this->usage_window_at(at));
    }

    asio::io_context& context;
    Routing::RequestRouter router;
    EndpointConnections connections;
    GatewayMetrics metrics;
    CrashNews crash_exchange;
    EndpointNews endpoint_notice_exchange;
    Leader::SharedClock clock;
    /// What is reported to the platform, by windows of this length; 0 where nothing is.
    Leader::UsageCounts usage;
    Core::Duration usage_window { 0 };
    /// Set once the process has been told to stop.
    bool is_stopping { false };
    /// Whether this box has just started and others may know what it can't learn from the store: a version of the
    /// configuration that the store lost, or what endpoints told them.
    bool awaits_other_boxes { false };
    /// When this process ends at the latest; known once it takes no new connections.
    std::optional<Core::Instant> shutdown_deadline;
    Core::SuspensionMeter suspension { Core::monotonic_now(), Core::awake_now() };
    /// Called with how long the box was suspended.
    std::function<void(Core::Duration length)> on_suspension;
    /// Requests being served.
    std::size_t requests { 0 };
    /// Bytes of request bodies held, and the most that may be.
    std::size_t body_bytes { 0 };
    std::size_t max_held_body_bytes { 0 };
    /// Open connections of clients, and the most that may be.
    std::size_t clients { 0 };
    std::size_t max_clients { 0 };
};

}
