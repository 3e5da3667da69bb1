#pragma once

#include <LibGateway/Asio.h>
#include <LibMembership/EndpointNewsMessage.h>
#include <LibRouting/RequestRouter.h>

#include <functional>
#include <limits>

namespace Gateway {

/// What endpoints say of themselves in their answers: tells it the router, and the other boxes when it changes, so that
/// they act on it before the endpoint has answered them. What holds is told on to a few boxes each second, for those
/// that missed the news, and a box that starts asks a few.
class EndpointNoticeExchange {
public:
    /// Sends to so many other boxes, in turn.
    using SendToBoxes = std::function<void(std::string const& bytes, std::size_t boxes)>;
    /// Sends to the box that a message came from.
    using Reply = std::function<void(std::string const& bytes)>;

    explicit EndpointNoticeExchange(Routing::RequestRouter& router)
        : router(router)
    {
    }

    /// Without it a box acts on what it is told itself.
    void set_transport(SendToBoxes to_boxes) { this->to_boxes = std::move(to_boxes); }
    /// Asks a few boxes what they know.
    void request_notices() const;
    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    /// The endpoint said this in its answer to a request that was sent at that moment.
    void endpoint_answered(
        Routing::Placed const& placed, Routing::RequestRouter::SelfReport const& report, Core::Instant sent_at);
    /// Another box told it.
    void receive(Membership::EndpointNewsMessage const& message, Reply const& reply);

private:
    void send_some();

    static constexpr Core::Duration send_interval { std::chrono::seconds(1) };
    /// Boxes told or asked at a time: all know within seconds, however many there are.
    static constexpr std::size_t some_boxes = 3;
    static constexpr std::size_t all_boxes = std::numeric_limits<std::size_t>::max();

    Routing::RequestRouter& router;
    SendToBoxes to_boxes;
    /// Which of the notices is told next, where they are more than a message holds.
    std::size_t next_sent { 0 };
};

}
