#include <LibGateway/InternalHttpServer.h>

#include <array>

namespace Gateway {

namespace {

/// More than any head with a short body takes.
constexpr int receive_buffer_bytes = 16 * 1024;

/// A Beast body type that sends both parts of an answer without copying them.
struct TwoPartBody {
    using value_type = InternalHttpResponse;

    static std::uint64_t size(value_type const& answer)
    {
        return answer.body.size() + (answer.shared_suffix ? answer.shared_suffix->size() : 0);
    }

    // These names are required by Beast.
    class writer {
    public:
        using const_buffers_type = std::array<asio::const_buffer, 2>;

        template <bool is_request, typename Fields>
        writer(http::header<is_request, Fields> const& /*head*/, value_type const& answer)
            : parts { asio::buffer(answer.body),
                answer.shared_suffix ? asio::buffer(*answer.shared_suffix) : asio::const_buffer() }
        {
        }
        void init(error_code& error) { error = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(error_code& error)
        {
            error = {};
            return std::pair { this->parts, false };
        }

    private:
        const_buffers_type parts;
    };
};

/// Closes the connection after `duration` unless the timer is reset or cancelled first. Each call increments the
/// generation, so that a handler that is already queued, and can't be cancelled, is ignored.
void close_after(asio::steady_timer& timer, Core::Duration duration, std::shared_ptr<tcp::socket> socket,
    std::shared_ptr<std::uint64_t> generation)
{
    auto const armed_for = ++*generation;
    timer.expires_after(duration);
    timer.async_wait([socket = std::move(socket), generation = std::move(generation), armed_for](error_code cancelled) {
        error_code ignored;
        if (!cancelled && *generation == armed_for)
            socket->close(ignored);
    });
}

}

/// One connection of a peer.
struct InternalHttpServer::Session {
    Session(tcp::socket accepted, std::unique_ptr<Http::BudgetedConnection> opened)
        : socket(std::make_shared<tcp::socket>(std::move(accepted)))
        , budgeted(std::move(opened))
        , receiver(*this->socket, *this->budgeted)
        , timer(this->socket->get_executor())
    {
    }

    std::shared_ptr<tcp::socket> socket;
    std::unique_ptr<Http::BudgetedConnection> budgeted;
    Http::RequestReceiver receiver;
    asio::steady_timer timer;
    std::shared_ptr<std::uint64_t> timer_generation { std::make_shared<std::uint64_t>(0) };
};

InternalHttpServer::InternalHttpServer(
    tcp::acceptor acceptor, Handler handler, Http::ConnectionBudget& budget, Limits limits)
    : acceptor(std::move(acceptor))
    , handler(std::move(handler))
    , limits(limits)
    , budget(budget.shared_from_this())
    , connections(budget.add_group(limits.max_connections))
{
}

Task<void> InternalHttpServer::run()
{
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(as_value);
        if (error) {
            // NOTE: Most likely out of file descriptors, which are freed as connections end.
            co_await sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        auto opened = this->budget->try_open(this->connections, Core::monotonic_now());
        if (!opened)
            continue;
        auto const session = std::make_shared<Session>(std::move(accepted), std::move(opened));
        asio::co_spawn(this->acceptor.get_executor(), this->serve(session), asio::detached);
    }
}

void InternalHttpServer::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

Task<void> InternalHttpServer::serve(std::shared_ptr<Session> session) const
{
    error_code ignored;
    session->socket->set_option(tcp::no_delay(true), ignored);
    session->socket->set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    session->budgeted->set_on_evicted([weak = std::weak_ptr(session)](Http::Eviction) {
        auto const evicted = weak.lock();
        if (!evicted)
            return;
        evicted->receiver.evict();
        error_code ignored_too;
        evicted->socket->close(ignored_too);
    });
    auto const timeout = this->limits.idle_timeout;
    Http::RequestLimits const allowed { max_head_bytes, this->limits.max_body_bytes, timeout, timeout };
    bool is_open = true;
    while (is_open && co_await session->receiver.wait(timeout)) {
        if (co_await session->receiver.read(allowed) != Http::ReadEnd::Complete)
            break;
        is_open = co_await this->answer(*session);
        session->receiver.finish();
        // NOTE: No probe, scraper or box asks again before it has its answer. A peer that does would never be without a
        // request, and so never give way to others.
        is_open = is_open && !session->receiver.has_buffered_bytes();
    }
    session->timer.cancel();
    session->socket->close(ignored);
}

Task<bool> InternalHttpServer::answer(Session& session) const
{
    auto const request = session.receiver.take();
    auto const target = std::string_view(request.target().data(), request.target().size());
    auto answer = this->handler(target.substr(0, target.find('?')), request.body());
    // NOTE: The answer exists already, so it is counted even if there is no room for it.
    static_cast<void>(session.budgeted->try_resize(answer.body.size(), Core::monotonic_now()));
    http::response<TwoPartBody> response(static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(answer);
    response.prepare_payload();
    http::response_serializer<TwoPartBody> unsent(response);
    session.budgeted->set_state(Http::ConnectionState::Delivering, Core::monotonic_now());
    bool is_read = true;
    while (is_read && !unsent.is_done()) {
        close_after(session.timer, this->limits.idle_timeout, session.socket, session.timer_generation);
        auto const [write_error, written] = co_await http::async_write_some(*session.socket, unsent, as_value);
        session.budgeted->note_progress(written, Core::monotonic_now());
        is_read = !write_error;
    }
    ++*session.timer_generation;
    session.timer.cancel();
    co_return is_read&& request.keep_alive();
}

}
