#include <LibGateway/ProbeListener.h>

namespace Gateway {

Task<void> ProbeListener::run()
{
    while (this->acceptor.is_open()) {
        auto [error, accepted] = co_await this->acceptor.async_accept(as_value);
        if (error) {
            // NOTE: Out of descriptors, most likely; they come back as connections end.
            co_await sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        if (*this->connections >= this->most_connections)
            continue;
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

void ProbeListener::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

Task<void> ProbeListener::serve(std::shared_ptr<tcp::socket> socket) const
{
    auto const counted = this->connections;
    ++*counted;
    auto const answer_question = this->answerer;
    error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
        asio::steady_timer timer(socket->get_executor(), idle_timeout);
        timer.async_wait([socket](error_code cancelled) {
            error_code ignored;
            if (!cancelled)
                socket->close(ignored);
        });
        http::request<http::string_body> request;
        auto const [read_error, read] = co_await http::async_read(*socket, buffer, request, as_value);
        timer.cancel();
        if (read_error)
            break;
        auto const target = std::string_view(request.target().data(), request.target().size());
        auto const answer = answer_question(target.substr(0, target.find('?')), request.body());
        http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.keep_alive(request.keep_alive());
        response.body() = answer.body;
        response.prepare_payload();
        auto const [write_error, written] = co_await http::async_write(*socket, response, as_value);
        is_open = !write_error && request.keep_alive();
    }
    --*counted;
}

}
