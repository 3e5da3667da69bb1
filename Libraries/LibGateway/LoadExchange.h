#pragma once

#include <LibGateway/GatewayState.h>
#include <LibMembership/BoxDirectory.h>
#include <LibMembership/LoadMessages.h>

#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace Gateway {

/// Tells the other boxes in datagrams what this one has sent to endpoints and learnt of them, and hears the same from
/// them. Only advice: a datagram that is lost, late or missing makes a choice worse and nothing wrong.
class LoadExchange {
public:
    /// What came on this port from a box at this address and is no load report; false if it is nothing else either.
    using OnOtherMessage = std::function<bool(std::string_view bytes, Routing::SocketAddress const& from)>;

    /// What this box tells the others beside its load, and takes from them.
    struct StoreVersionHandlers {
        std::function<Membership::StoreKnowledge(Core::Instant now)> own;
        std::function<void(Membership::StoreKnowledge const& reported, Core::Instant sent_at)> apply;
    };

    /// `own` is the address that other boxes know this one by. `sender` names this process.
    LoadExchange(GatewayState& state, Membership::BoxDirectory const& boxes, Routing::SocketAddress own_address,
        std::uint64_t sender, StoreVersionHandlers version_handlers, OnOtherMessage on_other_message);

    /// False, with a reason, where datagrams can't be received.
    [[nodiscard]] bool open(Core::LastReason& last_reason);
    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> send_reports();
    [[nodiscard]] Task<void> receive();
    /// Sends these bytes to the box at this address; nothing happens for one that is no address.
    void send_to_address(Routing::SocketAddress const& address, std::string const& bytes);
    /// Tells the box at this address what the others are told.
    void send_report(Routing::SocketAddress const& address);
    /// Sends these bytes to so many other boxes, in turn; to all if there are no more.
    void send(std::string const& bytes, std::size_t receivers);

private:
    using udp = asio::ip::udp;

    [[nodiscard]] std::vector<udp::endpoint> others() const;
    [[nodiscard]] Membership::LoadMessage own_message(Core::Instant now) const;
    void send_to(std::vector<udp::endpoint> const& addresses, std::string const& bytes, std::size_t receivers);
    void handle(std::string_view bytes, udp::endpoint const& from);

    /// Where there is nobody to tell, or nothing new.
    static constexpr Core::Duration idle_interval { std::chrono::milliseconds(200) };
    /// The largest datagram there is.
    static constexpr std::size_t max_message_bytes = 64 * 1024;

    GatewayState& state;
    Membership::BoxDirectory const& boxes;
    Routing::SocketAddress own_address;
    std::uint64_t sender;
    StoreVersionHandlers version_handlers;
    OnOtherMessage on_other_message;
    udp::socket socket;
    Membership::MessageAges ages;
    /// Where the next report begins among the others, so that all are told in turn where not all are each time.
    std::size_t next_receiver { 0 };
};

}
