#include <LibServer/HttpListener.h>

#include <LibServer/AnswerWriter.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <httplib.h>

namespace Server {

namespace asio = Http::asio;
using Http::as_value;
using Http::ConnectionState;
using Http::error_code;
using Http::Task;
using Http::tcp;

namespace {

/// Fits a head and a short body. More is read as it comes.
constexpr int receive_buffer_bytes = 64 * 1024;
/// Without a limit the kernel takes megabytes for a client that doesn't read.
constexpr int send_buffer_bytes = 128 * 1024;

RawRequest raw_request(Http::Request request)
{
    RawRequest raw;
    raw.method = std::string(request.method_string());
    std::string_view const target(request.target().data(), request.target().size());
    raw.path = httplib::detail::decode_url(std::string(target.substr(0, target.find('?'))), false);
    for (auto const& field : request) {
        std::string name(field.name_string());
        std::ranges::transform(
            name, name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        raw.headers.emplace(std::move(name), std::string(field.value()));
    }
    raw.body = std::move(request.body());
    return raw;
}

}

/// One connection of a client: reads requests one at a time and answers each.
class HttpListener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpListener& listener, tcp::socket accepted, std::unique_ptr<Http::BudgetedConnection> opened)
        : listener(listener)
        , socket(std::move(accepted))
        , budgeted(std::move(opened))
        , receiver(this->socket, *this->budgeted)
        , writer(this->socket, *this->budgeted, listener.limits.write_timeout)
    {
    }

    [[nodiscard]] Task<void> run()
    {
        auto const self = this->shared_from_this();
        this->budgeted->set_on_evicted([weak = this->weak_from_this()](Http::Eviction how) {
            if (auto const evicted = weak.lock())
                evicted->give_way(how);
        });
        bool is_open = true;
        for (std::size_t requests = 1; is_open && !this->listener.is_stopping; ++requests) {
            this->is_idle = true;
            bool const is_readable = co_await this->receiver.wait(this->listener.limits.keep_alive);
            this->is_idle = false;
            if (!is_readable)
                break;
            auto const end = co_await this->receiver.read(this->listener.limits.requests);
            if (end != Http::ReadEnd::Complete) {
                co_await this->refuse(this->is_receiving_over ? Http::ReadEnd::TimedOut : end);
                break;
            }
            is_open = co_await this->serve(requests < this->listener.limits.requests_per_connection);
            this->receiver.finish();
        }
        error_code ignored;
        this->socket.close(ignored);
    }

    /// Closes the connection unless it has sent a part of a request.
    void close_if_idle()
    {
        error_code error;
        if (!this->is_idle || (this->socket.available(error) > 0 && !error))
            return;
        this->socket.close(error);
    }

    /// Refuses the request that is being received, if any.
    void stop_receiving()
    {
        auto const state = this->budgeted->state();
        bool const is_receiving = state == ConnectionState::ReadingHead || state == ConnectionState::ReadingBody;
        if (!is_receiving || std::exchange(this->is_receiving_over, true))
            return;
        this->receiver.evict();
    }

private:
    [[nodiscard]] Task<void> refuse(Http::ReadEnd end)
    {
        if (end == Http::ReadEnd::Closed)
            co_return;
        auto const answer = this->listener.handlers.refuse(end, this->receiver.fault());
        if (co_await this->writer.write(answer, { .keeps_connection = false }))
            co_await Http::close_after_answer({ this->shared_from_this(), &this->socket });
    }

    /// Returns whether the connection may carry another request.
    [[nodiscard]] Task<bool> serve(bool may_keep)
    {
        auto request = this->receiver.take();
        bool const is_http_1_0 = request.version() < http_1_1;
        AnswerFraming const framing { may_keep && request.keep_alive(), !is_http_1_0,
            request.method() == Http::http::verb::head };
        auto answer = co_await this->handle(raw_request(std::move(request)));
        this->receiver.finish_parsing();
        if (auto* const whole = std::get_if<WholeAnswer>(&answer)) {
            this->budgeted->set_state(ConnectionState::Delivering, Core::monotonic_now());
            co_return co_await this->writer.write(*whole, framing) && framing.keeps_connection;
        }
        co_return co_await this->pass_on(std::get<PendingAnswer>(answer), framing);
    }

    [[nodiscard]] Task<HttpAnswer> handle(RawRequest request)
    {
        auto const shared = std::make_shared<RawRequest>(std::move(request));
        auto const answer = std::make_shared<std::optional<HttpAnswer>>();
        auto const answered = std::make_shared<LoopEvent>(this->listener.loop.io_context());
        // NOTE: Without the connection itself, which must be destroyed on the loop's thread.
        this->listener.workers.enqueue([&handlers = this->listener.handlers, shared, answer, answered] {
            answer->emplace(handlers.answer(std::move(*shared)));
            answered->notify();
        });
        co_await answered->wait();
        co_return std::move(**answer);
    }

