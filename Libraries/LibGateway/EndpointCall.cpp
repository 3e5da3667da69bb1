#include <LibGateway/EndpointCall.h>

#include <LibGateway/HttpStatus.h>
#include <LibHttp/MessageFraming.h>
#include <LibLog/EventLog.h>

#include <algorithm>

namespace Gateway {

namespace {

/// A skipped answer counts as so many bytes at least. Reading 4,000 short ones at eight connections took seconds of
/// processor time, and an endpoint has no reason to send more than a few.
constexpr std::size_t min_skipped_answer_bytes = 4 * 1024;

}

std::string_view to_string(BodyEnd end)
{
    switch (end) {
    case BodyEnd::None:
        return "none";
    case BodyEnd::Length:
        return "length";
    case BodyEnd::LastChunk:
        return "last-chunk";
    case BodyEnd::Connection:
        break;
    }
    return "connection";
}

std::string_view to_string(AnswerExcess excess)
{
    switch (excess) {
    case AnswerExcess::None:
        return "none";
    case AnswerExcess::Head:
        return "head";
    case AnswerExcess::BesideBody:
        return "beside-body";
    case AnswerExcess::Skipped:
        return "skipped";
    case AnswerExcess::Event:
        break;
    }
    return "event";
}

Task<error_code> EndpointCall::open(EndpointId endpoint, Routing::SocketAddress address)
{
    this->connection = this->connections.acquire_idle(endpoint, Core::monotonic_now());
    this->reused = this->connection != nullptr;
    if (this->reused) {
        this->opened_at = this->connection->opened_at;
        co_return error_code {};
    }
    error_code error;
    this->state.metrics.count_endpoint_connection();
    this->connection = co_await this->connections.connect(endpoint, std::move(address), error);
    if (this->connection)
        this->opened_at = this->connection->opened_at;
    if (!error && this->is_aborted)
        error = asio::error::operation_aborted;
    co_return error;
}

void EndpointCall::send(std::string head, asio::const_buffer body, std::shared_ptr<void const> owner)
{
    auto const kept_head = std::make_shared<std::string const>(std::move(head));
    std::array<asio::const_buffer, 2> const buffers { asio::buffer(*kept_head), body };
    // NOTE: Not awaited, since an endpoint may answer before it has read a long body. The write keeps the connection
    // alive, since the call may be aborted before the write ends.
    asio::async_write(this->connection->socket, buffers,
        [self = this->shared_from_this(), used = this->connection, kept_head, owner = std::move(owner)](
            error_code error, std::size_t) { self->is_written = !error; });
}

Task<error_code> EndpointCall::read_head(Adapter::AnswerFacts& facts)
{
    this->connection->buffer.max_size(max_answer_head_bytes + buffered_beyond_head);
    for (;;) {
        this->parser = std::make_unique<AnswerParser>();
        this->parser->header_limit(max_answer_head_bytes);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->is_head_request);
        auto const [error, bytes] = co_await http::async_read_header(
            this->connection->socket, this->connection->buffer, *this->parser, as_value);
        if (error)
            co_return this->note_excess(error);
        if (is_interim_status(this->head().result_int())) {
            if (auto const too_many = this->count_skipped(std::max(bytes, min_skipped_answer_bytes)))
                co_return too_many;
            continue;
        }
        if (!is_final_status(this->head().result_int()))
            co_return http::error::bad_status;
        if (framing_fault(this->head(), this->head().version(), this->parser->chunked()))
            co_return http::error::bad_transfer_encoding;
        facts = Adapter::decode_answer(this->head(), this->attempt);
        if (!facts.is_for_other_request)
            co_return this->check_owner(facts);
        Log::EventLine("answer_for_other_request").with("id", this->attempt).info();
        if (auto const too_many = this->count_skipped(std::max(bytes, min_skipped_answer_bytes)))
            co_return too_many;
        if (auto const broken = co_await this->skip_body())
            co_return broken;
    }
}

