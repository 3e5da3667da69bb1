#include <LibServer/HttpListener.h>

#include <netinet/in.h>
#include <sys/socket.h>

namespace Server {

std::unique_ptr<HttpListener> HttpListener::try_create(Platform::HttpAddress const& address,
    ListenerLimits const& limits, std::function<void(httplib::Server&)> const& add_handlers,
    Core::LastReason& last_reason)
{
    std::unique_ptr<HttpListener> listener(new HttpListener);
    auto& server = listener->server;
    server.new_task_queue
        = [threads = static_cast<std::size_t>(limits.threads)] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.set_read_timeout(limits.read_timeout);
    server.set_keep_alive_timeout(limits.keep_alive.count());
    server.set_keep_alive_max_count(limits.requests_per_connection);
    server.set_payload_max_length(limits.largest_body_bytes);
    // NOTE: Without SO_REUSEPORT, which is the library's default, two boxes on one port fail loudly.
    server.set_socket_options([self = listener.get()](socket_t socket) {
        int const yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        self->listening_socket = socket;
    });
    add_handlers(server);
    if (address.port == 0) {
        listener->bound_port = server.bind_to_any_port(address.host);
    } else if (server.bind_to_port(address.host, address.port)) {
        listener->bound_port = address.port;
    }
    if (listener->bound_port <= 0) {
        last_reason.text = "can't listen on " + address.to_string();
        return {};
    }
    // NOTE: The library asks for five waiting connections; where more come at once, some are reset.
    constexpr int waiting_connections = 1024;
    if (::listen(listener->listening_socket, waiting_connections) != 0) {
        last_reason.text = "can't listen on " + address.to_string();
        return {};
    }
    listener->thread = std::thread([&server] { server.listen_after_bind(); });
    // NOTE: A stop before the server runs would be lost. The socket listens already, so this is short.
    while (!server.is_running())
        std::this_thread::yield();
    return listener;
}

HttpListener::~HttpListener()
{
    this->stop();
}

void HttpListener::stop()
{
    if (!this->thread.joinable())
        return;
    // NOTE: The library's own stop() cuts every answer that is being streamed. Shutting the listening socket down makes
    // its accept loop end instead, after which it waits for the requests in flight.
    shutdown(this->listening_socket, SHUT_RDWR);
    this->thread.join();
}

}
