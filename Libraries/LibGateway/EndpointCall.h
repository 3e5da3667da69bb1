#pragma once

#include <LibGateway/GatewayState.h>
#include <platform/RequestCodec.h>

namespace Gateway {

/// One request on one connection to an endpoint: opens or takes the connection, sends, reads the answer, and gives the
/// connection back if it may carry another request.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
public:
    /// `attempt` is the client's id of the request, which the endpoint echoes.
    EndpointCall(GatewayState& state, std::string attempt, bool is_head_request)
        : state(state)
        , attempt(std::move(attempt))
        , is_head_request(is_head_request)
    {
    }

    /// Takes a kept connection or opens a new one. An error means that nothing was sent.
    [[nodiscard]] Task<error_code> open(EndpointId endpoint, Routing::SocketAddress address);
    /// Starts to send; the answer may come before all is sent. `owner` keeps the body alive.
    void send(std::string head, asio::const_buffer body, std::shared_ptr<void const> owner);
    /// Reads until the head of the answer to this request has come, past interim ones and those to other requests.
    [[nodiscard]] Task<error_code> read_head(Adapter::AnswerFacts& facts);
    /// Appends what comes next of the body.
    [[nodiscard]] Task<error_code> read_piece(std::string& piece);
    [[nodiscard]] Task<error_code> discard_body();
    /// Ends what is under way; safe to call at any time.
    void abort();
    /// Gives the connection back, or closes it if anything is left on it or under way.
    void release(Core::Instant now);

    [[nodiscard]] Adapter::HttpAnswerHead const& head() const { return this->parser->get(); }
    [[nodiscard]] boost::optional<std::uint64_t> content_length() const { return this->parser->content_length(); }
    /// Whether the whole answer was read.
    [[nodiscard]] bool is_done() const { return this->parser && this->parser->is_done(); }
    [[nodiscard]] bool is_reused() const { return this->reused; }
    /// When the connection came up. Only once open() has succeeded.
    [[nodiscard]] Core::Instant connection_opened_at() const { return this->opened_at; }

private:
    using AnswerParser = http::response_parser<http::buffer_body>;

    static constexpr std::size_t piece_bytes = 8 * 1024;
    static constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;

    GatewayState& state;
    std::string attempt;
    bool is_head_request;
    SharedConnection connection;
    std::unique_ptr<AnswerParser> parser;
    bool reused { false };
    Core::Instant opened_at;
    bool is_aborted { false };
    /// Whether the endpoint has taken all of the request.
    bool is_written { false };
};

}
