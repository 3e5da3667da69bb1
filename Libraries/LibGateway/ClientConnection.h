#pragma once

#include <LibGateway/RequestExchange.h>
#include <LibHttp/RequestReceiver.h>

namespace Gateway {

/// A client connection: reads requests one at a time and serves each through a RequestExchange.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    enum class Peer {
        Client,
        /// Another box, which forwards requests of its clients.
        Box,
    };

    /// `budgeted` is the connection's part of the budget.
    ClientConnection(
        GatewayState& state, tcp::socket socket, Peer peer, std::shared_ptr<Http::BudgetedConnection> budgeted);
    ClientConnection(ClientConnection const&) = delete;
    ClientConnection& operator=(ClientConnection const&) = delete;

    /// Serves requests until the connection is closed.
    [[nodiscard]] Task<void> run();
    /// Calls RequestExchange::after_suspension for the current request. Returns false if there is none.
    [[nodiscard]] bool after_suspension();
    /// Closes the connection unless a request is being read or served.
    void close_if_idle();
    /// Accounts for the bytes that the kernel holds unread for this connection.
    void update_unread();

private:
    /// Answers a request that could not be read, unless the client is gone.
    [[nodiscard]] Task<void> refuse_unread(Http::ReadEnd end);
    [[nodiscard]] Task<bool> serve_request();
    [[nodiscard]] Task<void> answer_bad_request(unsigned status, Core::Reason reason, std::string_view detail);
    void watch_for_close();
    /// Gives way to other connections.
    void give_way(Http::Eviction how);
    [[nodiscard]] std::shared_ptr<tcp::socket> shared_socket();
    [[nodiscard]] Routing::ClientLimits limits() const;

    /// What a box adds to the head of a request that it forwards takes less.
    static constexpr std::uint32_t forwarding_header_bytes = 16 * 1024;
    /// Longer than a box keeps an idle connection, so that it closes the connection first and sends nothing meanwhile.
    static constexpr Core::Duration box_idle_timeout { std::chrono::seconds(30) };

    GatewayState& state;
    tcp::socket socket;
    Peer peer;
    std::shared_ptr<Http::BudgetedConnection> budgeted;
    Http::RequestReceiver receiver;
    /// Until the first request is served.
    std::shared_ptr<StartingClient> starting;
    /// True from the first byte of a request until its answer is sent.
    bool is_busy { false };
    /// The request being served. Weak, since the exchange itself keeps this connection alive.
    std::weak_ptr<RequestExchange> exchange;
    /// Incremented when serving a request begins and ends, so that a handler for an earlier request is ignored.
    std::uint64_t request_number { 0 };
};

}
