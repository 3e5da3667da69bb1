#pragma once

#include <LibGateway/GatewayState.h>
#include <platform/RequestCodec.h>

namespace Gateway {

/// What marks the end of an answer's body.
enum class BodyEnd {
    /// There is no body.
    None,
    Length,
    LastChunk,
    /// The endpoint closes the connection, as after a broken answer.
    Connection,
};

[[nodiscard]] std::string_view to_string(BodyEnd end);

/// One request on one connection to an endpoint: reuses or opens a connection, sends the request, reads the answer, and
/// returns the connection to the pool if it can carry another request.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
public:
    /// How many bytes read_piece() appends at the most.
    static constexpr std::size_t piece_bytes = 8 * 1024;

    /// `attempt` is the client's id of the request, which the endpoint echoes in its answer.
    EndpointCall(GatewayState& state, EndpointConnections& connections, std::string attempt, bool is_head_request)
        : state(state)
        , connections(connections)
        , attempt(std::move(attempt))
        , is_head_request(is_head_request)
    {
    }

    /// Reuses an idle connection or opens a new one. On an error nothing was sent.
    [[nodiscard]] Task<error_code> open(EndpointId endpoint, Routing::SocketAddress address);
    /// Starts sending without waiting for the end. `owner` keeps the body alive meanwhile.
    void send(std::string head, asio::const_buffer body, std::shared_ptr<void const> owner);
    /// Reads the head of the answer to this request. Skips interim answers (1xx) and answers to other requests.
    [[nodiscard]] Task<error_code> read_head(Adapter::AnswerFacts& facts);
    /// Appends the next received piece of the body to `piece`.
    [[nodiscard]] Task<error_code> read_piece(std::string& piece);
    /// Reads the rest of the body, so that the connection can carry another request. Fails where the connection marks
    /// the body's end.
    [[nodiscard]] Task<error_code> discard_body();
    /// Cancels pending operations by closing the connection. Safe to call at any time.
    void abort();
    /// Returns the connection to the pool, or closes it if it has unread bytes or an unfinished write or answer.
    void release(Core::Instant now);

    [[nodiscard]] Adapter::HttpAnswerHead const& head() const { return this->parser->get(); }
    [[nodiscard]] boost::optional<std::uint64_t> content_length() const { return this->parser->content_length(); }
    /// Valid after read_head() has succeeded.
    [[nodiscard]] BodyEnd body_end() const;
    /// Whether the answer was read to its end. Where the connection marks it, after any orderly close.
    [[nodiscard]] bool is_done() const { return this->parser && this->parser->is_done(); }
    [[nodiscard]] bool is_reused() const { return this->reused; }
    /// When the connection was established. Valid after open() has succeeded.
    [[nodiscard]] Core::Instant connection_opened_at() const { return this->opened_at; }

private:
    using AnswerParser = http::response_parser<http::buffer_body>;

    static constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;

    GatewayState& state;
    EndpointConnections& connections;
    std::string attempt;
    bool is_head_request;
    SharedConnection connection;
    std::unique_ptr<AnswerParser> parser;
    bool reused { false };
    Core::Instant opened_at;
    bool is_aborted { false };
    /// Whether the whole request has been written.
    bool is_written { false };
};

}
