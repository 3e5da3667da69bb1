#pragma once

#include <LibCore/SuspensionDetector.h>
#include <LibGateway/AnswerBufferPool.h>
#include <LibGateway/CrashExchange.h>
#include <LibGateway/EndpointConnections.h>
#include <LibGateway/EndpointNoticeExchange.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/ReachabilityMonitor.h>
#include <LibGateway/RequestForwarder.h>
#include <LibGateway/StreamOriginExchange.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibLeader/SharedClock.h>
#include <LibLeader/UsageCounts.h>
#include <LibRouting/RequestRouter.h>

namespace Gateway {

/// Counts a new client connection as long as it exists.
class StartingClient {
public:
    explicit StartingClient(std::size_t& count)
        : count(count)
    {
        ++this->count;
    }
    ~StartingClient() { --this->count; }
    StartingClient(StartingClient const&) = delete;
    StartingClient& operator=(StartingClient const&) = delete;

private:
    std::size_t& count;
};

/// State shared by all parts of the gateway. Only for the event loop's thread, except for the router and the metrics,
/// which have their own locks.
struct GatewayState {
    GatewayState(asio::io_context& context, Routing::RouterSettings settings, std::uint64_t seed)
        : context(context)
        , router(std::move(settings), seed)
        , connections(context)
        , reachability(context, this->router, this->connections, this->metrics)
        , forwarder(context, this->router, seed)
        , crash_exchange(context, this->metrics, seed)
        , endpoint_notice_exchange(this->router)
        , stream_origin_exchange(context)
    {
    }

    /// Checks whether the box was suspended since the last call, and calls `on_suspension` if so. Must be called before
    /// any decision that depends on the age of the configuration or of other data.
    void check_for_suspension()
    {
        auto const now = Core::monotonic_now();
        auto const length = this->suspension.observe(now, Core::now_without_suspension());
        if (length && this->on_suspension)
            this->on_suspension(*length);
    }

    /// The usage window that contains `moment`, by the clock that all boxes share.
    [[nodiscard]] std::uint64_t usage_window_at(Core::Instant moment) const
    {
        return Leader::window_at(this->clock.unix_microseconds(moment), this->usage_schedule.window_length);
    }
    /// Counts a request of the client account that an endpoint started to run at that moment.
    void count_started_request(std::string const& account, Core::Instant at)
    {
        if (this->usage_schedule.window_length > Core::Duration { 0 } && !account.empty())
            this->usage.add(account, this->usage_window_at(at), this->usage_schedule);
    }

    asio::io_context& context;
    Routing::RequestRouter router;
    EndpointConnections connections;
    GatewayMetrics metrics;
    ReachabilityMonitor reachability;
    RequestForwarder forwarder;
    CrashExchange crash_exchange;
    EndpointNoticeExchange endpoint_notice_exchange;
    StreamOriginExchange stream_origin_exchange;
    Leader::SharedClock clock;
    /// Request counts for the usage reports to the platform. A window length of 0 means that usage isn't reported.
    Leader::UsageCounts usage;
    Leader::UsageSchedule usage_schedule;
    /// Set when the process receives the signal to stop.
    bool is_stopping { false };
    /// Whether this box has just started and hasn't yet received what only other boxes know: a version of the
    /// configuration that the store lost, or the rate limits and drain notices of endpoints.
    bool awaits_other_boxes { false };
    /// When this process exits at the latest. Set once it accepts no new connections.
    std::optional<Core::Instant> shutdown_deadline;
    Core::SuspensionDetector suspension { Core::monotonic_now(), Core::now_without_suspension() };
    /// Called with the length of a detected suspension.
    std::function<void(Core::Duration length)> on_suspension;
    /// Number of requests being served.
    std::size_t requests { 0 };
    /// Answers that are held for slow clients. Shared, since exchanges may be destroyed after this state.
    std::shared_ptr<AnswerBufferPool> answer_buffers { std::make_shared<AnswerBufferPool>(0) };
    /// New client connections whose first request has not been sent to an endpoint yet.
    std::size_t starting_clients { 0 };
    /// Memory of all connections from outside, and who has to give way. Shared, since connections may be destroyed
    /// after this state.
    std::shared_ptr<Http::ConnectionBudget> budget { std::make_shared<Http::ConnectionBudget>(Http::MemoryLimits {}) };
    /// Connections of clients, and of boxes that forward requests.
    Http::ConnectionGroup& clients { budget->add_group(0) };
};

}
