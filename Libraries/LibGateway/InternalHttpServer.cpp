#include <LibGateway/InternalHttpServer.h>

#include <LibHttp/MessageFraming.h>

#include <array>

namespace Gateway {

namespace {

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

Task<void> InternalHttpServer::run()
{
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(as_value);
        if (error) {
            // NOTE: Most likely out of file descriptors, which are freed as connections end.
            co_await sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        if (*this->connections >= this->max_connections)
            continue;
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

void InternalHttpServer::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

Task<void> InternalHttpServer::serve(std::shared_ptr<tcp::socket> socket) const
{
    auto const counted = this->connections;
    ++*counted;
    auto const answer_question = this->handler;
    auto const timeout = this->idle_timeout;
    error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    flat_buffer buffer(max_head_bytes + buffered_beyond_head);
    asio::steady_timer timer(socket->get_executor());
    auto const generation = std::make_shared<std::uint64_t>(0);
    bool is_open = true;
    while (is_open) {
        close_after(timer, timeout, socket, generation);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_head_bytes);
        auto const [read_error, read] = co_await http::async_read(*socket, buffer, parser, as_value);
        auto const& request = parser.get();
        if (read_error || framing_fault(request, request.version(), parser.chunked()))
            break;
        auto const target = std::string_view(request.target().data(), request.target().size());
        auto answer = answer_question(target.substr(0, target.find('?')), request.body());
        http::response<TwoPartBody> response(static_cast<http::status>(answer.status), request.version());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer);
        response.prepare_payload();
        http::response_serializer<TwoPartBody> unsent(response);
        bool is_read = true;
        while (is_read && !unsent.is_done()) {
            close_after(timer, timeout, socket, generation);
            auto const [write_error, written] = co_await http::async_write_some(*socket, unsent, as_value);
            is_read = !write_error;
        }
        is_open = is_read && request.keep_alive();
    }
    timer.cancel();
    --*counted;
}

}
