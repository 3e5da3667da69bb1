#pragma once

#include <LibGateway/RequestExchange.h>

namespace Gateway {

/// One client's connection: reads requests one after the other and has each served.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(GatewayState& state, tcp::socket socket);
    ~ClientConnection();
    ClientConnection(ClientConnection const&) = delete;
    ClientConnection& operator=(ClientConnection const&) = delete;

    /// Serves the connection until it ends.
    [[nodiscard]] Task<void> run();
    /// As RequestExchange::woke, for the request under way.
    [[nodiscard]] bool after_suspension();
    /// Closes it if no request is under way.
    void close_if_idle();

private:
    using Parser = http::request_parser<http::string_body>;

    [[nodiscard]] Task<bool> wait_for_request();
    /// Reads one request; false if the connection is over.
    [[nodiscard]] Task<bool> read_request(Parser& parser);
    [[nodiscard]] Task<error_code> read_head_and_body(Parser& parser);
    [[nodiscard]] Task<bool> serve_request(Parser& parser);
    [[nodiscard]] Task<void> answer_bad_request(unsigned status, Core::Reason reason, std::string_view detail);
    void watch_for_close();
    void arm_guard(Core::Duration timeout);
    void disarm_guard();
    [[nodiscard]] std::shared_ptr<tcp::socket> shared_socket();
    [[nodiscard]] Routing::ClientLimits limits() const;

    GatewayState& state;
    tcp::socket socket;
    flat_buffer buffer;
    asio::steady_timer guard;
    /// Changes when the guard is set anew or is over, since a handler that is queued then can't be cancelled.
    std::uint64_t guard_generation { 0 };
    bool guard_fired { false };
    /// From the first byte of a request until its answer is sent.
    bool is_busy { false };
    /// The request being served. The task that serves it owns it: it holds this connection in turn.
    std::weak_ptr<RequestExchange> exchange;
    /// Counts requests, so that a watch set for an earlier one knows that it is over.
    std::uint64_t request_number { 0 };
};

}
