#include <LibGateway/ClientConnection.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::Reason;

ClientConnection::ClientConnection(
    GatewayState& state, tcp::socket socket, Peer peer, std::shared_ptr<Http::BudgetedConnection> budgeted)
    : state(state)
    , socket(std::move(socket))
    , peer(peer)
    , budgeted(std::move(budgeted))
    , receiver(this->socket, *this->budgeted)
    , starting(std::make_shared<StartingClient>(state.starting_clients))
{
}

Task<void> ClientConnection::run()
{
    auto const self = this->shared_from_this();
    this->budgeted->set_on_evicted([weak = this->weak_from_this()](Http::Eviction how) {
        if (auto const evicted = weak.lock())
            evicted->give_way(how);
    });
    bool is_open = true;
    while (is_open) {
        if (!co_await this->receiver.wait(this->limits().idle_timeout))
            break;
        this->is_busy = true;
        auto const current = this->limits();
        // NOTE: The client limits have no timeout for pauses within a body, so the idle timeout applies to them.
        Http::RequestLimits const allowed { current.max_header_bytes, current.max_body_bytes, current.header_timeout,
            current.idle_timeout };
        auto const end = co_await this->receiver.read(allowed);
        if (end != Http::ReadEnd::Complete) {
            co_await this->refuse_unread(end);
            break;
        }
        is_open = co_await this->serve_request();
        this->receiver.finish();
        this->is_busy = false;
        if (this->state.is_stopping)
            this->close_if_idle();
    }
    error_code ignored;
    this->socket.close(ignored);
}

Task<void> ClientConnection::refuse_unread(Http::ReadEnd end)
{
    switch (end) {
    case Http::ReadEnd::Complete:
    case Http::ReadEnd::Closed:
        co_return;
    case Http::ReadEnd::TimedOut:
        co_await this->answer_bad_request(status_request_timeout, Reason::DeadlinePassed, "the request took too long");
        co_return;
    case Http::ReadEnd::HeadTooLarge:
        co_await this->answer_bad_request(status_header_too_large, Reason::HeaderTooLarge, "the head is too large");
        co_return;
    case Http::ReadEnd::BodyTooLarge:
        co_await this->answer_bad_request(status_payload_too_large, Reason::BodyTooLarge, "the body is too large");
        co_return;
    case Http::ReadEnd::Malformed:
        co_await this->answer_bad_request(status_bad_request, Reason::MalformedRequest, this->receiver.fault());
        co_return;
    case Http::ReadEnd::NoMemory:
        co_await this->answer_bad_request(
            status_unavailable, Reason::MemoryLimit, "no memory for requests that are being received");
        co_return;
    }
}

Task<bool> ClientConnection::serve_request()
{
    auto request = this->receiver.take();
    bool const keeps_connection = request.keep_alive();
    ++this->state.requests;
    ++this->request_number;
    auto const served = std::make_shared<RequestExchange>(this->state, std::move(request),
        ClientSide { this->shared_socket(), keeps_connection, this->peer == Peer::Box, std::move(this->starting),
            this->budgeted });
    this->exchange = served;
    this->watch_for_close();
    bool const is_open = co_await served->run();
    this->exchange.reset();
    ++this->request_number;
    --this->state.requests;
    co_return is_open;
}

void ClientConnection::give_way(Http::Eviction how)
{
    this->receiver.evict();
    if (how == Http::Eviction::RefuseRequest)
        return;
    error_code ignored;
    this->socket.close(ignored);
    if (auto const served = this->exchange.lock())
        served->client_left();
}

void ClientConnection::update_unread()
{
    error_code error;
    auto const unread = this->socket.available(error);
    this->budgeted->set_unread(error ? 0 : unread);
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

bool ClientConnection::after_suspension()
{
    auto const served = this->exchange.lock();
    return served && served->after_suspension();
}

void ClientConnection::close_if_idle()
{
    if (this->is_busy || this->receiver.has_buffered_bytes())
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
