#pragma once

#include <LibGateway/Asio.h>

#include <functional>

namespace Gateway {

struct ProbeAnswer {
    unsigned status { 200 };
    std::string body;

    bool operator==(ProbeAnswer const&) const = default;
};

/// Answers short questions about this box, such as whether it takes clients or what it knows from the store, on an
/// address of its own. One request a connection at a time; connections are kept.
class ProbeListener {
public:
    /// Gives the answer for a path and the body of the question.
    using Answerer = std::function<ProbeAnswer(std::string_view path, std::string const& body)>;

    ProbeListener(tcp::acceptor acceptor, Answerer answerer, std::size_t most_connections = default_connections)
        : acceptor(std::move(acceptor))
        , answerer(std::move(answerer))
        , most_connections(most_connections)
    {
    }

    /// Serves until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    [[nodiscard]] Task<void> serve(std::shared_ptr<tcp::socket> socket) const;

    /// Probes come every second; a connection that is silent for this long is of no use.
    static constexpr auto idle_timeout = std::chrono::seconds(10);
    /// Enough for a balancer, a scraper and a person.
    static constexpr std::size_t default_connections = 16;

    tcp::acceptor acceptor;
    Answerer answerer;
    std::size_t most_connections;
    std::shared_ptr<std::size_t> connections { std::make_shared<std::size_t>(0) };
};

}
