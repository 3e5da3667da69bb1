#pragma once

#include <LibGateway/Asio.h>

#include <functional>

namespace Gateway {

struct InternalHttpResponse {
    unsigned status { 200 };
    std::string body;
    /// Sent after `body`. Shared by all answers with this ending, so that a large one is in memory once. May be null.
    std::shared_ptr<std::string const> shared_suffix {};
};

/// HTTP server for requests about this box itself: readiness, metrics, and what it knows from the store. Serves one
/// request per connection at a time and keeps connections alive.
class InternalHttpServer {
public:
    /// Returns the answer for a path, without its query, and a request body.
    using Handler = std::function<InternalHttpResponse(std::string_view path, std::string const& body)>;

    /// `idle_timeout` limits how long a connection may be silent and how long its peer may leave an answer unread.
    InternalHttpServer(tcp::acceptor acceptor, Handler handler, std::size_t max_connections = default_max_connections,
        Core::Duration idle_timeout = default_idle_timeout)
        : acceptor(std::move(acceptor))
        , handler(std::move(handler))
        , max_connections(max_connections)
        , idle_timeout(idle_timeout)
    {
    }

    /// Serves until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    [[nodiscard]] Task<void> serve(std::shared_ptr<tcp::socket> socket) const;

    /// Readiness probes arrive every second, and other boxes time out long before this limit. A peer that doesn't read
    /// its answer occupies memory and a connection.
    static constexpr Core::Duration default_idle_timeout { std::chrono::seconds(10) };
    static constexpr std::uint32_t max_head_bytes = 8 * 1024;
    /// Enough for a load balancer, a metrics scraper and a person.
    static constexpr std::size_t default_max_connections = 16;

    tcp::acceptor acceptor;
    Handler handler;
    std::size_t max_connections;
    Core::Duration idle_timeout;
    std::shared_ptr<std::size_t> connections { std::make_shared<std::size_t>(0) };
};

}
