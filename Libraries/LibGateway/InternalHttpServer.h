#pragma once

#include <LibGateway/Asio.h>
#include <LibHttp/RequestReceiver.h>

#include <functional>

namespace Gateway {

struct InternalHttpResponse {
    unsigned status { 200 };
    std::string body;
    /// Sent after `body`. Shared by all answers with this ending, so that a large one is in memory once. May be null.
    std::shared_ptr<std::string const> shared_suffix {};
};

/// HTTP server for requests about this box itself: readiness, metrics, and what it knows from the store. Serves one
/// request per connection at a time and keeps connections alive. If all connections are in use, one without a request
/// gives way to a new one.
class InternalHttpServer {
public:
    /// Returns the answer for a path, without its query, and a request body.
    using Handler = std::function<InternalHttpResponse(std::string_view path, std::string const& body)>;

    /// What a peer may do.
    struct Limits {
        std::size_t max_connections { 16 };
        /// How long a connection may be silent, and how long its peer may leave an answer unread. Readiness probes
        /// arrive every second, and other boxes time out long before this.
        Core::Duration idle_timeout { std::chrono::seconds(10) };
        /// Questions to a box have short bodies or none.
        std::size_t max_body_bytes { 4 * 1024 };
    };

    InternalHttpServer(tcp::acceptor acceptor, Handler handler, Http::ConnectionBudget& budget, Limits limits);
    /// With limits that are enough for a load balancer, a metrics scraper and a person.
    InternalHttpServer(tcp::acceptor acceptor, Handler handler, Http::ConnectionBudget& budget)
        : InternalHttpServer(std::move(acceptor), std::move(handler), budget, Limits {})
    {
    }

    /// Serves until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    struct Session;

    [[nodiscard]] Task<void> serve(std::shared_ptr<Session> session) const;
    [[nodiscard]] Task<bool> answer(Session& session) const;

    static constexpr std::uint32_t max_head_bytes = 8 * 1024;

    tcp::acceptor acceptor;
    Handler handler;
    Limits limits;
    std::shared_ptr<Http::ConnectionBudget> budget;
    Http::ConnectionGroup& connections;
};

}
