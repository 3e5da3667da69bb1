#pragma once

#include <LibGateway/CallWatchdog.h>

namespace Gateway {

struct HttpAnswer {
    unsigned status { 0 };
    std::string body;
    /// The store's era; 0 if the answer contains none.
    std::uint64_t era { 0 };

    bool operator==(HttpAnswer const&) const = default;
};

/// How much of an answer has been received.
struct AnswerProgress {
    /// Head and body.
    std::size_t received_bytes { 0 };
    /// The body's length, once the head has been received.
    std::optional<std::uint64_t> body_bytes;

    bool operator==(AnswerProgress const&) const = default;
};

/// An HTTP client with one persistent connection, for calls to the platform, its store and other boxes. One call at a
/// time.
class HttpConnection {
public:
    HttpConnection(asio::io_context& context, Routing::SocketAddress address)
        : context(context)
        , address(std::move(address))
    {
    }

    /// The answer, whatever its status; empty, with a reason, if there is none.
    [[nodiscard]] Task<std::optional<HttpAnswer>> get(
        std::string const& target, CallTimeouts timeouts, Core::LastReason& last_reason);
    /// `headers` describe the body; each ends with a line end.
    [[nodiscard]] Task<std::optional<HttpAnswer>> post(std::string const& target, std::string const& body,
        CallTimeouts timeouts, Core::LastReason& last_reason,
        std::string const& headers = "Content-Type: application/octet-stream\r\n");
    /// How much of the answer to the last call has been received.
    [[nodiscard]] AnswerProgress const& last_progress() const { return this->progress; }
    /// Ends the call in progress and closes the connection.
    void abort();
    void set_address(Routing::SocketAddress changed) { this->address = std::move(changed); }

private:
    [[nodiscard]] Task<error_code> connect();
    [[nodiscard]] Task<std::optional<HttpAnswer>> call_within(
        std::string const& request, CallTimeouts timeouts, Core::LastReason& last_reason);
    [[nodiscard]] Task<error_code> call(std::string const& request, CallWatchdog& watch, HttpAnswer& answer);
    [[nodiscard]] Task<error_code> read_answer(tcp::socket& open_socket, CallWatchdog& watch, HttpAnswer& answer);
    [[nodiscard]] std::string failure_text(error_code error, CallWatchdog const& watch) const;

    static constexpr std::uint32_t max_head_bytes = 16 * 1024;
    /// A configuration with thousands of routes takes about half a megabyte.
    static constexpr std::uint64_t max_answer_bytes = 16 * 1024 * 1024;

    asio::io_context& context;
    Routing::SocketAddress address;
    /// The address of the open connection. If it differs from `address`, the next call reconnects.
    Routing::SocketAddress connected_to;
    std::shared_ptr<tcp::socket> socket;
    flat_buffer buffer;
    AnswerProgress progress;
};

}
