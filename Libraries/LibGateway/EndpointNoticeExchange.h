#pragma once

#include <LibGateway/Asio.h>
#include <LibMembership/EndpointNoticeMessage.h>
#include <LibRouting/RequestRouter.h>

#include <functional>
#include <limits>

namespace Gateway {

/// Shares the limits and draining states that endpoints report in their answers: applies them to the router and sends
/// changes to all boxes, so that a box can react before the endpoint has answered it. Notices in force are also sent to
/// a few boxes each second, for boxes that missed a change, and sent on request to boxes that start.
class EndpointNoticeExchange {
public:
    /// Sends to this many other boxes, different ones each time.
    using SendToBoxes = std::function<void(std::string const& bytes, std::size_t boxes)>;
    /// Sends to the sender of the message that is being handled.
    using Reply = std::function<void(std::string const& bytes)>;

    explicit EndpointNoticeExchange(Routing::RequestRouter& router)
        : router(router)
    {
    }

    /// Until this is called, a box acts only on what endpoints report to it.
    void set_transport(SendToBoxes to_boxes) { this->to_boxes = std::move(to_boxes); }
    /// Asks a few boxes for all notices in force.
    void request_notices() const;
    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    /// Applies what the endpoint reported in its answer to a request sent at `sent_at`.
    void endpoint_answered(
        Routing::Placed const& placed, Routing::RequestRouter::EndpointReport const& report, Core::Instant sent_at);
    /// Applies the notices of another box and answers its request for notices.
    void receive(Membership::EndpointNoticeMessage const& message, Reply const& reply);

private:
    void send_some();
    /// Tells all other boxes at once, since each of them may send the endpoint another request.
    void report_rejection(Routing::EndpointRejection const& rejection) const;

    static constexpr Core::Duration send_interval { std::chrono::seconds(1) };
    /// Boxes to which notices or requests are sent at a time. Each second every box sends to this many others, so all
    /// boxes are up to date within seconds, whatever their number.
    static constexpr std::size_t some_boxes = 3;
    static constexpr std::size_t all_boxes = std::numeric_limits<std::size_t>::max();

    Routing::RequestRouter& router;
    SendToBoxes to_boxes;
    /// Index of the notice to send next, since a message may not hold all.
    std::size_t next_sent { 0 };
};

}