    [[nodiscard]] Task<bool> pass_on(PendingAnswer const& pending, AnswerFraming framing)
    {
        auto const arrival = std::make_shared<LoopEvent>(this->listener.loop.io_context());
        pending.set_on_part([arrival] { arrival->notify(); });
        auto progress = AnswerProgress::Unfinished;
        while (progress == AnswerProgress::Unfinished) {
            auto const part = pending.next();
            this->budgeted->set_state(
                part ? ConnectionState::Delivering : ConnectionState::Serving, Core::monotonic_now());
            if (part)
                progress = co_await this->writer.write_part(*part, framing);
            else
                co_await arrival->wait();
        }
        pending.set_on_part({});
        if (progress == AnswerProgress::Broken)
            pending.abandon();
        co_return progress == AnswerProgress::Finished&& framing.keeps_connection;
    }

    void give_way(Http::Eviction how)
    {
        this->receiver.evict();
        error_code ignored;
        if (how == Http::Eviction::CloseConnection)
            this->socket.close(ignored);
    }

    static constexpr unsigned http_1_1 = 11;

    HttpListener& listener;
    tcp::socket socket;
    std::unique_ptr<Http::BudgetedConnection> budgeted;
    Http::RequestReceiver receiver;
    AnswerWriter writer;
    bool is_idle { false };
    bool is_receiving_over { false };
};

HttpListener::HttpListener(EventLoop& loop, int threads, ListenerLimits const& limits, ListenerHandlers handlers)
    : loop(loop)
    , limits(limits)
    , handlers(std::move(handlers))
    , group(loop.budget().add_group(limits.max_connections))
    , acceptor(loop.io_context())
    , workers(static_cast<std::size_t>(threads))
{
}

std::unique_ptr<HttpListener> HttpListener::try_create(EventLoop& loop, Platform::HttpAddress const& address,
    int threads, ListenerLimits const& limits, ListenerHandlers handlers, Core::LastReason& last_reason)
{
    std::unique_ptr<HttpListener> listener(new HttpListener(loop, threads, limits, std::move(handlers)));
    if (!listener->open(address, last_reason)) {
        listener->is_stopped = true;
        return {};
    }
    asio::co_spawn(
        loop.io_context(), [self = listener.get()] { return self->accept(); }, asio::detached);
    return listener;
}

bool HttpListener::open(Platform::HttpAddress const& address, Core::LastReason& last_reason)
{
    error_code error;
    tcp::endpoint const place(asio::ip::make_address(address.host, error), static_cast<std::uint16_t>(address.port));
    if (!error)
        this->acceptor.open(place.protocol(), error);
    // NOTE: Without SO_REUSEPORT two boxes on one port fail loudly.
    if (!error)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(place, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        last_reason.text = "can't listen on " + address.to_string();
        return false;
    }
    this->bound_port = this->acceptor.local_endpoint().port();
    return true;
}

HttpListener::~HttpListener()
{
    this->stop();
    this->workers.shutdown();
}

Task<void> HttpListener::accept()
{
    while (this->acceptor.is_open()) {
        auto [error, socket] = co_await this->acceptor.async_accept(as_value);
        if (!error)
            this->handle_accepted(std::move(socket));
        else if (this->acceptor.is_open())
            // NOTE: Most likely out of file descriptors, which are freed as connections end.
            co_await Http::sleep_for(std::chrono::milliseconds(10));
    }
    this->is_accepting = false;
}

void HttpListener::handle_accepted(tcp::socket socket)
{
    auto opened = this->loop.budget().try_open(this->group, Core::monotonic_now());
    error_code ignored;
    if (!opened) {
        // NOTE: A reset tells the client at once that its request was not read.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        return;
    }
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
    auto const connection = std::make_shared<Connection>(*this, std::move(socket), std::move(opened));
    auto const place = this->connections.insert(this->connections.end(), connection);
    asio::co_spawn(
        this->loop.io_context(), [connection] { return connection->run(); },
        [this, place](std::exception_ptr const&) { this->connection_ended(place); });
}

void HttpListener::connection_ended(std::list<std::weak_ptr<Connection>>::iterator place)
{
    this->connections.erase(place);
}

Task<void> HttpListener::end_connections()
{
    constexpr auto check_interval = std::chrono::milliseconds(20);
    auto const begin = Core::monotonic_now();
    while (this->is_accepting || !this->connections.empty()) {
        auto const now = Core::monotonic_now();
        for (auto const& weak : this->connections) {
            auto const connection = weak.lock();
            if (connection)
                connection->close_if_idle();
            if (connection && now - begin >= max_receiving_after_stop)
                connection->stop_receiving();
        }
        if (now - begin >= max_slow_delivery_after_stop)
            while (this->loop.budget().close_slowest_reader(now)) { }
        co_await Http::sleep_for(check_interval);
    }
    std::scoped_lock const lock(this->mutex);
    this->has_ended = true;
    this->ended.notify_all();
}

void HttpListener::stop()
{
    if (std::exchange(this->is_stopped, true))
        return;
    asio::post(this->loop.io_context(), [this] {
        this->is_stopping = true;
        error_code ignored;
        this->acceptor.close(ignored);
        asio::co_spawn(this->loop.io_context(), this->end_connections(), asio::detached);
    });
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return this->has_ended; });
}

}
