#include <LibGateway/ClientConnection.h>

#include <LibGateway/HttpStatus.h>
#include <LibHttp/MessageFraming.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::Reason;

namespace {

struct BadRequest {
    unsigned status;
    Reason reason;
};

BadRequest bad_request_for(error_code error)
{
    if (error == http::error::header_limit || is_buffer_full(error))
        return { status_header_too_large, Reason::HeaderTooLarge };
    if (error == http::error::body_limit)
        return { status_payload_too_large, Reason::BodyTooLarge };
    return { status_bad_request, Reason::MalformedRequest };
}

bool is_parse_error(error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Fits a request line and a few short headers. The buffer grows for longer heads.
constexpr std::size_t typical_head_bytes = 1024;

}

ClientConnection::ClientConnection(GatewayState& state, tcp::socket socket, Peer peer)
    : state(state)
    , socket(std::move(socket))
    , peer(peer)
    , guard(state.context)
    , starting(std::make_shared<StartingClient>(state.starting_clients))
{
    ++this->state.clients;
}

ClientConnection::~ClientConnection()
{
    --this->state.clients;
}

Task<void> ClientConnection::run()
{
    auto const self = this->shared_from_this();
    bool is_open = true;
    while (is_open) {
        if (!co_await this->wait_for_request())
            break;
        this->is_busy = true;
        Parser parser;
        auto const current_limits = this->limits();
        parser.header_limit(current_limits.max_header_bytes);
        parser.body_limit(current_limits.max_body_bytes);
        // NOTE: Without a bound the buffer would take in a chunk's head or trailers that never end.
        this->buffer.max_size(
            std::max<std::size_t>(current_limits.max_header_bytes + buffered_beyond_head, this->buffer.size()));
        if (!co_await this->read_request(parser))
            break;
        is_open = co_await this->serve_request(parser);
        this->release_body();
        this->is_busy = false;
        if (this->state.is_stopping)
            this->close_if_idle();
    }
    this->release_body();
    this->disarm_guard();
    error_code ignored;
    this->socket.close(ignored);
}

Task<bool> ClientConnection::wait_for_request()
{
    if (this->buffer.size() > 0)
        co_return true;
    // NOTE: Idle connections hold no read buffer.
    this->buffer.shrink_to_fit();
    this->arm_guard(this->limits().idle_timeout);
    auto const [error] = co_await this->socket.async_wait(tcp::socket::wait_read, as_value);
    co_return !error && !this->guard_fired;
}

Task<bool> ClientConnection::read_request(Parser& parser)
{
    auto const error = co_await this->read_head_and_body(parser);
    this->disarm_guard();
    if (!error)
        co_return true;
    if (this->guard_fired) {
        co_await this->answer_bad_request(status_request_timeout, Reason::DeadlinePassed, "the request took too long");
        co_return false;
    }
    if (error == asio::error::no_buffer_space) {
        co_await this->answer_bad_request(status_unavailable, Reason::MemoryLimit, "too many request bodies in memory");
    } else if (is_parse_error(error)) {
        auto const [status, reason] = bad_request_for(error);
        // NOTE: Named because the compiler destroys a temporary in an awaited expression twice.
        auto const detail = this->unframed_because.empty() ? error.message() : this->unframed_because;
        co_await this->answer_bad_request(status, reason, detail);
    }
    co_return false;
}

Task<error_code> ClientConnection::read_head_and_body(Parser& parser)
{
    this->arm_guard(this->limits().header_timeout);
    this->buffer.reserve(typical_head_bytes);
    auto const [head_error, head_bytes]
        = co_await http::async_read_header(this->socket, this->buffer, parser, as_value);
    if (head_error)
        co_return head_error;
    auto const& head = parser.get();
    if (auto const fault = framing_fault(head, head.version(), parser.chunked())) {
        this->unframed_because = to_string(*fault);
        co_return http::error::bad_transfer_encoding;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        auto const [error, bytes] = co_await asio::async_write(this->socket, asio::buffer(go_on), as_value);
        if (error)
            co_return error;
    }
    parser.eager(true);
    while (!parser.is_done()) {
        // NOTE: The client limits have no timeout for pauses within a body, so the idle timeout applies to them.
        this->arm_guard(this->limits().idle_timeout);
        auto const [error, bytes] = co_await http::async_read_some(this->socket, this->buffer, parser, as_value);
        if (error)
            co_return error;
        // NOTE: Counted while it arrives, since bodies that many clients send slowly fill the memory as well.
        if (!this->count_body(parser.get().body().size() + this->buffer.size()))
            co_return asio::error::no_buffer_space;
    }
    co_return error_code {};
}

bool ClientConnection::count_body(std::size_t bytes)
{
    this->state.body_bytes += bytes - this->counted_body_bytes;
    this->counted_body_bytes = bytes;
    return this->state.body_bytes <= this->state.max_held_body_bytes;
}

void ClientConnection::release_body()
{
    this->state.body_bytes -= std::exchange(this->counted_body_bytes, 0);
}

Task<bool> ClientConnection::serve_request(Parser& parser)
{
    auto request = parser.release();
    bool const keeps_connection = request.keep_alive();
    ++this->state.requests;
    ++this->request_number;
    auto const served = std::make_shared<RequestExchange>(this->state, std::move(request),
        ClientSide { this->shared_socket(), keeps_connection, this->peer == Peer::Box, std::move(this->starting) });
    this->exchange = served;
    this->watch_for_close();
    bool const is_open = co_await served->run();
    this->exchange.reset();
    ++this->request_number;
    --this->state.requests;
    co_return is_open;
}

Task<void> ClientConnection::answer_bad_request(unsigned status, Reason reason, std::string_view detail)
{
    this->state.metrics.count_refusal(reason);
    Log::EventLine("request_unreadable")
        .with("status", status)
        .with("reason", Core::to_string(reason))
        .with("detail", detail)
        .info();
    auto const box_details = this->peer == Peer::Box ? this->state.forwarder.answer_details(reason, {}) : std::string();
    auto const bytes = Adapter::encode_local_answer({ status, "", reason, {}, false, false, box_details });
    auto const [error, written] = co_await asio::async_write(this->socket, asio::buffer(bytes), as_value);
    if (!error)
        co_await close_after_answer(this->shared_socket());
}

void ClientConnection::watch_for_close()
{
    this->socket.async_wait(
        tcp::socket::wait_read, [weak = this->weak_from_this(), armed_for = this->request_number](error_code error) {
            auto const self = weak.lock();
            auto const served = self ? self->exchange.lock() : nullptr;
            if (error || !served || self->request_number != armed_for)
                return;
            error_code ignored;
            // NOTE: A readable socket without bytes means that the client closed the connection. Bytes belong to its
            // next request.
            if (self->socket.available(ignored) == 0)
                served->client_left();
        });
}

void ClientConnection::arm_guard(Core::Duration timeout)
{
    this->guard_fired = false;
    this->guard.expires_after(timeout);
    this->guard.async_wait([weak = this->weak_from_this(), armed_for = ++this->guard_generation](error_code cancelled) {
        auto const self = weak.lock();
        if (cancelled || !self || self->guard_generation != armed_for)
            return;
        self->guard_fired = true;
        error_code ignored;
        self->socket.cancel(ignored);
    });
}

void ClientConnection::disarm_guard()
{
    ++this->guard_generation;
    this->guard.cancel();
}

bool ClientConnection::after_suspension()
{
    auto const served = this->exchange.lock();
    return served && served->after_suspension();
}

void ClientConnection::close_if_idle()
{
    if (this->is_busy || this->buffer.size() > 0)
        return;
    error_code error;
    // NOTE: Unread bytes belong to a new request, which is still served.
    if (this->socket.available(error) > 0 && !error)
        return;
    this->socket.close(error);
}

std::shared_ptr<tcp::socket> ClientConnection::shared_socket()
{
    return { this->shared_from_this(), &this->socket };
}

Routing::ClientLimits ClientConnection::limits() const
{
    auto const configuration = this->state.router.configuration();
    auto limits = configuration ? configuration->configuration().limits : Routing::ClientLimits {};
    if (this->peer == Peer::Client)
        return limits;
    limits.max_header_bytes += forwarding_header_bytes;
    limits.idle_timeout = std::max(limits.idle_timeout, box_idle_timeout);
    return limits;
}

}
