#pragma once

#include "LoopbackPair.h"
#include <LibGateway/RequestExchange.h>
#include <functional>
#include <set>

/// One request through a box before endpoints that a test scripts.
namespace Gateway {

/// An endpoint that a test scripts: it keeps what arrived on each connection, and the test writes the answers.
struct FakeEndpoint {
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::string received;
        bool is_closed { false };
    };

    explicit FakeEndpoint(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        this->acceptor.non_blocking(true);
    }

    /// Takes what has arrived.
    void poll()
    {
        error_code error;
        tcp::socket accepted(this->acceptor.get_executor());
        this->acceptor.accept(accepted, error);
        if (!error) {
            accepted.non_blocking(true);
            this->connections.push_back(std::make_unique<Connection>(std::move(accepted)));
        }
        for (auto& connection : this->connections) {
            std::array<char, 16384> piece {};
            auto const size = connection->socket.read_some(asio::buffer(piece), error);
            connection->received.append(piece.data(), size);
            connection->is_closed |= error && error != asio::error::would_block;
        }
    }
    /// How many whole heads have arrived.
    [[nodiscard]] int head_count() const
    {
        int count = 0;
        for (auto const& connection : this->connections) {
            for (auto at = connection->received.find("\r\n\r\n"); at != std::string::npos;
                 at = connection->received.find("\r\n\r\n", at + 1))
                ++count;
        }
        return count;
    }
    void answer(std::string const& text, std::size_t connection = 0)
    {
        asio::write(this->connections.at(connection)->socket, asio::buffer(text));
    }
    void close(std::size_t connection = 0) { this->connections.at(connection)->socket.close(); }

    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<Connection>> connections;
};

/// One request through a box with a few scripted endpoints.
struct Exchange {
    explicit Exchange(Routing::RouteKind kind, unsigned attempts = 2, int endpoint_count = 1, bool can_resume = false,
        Core::Duration goal = Core::Duration { 0 })
        : state(this->context, Routing::RouterSettings { "hall", {}, { 0.2, std::chrono::seconds(10), 100 }, {} }, 1)
        , client(this->context)
        , socket(std::make_shared<tcp::socket>(std::move(this->client.near)))
    {
        Routing::Configuration configuration;
        configuration.version = 1;
        Routing::Route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.kind = kind;
        route.timeout = std::chrono::seconds(60);
        route.goal = goal;
        route.services = { { "desk", 1 } };
        route.max_attempts = attempts;
        route.can_resume = can_resume;
        configuration.routes = { route };
        this->state.router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration)), Core::monotonic_now());
        for (int index = 0; index < endpoint_count; ++index) {
            this->endpoints.push_back(std::make_unique<FakeEndpoint>(this->context));
            this->state.router.put_endpoint(
                { "i-" + std::to_string(index), "desk",
                    { "127.0.0.1", this->endpoints.back()->acceptor.local_endpoint().port() }, "hall", 6, false },
                Core::monotonic_now());
        }
        this->state.router.confirm_endpoints(Core::monotonic_now());
        this->client.far.non_blocking(true);
    }

    /// From now on requests need a key, which start() sends, and the configuration is held on a lease with these
    /// bounds.
    void use_accounts(Routing::RouterSettings settings)
    {
        auto changed = this->state.router.configuration()->configuration();
        ++changed.version;
        changed.accounts = { Routing::ClientAccount { "account", { "key" }, {} } };
        this->state.router.set_settings(std::move(settings));
        this->state.router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(std::move(changed)), Core::monotonic_now());
    }

    void start(std::string body = "")
    {
        Request request(http::verb::post, "/x", this->http_version);
        request.set(http::field::host, "h");
        request.set("X-Attempt-Id", "9c41");
        request.set("X-Key", "key");
        request.set("X-Deadline-Ms", "30000");
        if (!this->last_event_id.empty())
            request.set("Last-Event-Id", this->last_event_id);
        request.body() = std::move(body);
        request.prepare_payload();
        this->exchange
            = std::make_shared<RequestExchange>(this->state, std::move(request), ClientSide { this->socket, true });
        asio::co_spawn(
            this->context, [this] { return this->exchange->run(); },
            [this](std::exception_ptr const& failure, bool keeps) {
                REQUIRE_FALSE(failure);
                this->has_ended = true;
                this->keeps_client = keeps;
            });
    }

    /// Runs until the condition holds.
    bool reach(std::function<bool()> const& condition)
    {
        return run_until(this->context, [&] {
            for (auto& endpoint : this->endpoints)
                endpoint->poll();
            std::array<char, 16384> piece {};
            error_code error;
            auto const size = this->client.far.read_some(asio::buffer(piece), error);
            this->received.append(piece.data(), size);
            return condition();
        });
    }
    bool ends()
    {
        return this->reach([this] { return this->has_ended; }) && this->reach_silence();
    }
    /// The index of the endpoint that got the request.
    std::size_t wait_for_arrival()
    {
        std::size_t where = 0;
        REQUIRE(this->reach([&] {
            for (where = 0; where < this->endpoints.size(); ++where) {
                if (this->endpoints[where]->head_count() > 0 && !this->answered.contains(where))
                    return true;
            }
            return false;
        }));
        this->answered.insert(where);
        return where;
    }
    [[nodiscard]] int arrival_count() const
    {
        int count = 0;
        for (auto const& endpoint : this->endpoints)
            count += endpoint->head_count();
        return count;
    }

    /// Of the client; 10 or 11.
    unsigned http_version { 11 };
    /// The last event that the client has of a stream which it takes up; empty if it takes none up.
    std::string last_event_id;
    asio::io_context context;
    GatewayState state;
    LoopbackPair client;
    std::shared_ptr<tcp::socket> socket;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::set<std::size_t> answered;
    std::shared_ptr<RequestExchange> exchange;
    std::string received;
    bool has_ended { false };
    bool keeps_client { false };

private:
    /// Takes what the client has been sent by now.
    bool reach_silence()
    {
        int rounds = 0;
        return this->reach([&] { return ++rounds > 3; });
    }
};

inline std::string const whole_answer
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
inline std::string const stream_head
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

using Routing::RouteKind;

}
