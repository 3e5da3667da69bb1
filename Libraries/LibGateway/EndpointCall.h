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

/// Which bytes that an endpoint sent exceeded their limit, so that its connection was closed.
enum class AnswerExcess {
    None,
    /// The head of the answer.
    Head,
    /// The head of a chunk, or the trailers.
    BesideBody,
    /// Interim answers, answers to other requests, and a body that is of no use.
    Skipped,
    /// One event of a stream whose events are forwarded whole.
    Event,
};

[[nodiscard]] std::string_view to_string(AnswerExcess excess);

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
    /// Reads the rest of the body, so that the connection can carry another request, unless that takes long. Fails
    /// where the connection marks the body's end.
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
    /// Which limit made a read fail.
    [[nodiscard]] AnswerExcess excess() const { return this->exceeded; }
    /// When the connection was established. Valid after open() has succeeded.
    [[nodiscard]] Core::Instant connection_opened_at() const { return this->opened_at; }

private:
    using AnswerParser = http::response_parser<http::buffer_body>;

    /// Whether the connection ended the answer, but may have done so by a reset: an endpoint that closes before it has
    /// read the whole request resets the connection, and the end of the answer may be lost.
    [[nodiscard]] bool is_end_uncertain() const;
    /// Returns an error for an answer that nothing ties to this request: a success without the endpoint's proof, or one
    /// that names no request on a connection that carried another one. An endpoint in trouble may send the bytes of an
    /// earlier answer again, without their names.
    [[nodiscard]] error_code check_owner(Adapter::AnswerFacts const& facts) const;
    /// Reads the rest of a body that is skipped.
    [[nodiscard]] Task<error_code> skip_body();
    /// Counts bytes that are skipped. Returns an error if there are too many of them.
    [[nodiscard]] error_code count_skipped(std::size_t bytes);
    /// Records which limit a failed read exceeded.
    [[nodiscard]] error_code note_excess(error_code error);

    static constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;
    /// Of one call. An answer that is skipped is as long as one that is read whole before it is forwarded, or is a
    /// stream that its endpoint goes on with.
    static constexpr std::size_t max_skipped_bytes = 256 * 1024;
    /// The rest of a rejection follows its head at once, and a new connection takes about 1 ms. A box that is short of
    /// processor time is delayed by some 100 ms.
    static constexpr Core::Duration max_discard_duration { std::chrono::milliseconds(100) };

    GatewayState& state;
    EndpointConnections& connections;
    std::string attempt;
    bool is_head_request;
    SharedConnection connection;
    std::unique_ptr<AnswerParser> parser;
    bool reused { false };
    Core::Instant opened_at;
    bool is_aborted { false };
    std::size_t skipped_bytes { 0 };
    AnswerExcess exceeded { AnswerExcess::None };
    /// Whether the whole request has been written.
    bool is_written { false };
};

}
