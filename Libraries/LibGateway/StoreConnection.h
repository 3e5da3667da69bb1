#pragma once

#include <LibGateway/CallWatchdog.h>

namespace Gateway {

struct StoreAnswer {
    unsigned status { 0 };
    std::string body;
    /// Which history of the store it is of; 0 if the answer doesn't say.
    std::uint64_t era { 0 };

    bool operator==(StoreAnswer const&) const = default;
};

/// How far the answer to a call has come.
struct AnswerProgress {
    /// Of head and body.
    std::size_t received_bytes { 0 };
    /// Of the body, once the head has told it.
    std::optional<std::uint64_t> body_bytes;

    bool operator==(AnswerProgress const&) const = default;
};

/// Calls the platform, its store, or another box, over one kept connection, one call at a time.
class StoreConnection {
public:
    StoreConnection(asio::io_context& context, Routing::SocketAddress address)
        : context(context)
        , address(std::move(address))
    {
    }

    /// Any answer, or nothing with the reason.
    [[nodiscard]] Task<std::optional<StoreAnswer>> get(
        std::string const& target, CallTimeouts timeouts, Core::LastReason& last_reason);
    /// `headers` are those that the body needs, each with its line end.
    [[nodiscard]] Task<std::optional<StoreAnswer>> post(std::string const& target, std::string const& body,
        CallTimeouts timeouts, Core::LastReason& last_reason,
        std::string const& headers = "Content-Type: application/octet-stream\r\n");
    /// How far the answer to the last call has come.
    [[nodiscard]] AnswerProgress const& last_progress() const { return this->progress; }
    /// Ends the call under way and closes the connection.
    void abort();
    void set_address(Routing::SocketAddress changed) { this->address = std::move(changed); }

private:
    [[nodiscard]] Task<error_code> connect();
    [[nodiscard]] Task<std::optional<StoreAnswer>> call_within(
        std::string const& request, CallTimeouts timeouts, Core::LastReason& last_reason);
    [[nodiscard]] Task<error_code> call(std::string const& request, CallWatchdog& watch, StoreAnswer& answer);
    [[nodiscard]] Task<error_code> read_answer(tcp::socket& kept, CallWatchdog& watch, StoreAnswer& answer);
    [[nodiscard]] std::string failure_text(error_code error, CallWatchdog const& watch) const;

    /// A configuration with thousands of routes takes about half a megabyte.
    static constexpr std::uint64_t largest_answer = 16 * 1024 * 1024;

    asio::io_context& context;
    Routing::SocketAddress address;
    /// Another address than this one is connected to with the next call.
    Routing::SocketAddress connected_to;
    std::shared_ptr<tcp::socket> socket;
    flat_buffer buffer;
    AnswerProgress progress;
};

}
