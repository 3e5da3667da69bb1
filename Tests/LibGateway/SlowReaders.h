#pragma once

#include "LoopbackPair.h"
#include <LibGateway/RequestExchange.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>

/// A box in the test's process, with an endpoint and clients that read only while the test lets them.
namespace SlowReaders {

using namespace Gateway;
using Routing::RouteKind;

constexpr std::size_t memory_bytes = 120U * 1024 * 1024;
constexpr std::size_t limit_of_box = memory_bytes / 8;
/// So small that the kernel holds little of an answer, and the box must hold the rest.
constexpr int socket_buffer_bytes = 4096;
constexpr int usual_buffer_bytes = 256 * 1024;

inline std::string chunk_of(std::string const& body)
{
    return fmt::format("{:x}\r\n{}\r\n", body.size(), body);
}

inline std::string const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";
inline std::string const chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
inline std::string const last_chunk = "0\r\n\r\n";

/// Events of 1 KB with ids from 1, so that a lost or repeated one shows.
inline std::string events_of(std::size_t count, std::size_t first = 1)
{
    constexpr std::size_t data_bytes = 1000;
    std::string events;
    for (std::size_t index = first; index < first + count; ++index)
        events += "id: " + std::to_string(index) + "\ndata: " + std::string(data_bytes, 'x') + "\n\n";
    return events;
}

/// The body of a chunked answer without the framing. Nothing if it is not complete.
inline std::optional<std::string> whole_body_of(std::string const& received)
{
    constexpr int hexadecimal = 16;
    std::string body;
    auto at = received.find("\r\n\r\n") + 4;
    for (;;) {
        auto const line_end = received.find("\r\n", at);
        if (line_end == std::string::npos)
            return {};
        auto const size = std::stoul(received.substr(at, line_end - at), nullptr, hexadecimal);
        if (size == 0)
            return body;
        if (line_end + 2 + size + 2 > received.size())
            return {};
        body += received.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
}

/// An endpoint that sends what the test tells it to, as fast as the box reads.
struct SendingEndpoint {
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::size_t received { 0 };
        std::shared_ptr<std::string const> answer;
        std::size_t sent { 0 };
        bool is_broken { false };
        [[nodiscard]] bool has_sent_all() const { return this->answer && this->sent == this->answer->size(); }
    };

    explicit SendingEndpoint(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        this->acceptor.non_blocking(true);
    }
    void poll()
    {
        error_code error;
        tcp::socket accepted(this->acceptor.get_executor());
        this->acceptor.accept(accepted, error);
        if (!error) {
            accepted.non_blocking(true);
            accepted.set_option(asio::socket_base::send_buffer_size(usual_buffer_bytes));
            this->connections.push_back(std::make_unique<Connection>(std::move(accepted)));
        }
        for (auto const& connection : this->connections)
            this->poll(*connection);
    }
    void poll(Connection& connection) const
    {
        error_code error;
        if (this->reads) {
            std::array<char, 16384> piece {};
            connection.received += connection.socket.read_some(asio::buffer(piece), error);
        }
        if (!connection.answer || connection.is_broken)
            return;
        error.clear();
        while (!connection.has_sent_all() && !error)
            connection.sent += connection.socket.write_some(asio::buffer(*connection.answer) + connection.sent, error);
        connection.is_broken = error && error != asio::error::would_block;
    }

    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<Connection>> connections;
    bool reads { true };
};

/// A client of the box, which reads only while the test lets it.
struct Client {
    explicit Client(asio::io_context& context)
        : pair(context)
        , socket(std::make_shared<tcp::socket>(std::move(this->pair.near)))
    {
        this->socket->set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes));
        this->pair.far.non_blocking(true);
    }
    void poll()
    {
        std::array<char, 16384> piece {};
        error_code error;
        while (this->reads && !error)
            this->received.append(piece.data(), this->pair.far.read_some(asio::buffer(piece), error));
    }
    /// Reads from now on, with a buffer of usual size: with the small one a transfer takes minutes.
    void start_reading()
    {
        this->reads = true;
        this->socket->set_option(asio::socket_base::send_buffer_size(usual_buffer_bytes));
    }

    LoopbackPair pair;
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<RequestExchange> exchange;
    bool reads { false };
    std::string received;
    bool has_ended { false };
    bool keeps { false };
};

