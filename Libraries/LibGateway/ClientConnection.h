#pragma once

#include <LibGateway/RequestExchange.h>

namespace Gateway {

/// A client connection: reads requests one at a time and serves each through a RequestExchange.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    enum class Peer {
        Client,
        /// Another box, which forwards requests of its clients.
        Box,
    };

    ClientConnection(GatewayState& state, tcp::socket socket, Peer peer);
    ~ClientConnection();
    ClientConnection(ClientConnection const&) = delete;
    ClientConnection& operator=(ClientConnection const&) = delete;

    /// Serves requests until the connection is closed.
    [[nodiscard]] Task<void> run();
    /// Calls RequestExchange::after_suspension for the current request. Returns false if there is none.
    [[nodiscard]] bool after_suspension();
    /// Closes the connection unless a request is being read or served.
    void close_if_idle();

private:
    using Parser = http::request_parser<http::string_body>;

    [[nodiscard]] Task<bool> wait_for_request();
    /// Reads one request. Returns false if the connection must be closed.
    [[nodiscard]] Task<bool> read_request(Parser& parser);
    /// Reads the head and the body. The error is `no_buffer_space` if all bodies together would exceed their limit.
    [[nodiscard]] Task<error_code> read_head_and_body(Parser& parser);
    /// Counts what was read of the body so far. Returns false if all bodies together exceed their limit.
    [[nodiscard]] bool count_body(std::size_t bytes);
    void release_body();
    [[nodiscard]] Task<bool> serve_request(Parser& parser);
    [[nodiscard]] Task<void> answer_bad_request(unsigned status, Core::Reason reason, std::string_view detail);
    void watch_for_close();
    void arm_guard(Core::Duration timeout);
    void disarm_guard();
    [[nodiscard]] std::shared_ptr<tcp::socket> shared_socket();
    [[nodiscard]] Routing::ClientLimits limits() const;

    /// What a box adds to the head of a request that it forwards takes less.
    static constexpr std::uint32_t forwarding_header_bytes = 16 * 1024;
    /// Longer than a box keeps an idle connection, so that it closes the connection first and sends nothing meanwhile.
    static constexpr Core::Duration box_idle_timeout { std::chrono::seconds(30) };

    GatewayState& state;
    tcp::socket socket;
    Peer peer;
    flat_buffer buffer;
    asio::steady_timer guard;
    /// Incremented when the guard is armed or disarmed. Cancelling doesn't stop a handler that is already queued, so
    /// handlers compare this with the value they were armed with.
    std::uint64_t guard_generation { 0 };
    bool guard_fired { false };
    /// What is wrong with the framing of the request; empty if nothing is.
    std::string unframed_because;
    /// The part of GatewayState::body_bytes that belongs to this connection.
    std::size_t counted_body_bytes { 0 };
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
