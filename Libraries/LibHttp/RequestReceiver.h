#pragma once

#include <LibHttp/ConnectionBudget.h>
#include <LibHttp/UnreservedBody.h>

#include <string>

namespace Http {

using Request = http::request<http::string_body>;

/// What a client may send, and how long it may take.
struct RequestLimits {
    std::uint32_t max_head_bytes { 16 * 1024 };
    std::uint64_t max_body_bytes { 0 };
    /// For the whole head, from its first byte.
    Duration head_timeout { 0 };
    /// For a pause within a body.
    Duration pause_timeout { 0 };
    /// Memory that a request takes for each byte of its body, until finish_parsing() is called.
    std::size_t memory_per_body_byte { 1 };

    bool operator==(RequestLimits const&) const = default;
};

/// How reading a request ended.
enum class ReadEnd {
    /// The request is complete.
    Complete,
    /// The client closed the connection, or the connection was evicted.
    Closed,
    TimedOut,
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
    /// There is no memory for the request.
    NoMemory,
};

/// Reads the requests of one connection, one after another, and accounts for the memory that they take while they
/// arrive. Room for a body is made when the budget grants it, not when the client announces it.
class RequestReceiver {
public:
    /// The socket and the connection must outlive the receiver.
    RequestReceiver(tcp::socket& socket, BudgetedConnection& connection);
    ~RequestReceiver();
    RequestReceiver(RequestReceiver const&) = delete;
    RequestReceiver& operator=(RequestReceiver const&) = delete;

    /// Waits for the first byte of the next request. Returns false if it does not come in time or the connection ends.
    [[nodiscard]] Task<bool> wait(Duration timeout);
    [[nodiscard]] Task<ReadEnd> read(RequestLimits const& limits);
    /// The request that read() has completed, once.
    [[nodiscard]] Request take();
    /// Releases the memory of a request that was refused.
    void discard();
    /// The body of the request that was taken no longer takes more than its own bytes.
    void finish_parsing();
    /// The request that was taken has been answered.
    void finish();
    /// Gives way to other connections. The owner calls it when the budget says so, and closes the socket if asked to.
    void evict();

    /// Whether bytes of a further request have been read already.
    [[nodiscard]] bool has_buffered_bytes() const { return this->buffer.size() > 0; }
    /// What is wrong with a malformed request, for the log.
    [[nodiscard]] std::string const& fault() const { return this->fault_text; }

private:
    using Parser = http::request_parser<UnreservedBody>;
    struct Guard;

    [[nodiscard]] Task<error_code> read_head(Duration timeout);
    [[nodiscard]] Task<error_code> read_body(Duration pause_timeout, std::uint64_t max_bytes);
    /// Reads what has arrived, accounts for the buffer and parses it. Fails if there is no room.
    [[nodiscard]] Task<error_code> read_some();
    /// Parses what the buffer holds, at most to the end of the head or of the request.
    [[nodiscard]] error_code parse();
    [[nodiscard]] std::size_t body_capacity() const;
    /// Makes room for the next bytes of a body. Returns false if the budget does not grant it.
    [[nodiscard]] bool reserve_body(std::uint64_t max_bytes);
    [[nodiscard]] bool account(std::size_t body_bytes);
    [[nodiscard]] ReadEnd end_of(error_code error);
    void arm_guard(Duration timeout);
    void disarm_guard();

    tcp::socket& socket;
    BudgetedConnection& connection;
    flat_buffer buffer;
    std::optional<Parser> parser;
    /// Memory that the parsed head takes, beside the buffer.
    std::size_t head_bytes { 0 };
    std::string fault_text;
    bool has_begun_body { false };
    std::size_t memory_per_body_byte { 1 };
    std::size_t body_bytes { 0 };
    bool is_evicted { false };
    std::shared_ptr<Guard> guard;
};

}
