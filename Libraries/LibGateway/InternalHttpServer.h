#pragma once

#include <LibGateway/Asio.h>

#include <functional>

namespace Gateway {

struct InternalHttpResponse {
    unsigned status { 200 };
    std::string body;
    /// What follows the body, held once for all answers that end with it; nothing for most.
    std::shared_ptr<std::string const> shared_suffix {};
};

/// Answers short questions about this box, such as whether it takes clients or what it knows from the store, on an
/// address of its own. One request a connection at a time; connections are kept.
class InternalHttpServer {
public:
    /// Gives the answer for a path and the body of the question.
    using Handler = std::function<InternalHttpResponse(std::string_view path, std::string const& body)>;

    /// `patience` is how long a connection may be silent, and how long its peer may leave an answer unread.
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

    /// Probes come every second, so a silent connection is of no use. A peer that doesn't read holds what its answer
    /// holds and a place among the connections; a box that asks gives up long before.
    static constexpr Core::Duration default_idle_timeout { std::chrono::seconds(10) };
    /// Enough for a balancer, a scraper and a person.
    static constexpr std::size_t default_max_connections = 16;

    tcp::acceptor acceptor;
    Handler handler;
    std::size_t max_connections;
    Core::Duration idle_timeout;
    std::shared_ptr<std::size_t> connections { std::make_shared<std::size_t>(0) };
};

}