error_code EndpointCall::check_owner(Adapter::AnswerFacts const& facts) const
{
    bool const may_be_of_earlier_request
        = this->reused && !this->attempt.empty() && !facts.names_request && !facts.not_run;
    if (!may_be_of_earlier_request && !facts.lacks_proof)
        return {};
    Log::EventLine("answer_unproven")
        .with("id", this->attempt)
        .with("status", this->head().result_int())
        .with("names_request", facts.names_request ? "yes" : "no")
        .with("has_proof", facts.lacks_proof ? "no" : "yes")
        .info();
    return http::error::bad_value;
}

Task<error_code> EndpointCall::read_piece(std::string& piece)
{
    auto const before = piece.size();
    piece.resize(before + piece_bytes);
    auto& body = this->parser->get().body();
    body.data = piece.data() + before;
    body.size = piece_bytes;
    body.more = true;
    auto [error, bytes]
        = co_await http::async_read_some(this->connection->socket, this->connection->buffer, *this->parser, as_value);
    piece.resize(before + piece_bytes - body.size);
    // NOTE: The parser reports need_buffer when the buffer is full, which is not an error here.
    if (error == http::error::need_buffer)
        error = {};
    if (!error && this->parser->is_done() && this->is_end_uncertain())
        error = http::error::partial_message;
    co_return this->note_excess(error);
}

bool EndpointCall::is_end_uncertain() const
{
    // NOTE: The kernel reports a reset only once. If the write takes it, the read sees an orderly end.
    return this->body_end() == BodyEnd::Connection && !this->is_written;
}

Task<error_code> EndpointCall::skip_body()
{
    // NOTE: Such a body may stay open for as long as the endpoint likes, and the connection can't be used again.
    if (this->body_end() == BodyEnd::Connection)
        co_return http::error::end_of_stream;
    std::string discarded;
    while (!this->parser->is_done()) {
        discarded.clear();
        if (auto const error = co_await this->read_piece(discarded))
            co_return error;
        if (auto const too_many = this->count_skipped(discarded.size()))
            co_return too_many;
    }
    co_return error_code {};
}

Task<error_code> EndpointCall::discard_body()
{
    if (this->parser->is_done())
        co_return error_code {};
    asio::steady_timer timer(this->connection->socket.get_executor(), max_discard_duration);
    // NOTE: Cancelling doesn't stop a timer handler that is already queued when the body has been read.
    auto const is_over = std::make_shared<bool>(false);
    timer.async_wait([connection = this->connection, is_over](error_code cancelled) {
        if (!cancelled && !*is_over)
            connection->abort();
    });
    auto const error = co_await this->skip_body();
    *is_over = true;
    co_return error;
}

error_code EndpointCall::count_skipped(std::size_t bytes)
{
    this->skipped_bytes += bytes;
    if (this->skipped_bytes <= max_skipped_bytes)
        return {};
    this->exceeded = AnswerExcess::Skipped;
    return http::error::body_limit;
}

error_code EndpointCall::note_excess(error_code error)
{
    if (error == http::error::header_limit)
        this->exceeded = AnswerExcess::Head;
    else if (is_buffer_full(error))
        this->exceeded = AnswerExcess::BesideBody;
    return error;
}

BodyEnd EndpointCall::body_end() const
{
    if (this->parser->need_eof())
        return BodyEnd::Connection;
    if (this->parser->chunked())
        return BodyEnd::LastChunk;
    return this->content_length() ? BodyEnd::Length : BodyEnd::None;
}

void EndpointCall::abort()
{
    this->is_aborted = true;
    if (this->connection)
        this->connection->abort();
}

void EndpointCall::release(Core::Instant now)
{
    auto used = std::exchange(this->connection, nullptr);
    if (!used)
        return;
    bool const is_clean = this->is_written && this->is_done() && this->parser->keep_alive() && used->buffer.size() == 0
        && used->socket.is_open();
    if (!is_clean) {
        used->abort();
        return;
    }
    if (auto const timeout = Adapter::decode_keep_alive_timeout(this->head()))
        used->keep_alive_timeout = timeout;
    this->connections.release(std::move(used), now);
}

}
