#pragma once

#include <LibGateway/GatewayState.h>
#include <LibMembership/BoxDirectory.h>
#include <LibMembership/LoadMessages.h>

#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace Gateway {

/// Exchanges load reports with the other boxes in datagrams: the work that each box has sent to endpoints, and the load
/// and speed that it measured. The reports are only hints: a lost or late datagram makes placement worse, but nothing
/// incorrect.
class LoadExchange {
public:
    /// Handles a datagram from another box that is no load report. False if it is no known message either.
    using OnOtherMessage = std::function<bool(std::string_view bytes, Routing::SocketAddress const& from)>;

    /// Provides this box's store versions for its reports, and applies those reported by other boxes.
    struct StoreVersionHandlers {
        std::function<Membership::StoreVersions(Core::Instant now)> own;
        std::function<void(Membership::StoreVersions const& reported, Core::Instant sent_at)> apply;
    };

    /// `own` is the address under which other boxes reach this one. `sender` identifies this process.
    LoadExchange(GatewayState& state, Membership::BoxDirectory const& boxes, Routing::SocketAddress own_address,
        std::uint64_t sender, StoreVersionHandlers version_handlers, OnOtherMessage on_other_message);

    /// False, with a reason, if datagrams can't be received.
    [[nodiscard]] bool open(Core::LastReason& last_reason);
    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> send_reports();
    [[nodiscard]] Task<void> receive();
    /// Sends bytes to the box at this address. Does nothing if the address is not numeric.
    void send_to_address(Routing::SocketAddress const& address, std::string const& bytes);
    /// Sends this box's load report to the box at this address.
    void send_report(Routing::SocketAddress const& address);
    /// Sends bytes to this many other boxes in turn, or to all if there are fewer.
    void send(std::string const& bytes, std::size_t receivers);

private:
    using udp = asio::ip::udp;

    [[nodiscard]] std::vector<udp::endpoint> others() const;
    [[nodiscard]] Membership::LoadMessage own_message(Core::Instant now) const;
    void send_to(std::vector<udp::endpoint> const& addresses, std::string const& bytes, std::size_t receivers);
    void handle(std::string_view bytes, udp::endpoint const& from);

    /// Pause while there are no other boxes or nothing new to report.
    static constexpr Core::Duration idle_interval { std::chrono::milliseconds(200) };
    /// The size limit of a datagram.
    static constexpr std::size_t max_message_bytes = 64 * 1024;

    GatewayState& state;
    Membership::BoxDirectory const& boxes;
    Routing::SocketAddress own_address;
    std::uint64_t sender;
    StoreVersionHandlers version_handlers;
    OnOtherMessage on_other_message;
    udp::socket socket;
    Membership::MessageAgeTracker ages;
    /// Index of the box that the next datagram is sent to, so that all boxes are reached in turn.
    std::size_t next_receiver { 0 };
};

}