/// A box with one route, one endpoint and any number of clients.
struct Box {
    explicit Box(RouteKind kind, bool can_resume = false)
        : state(this->context, Routing::RouterSettings { "hall", {}, { 0.2, std::chrono::seconds(10), 100 }, {} }, 1)
        , endpoint(this->context)
    {
        this->state.answer_buffers->set_max_bytes(limit_of_box);
        Routing::Configuration configuration;
        configuration.version = 1;
        Routing::Route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.kind = kind;
        route.timeout = std::chrono::seconds(60);
        route.services = { { "desk", 1 } };
        route.max_attempts = 2;
        route.can_resume = can_resume;
        configuration.routes = { route };
        this->state.router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration)), Core::monotonic_now());
        this->state.router.put_endpoint(
            { "i", "desk", { "127.0.0.1", this->endpoint.acceptor.local_endpoint().port() }, "hall", 6, false },
            Core::monotonic_now());
    }

    /// Starts a request and waits until the endpoint has it. Returns the client and its connection at the endpoint.
    std::pair<Client&, SendingEndpoint::Connection&> start(std::string const& body = "", int deadline_ms = 30000)
    {
        auto& client = *this->clients.emplace_back(std::make_unique<Client>(this->context));
        Request request(http::verb::post, "/x", this->http_version);
        request.set(http::field::host, "h");
        request.set("X-Attempt-Id", "9c41");
        request.set("X-Deadline-Ms", std::to_string(deadline_ms));
        request.body() = body;
        request.prepare_payload();
        client.exchange
            = std::make_shared<RequestExchange>(this->state, std::move(request), ClientSide { client.socket, true });
        asio::co_spawn(
            this->context, [&client] { return client.exchange->run(); },
            [&client](std::exception_ptr const& failure, bool keeps) {
                REQUIRE_FALSE(failure);
                client.has_ended = true;
                client.keeps = keeps;
            });
        auto const before = this->endpoint.connections.size();
        REQUIRE(this->reach([&] {
            return this->endpoint.connections.size() > before
                && (!this->endpoint.reads || this->endpoint.connections.back()->received > 0);
        }));
        return { client, *this->endpoint.connections.back() };
    }
    bool reach(std::function<bool()> const& condition)
    {
        return run_until(this->context, [&] {
            this->poll();
            return condition();
        });
    }
    /// Runs until the endpoint can send no more, no client can read more, and the box has nothing ready to run.
    void run_until_idle()
    {
        // Longer than the kernel delays an acknowledgement, which makes room for the next bytes.
        constexpr int idle_rounds = 100;
        int rounds = 0;
        std::size_t transferred = 0;
        REQUIRE(run_until(this->context, [&] {
            auto const handlers = this->poll();
            auto const before = std::exchange(transferred, this->transferred_bytes());
            rounds = handlers == 0 && transferred == before ? rounds + 1 : 0;
            return rounds > idle_rounds;
        }));
    }
    [[nodiscard]] std::size_t held() const { return this->state.answer_buffers->held_bytes(); }
    [[nodiscard]] bool has_metric(std::string const& line) const
    {
        return this->state.metrics.to_text().find(line) != std::string::npos;
    }

    unsigned http_version { 11 };
    asio::io_context context;
    GatewayState state;
    SendingEndpoint endpoint;
    std::vector<std::unique_ptr<Client>> clients;
    std::size_t most_held { 0 };

private:
    /// Lets the endpoint and the clients transfer what they can, then the box do all that is ready: a bound on time
    /// may pass while the process is not scheduled. Returns how many handlers of the box ran.
    std::size_t poll()
    {
        this->endpoint.poll();
        for (auto const& client : this->clients)
            client->poll();
        this->context.restart();
        auto const handlers = this->context.poll();
        this->most_held = std::max(this->most_held, this->held());
        return handlers;
    }
    [[nodiscard]] std::size_t transferred_bytes() const
    {
        std::size_t bytes = 0;
        for (auto const& connection : this->endpoint.connections)
            bytes += connection->sent + connection->received;
        for (auto const& client : this->clients)
            bytes += client->received.size();
        return bytes;
    }
};

inline std::shared_ptr<std::string const> shared(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

/// Fits the limit of an answer, and no kernel buffer of the client's connection.
constexpr std::size_t fitting_events = 700;
/// More than all buffers between an endpoint and a client take.
constexpr std::size_t huge_events = 12000;

}
