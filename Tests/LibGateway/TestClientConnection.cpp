#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/ClientConnection.h>
#include <thread>

namespace {

using namespace Gateway;

constexpr Http::MemoryLimits ample_memory { 1024UL * 1024, 0, 0 };

std::shared_ptr<Http::BudgetedConnection> open_connection(GatewayState& state)
{
    state.clients.set_max_connections(1);
    return state.budget->try_open(state.clients, Core::monotonic_now());
}

/// A client connection of a box that knows no configuration yet, so that every request is refused at once.
struct Connection {
    Connection()
        : state(this->context, Routing::RouterSettings {}, 1)
        , sockets(this->context)
        , caller(std::make_shared<ClientConnection>(
              this->state, std::move(this->sockets.near), ClientConnection::Peer::Client, open_connection(this->state)))
    {
        this->state.budget->set_limits(ample_memory);
        asio::co_spawn(
            this->context, [caller = this->caller] { return caller->run(); }, asio::detached);
    }

    void send(std::string_view text) { asio::write(this->sockets.far, asio::buffer(text)); }

    /// Reads until the connection ends or the text has come.
    bool receives(std::string_view text)
    {
        return run_until(this->context, [&] {
            error_code error;
            if (this->sockets.far.available(error) > 0) {
                std::array<char, 4096> piece {};
                auto const size = this->sockets.far.read_some(asio::buffer(piece), error);
                this->received.append(piece.data(), size);
            }
            return this->received.find(text) != std::string::npos || error;
        }) && this->received.find(text) != std::string::npos;
    }

    /// Whether the box has closed the connection, or does so soon.
    bool ends()
    {
        return run_until(this->context, [this] { return this->caller.use_count() == 1; });
    }

    asio::io_context context;
    GatewayState state;
    LoopbackPair sockets;
    std::shared_ptr<ClientConnection> caller;
    std::string received;
};

constexpr auto idle = std::chrono::milliseconds(400);

/// A client's connection of a box with one route to one endpoint, which the test accepts by hand.
struct ServedConnection {
    ServedConnection()
        : state(this->context, Routing::RouterSettings {}, 1)
        , endpoint(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , at_endpoint(this->context)
        , sockets(this->context)
    {
        this->state.budget->set_limits(ample_memory);
        Routing::Configuration configuration;
        configuration.version = 1;
        configuration.limits.header_timeout = idle;
        configuration.limits.idle_timeout = idle;
        Routing::Route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.kind = Routing::RouteKind::Idempotent;
        route.timeout = std::chrono::seconds(60);
        route.services = { { "desk", 1 } };
        route.max_attempts = 1;
        configuration.routes = { route };
        this->state.router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration)), Core::monotonic_now());
        this->state.router.put_endpoint(
            { "i", "desk", { "127.0.0.1", this->endpoint.local_endpoint().port() }, "hall", 6, false },
            Core::monotonic_now());
        this->endpoint.non_blocking(true);
        this->caller = std::make_shared<ClientConnection>(
            this->state, std::move(this->sockets.near), ClientConnection::Peer::Client, open_connection(this->state));
        asio::co_spawn(
            this->context, [caller = this->caller] { return caller->run(); }, asio::detached);
    }

    void send(std::string_view text) { asio::write(this->sockets.far, asio::buffer(text)); }
    void run(Core::Duration duration)
    {
        auto const until = Core::monotonic_now() + duration;
        while (Core::monotonic_now() < until) {
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds(2));
        }
    }

    /// Whether the request has reached the endpoint.
    bool arrives()
    {
        return run_until(this->context, [this] {
            error_code error;
            if (!this->at_endpoint.is_open())
                this->endpoint.accept(this->at_endpoint, error);
            return this->at_endpoint.is_open() && this->at_endpoint.available(error) > 0;
        });
    }

    asio::io_context context;
    GatewayState state;
    tcp::acceptor endpoint;
    tcp::socket at_endpoint;
    LoopbackPair sockets;
    std::shared_ptr<ClientConnection> caller;
};

constexpr std::string_view head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\nContent-Length: 10\r\n\r\n";

}

TEST_CASE("a connection that has read a part of a request is not idle")
{
    Connection connection;
    connection.send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    REQUIRE(connection.receives("100 Continue"));
    connection.caller->close_if_idle();
    connection.send("body");
    CHECK(connection.receives("configuration-missing"));
}

TEST_CASE("a connection without a request is closed on demand")
{
    Connection connection;
    connection.context.run_for(std::chrono::milliseconds(1));
    connection.caller->close_if_idle();
    CHECK(run_until(connection.context, [&] { return connection.caller.use_count() == 1; }));
}

TEST_CASE("a box without a configuration refuses with a promise and a time to come back")
{
    Connection connection;
    connection.send("GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n\r\n");
    REQUIRE(connection.receives("configuration-missing"));
    CHECK(connection.received.starts_with("HTTP/1.1 503 "));
    CHECK(connection.received.find("Retry-After: 0.150") != std::string::npos);
    CHECK(connection.received.find("X-Attempt-Id: 7\r\n") != std::string::npos);
}

TEST_CASE("requests that can't be read get their own refusals")
{
    SUBCASE("not HTTP")
    {
        Connection connection;
        connection.send("nonsense\r\n\r\n");
        CHECK(connection.receives("HTTP/1.1 400 "));
    }
    SUBCASE("a head over the limit")
    {
        Connection connection;
        connection.send("GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
        CHECK(connection.receives("HTTP/1.1 431 "));
    }
    SUBCASE("a body over the limit")
    {
        Connection connection;
        connection.send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
        CHECK(connection.receives("HTTP/1.1 413 "));
    }
    SUBCASE("a length and chunks at once")
    {
        Connection connection;
        connection.send(
            "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CHECK(connection.receives("HTTP/1.1 400 "));
    }
    SUBCASE("no host")
    {
        Connection connection;
        connection.send("GET /a/ HTTP/1.1\r\n\r\n");
        CHECK(connection.receives("HTTP/1.1 400 "));
    }
}

// Guards against requests that keep running after their client has left: after a stall of the event loop the timeout
// handler runs after the body was read. It can't be cancelled, and must not cancel the wait for the client's close.
TEST_CASE("a client that leaves is noticed though the loop stood still past the limit on its body")
{
    bool stands_still = false;
    SUBCASE("without a stall") { }
    SUBCASE("with one")
    {
        stands_still = true;
    }
    ServedConnection connection;
    connection.send(head);
    connection.run(std::chrono::milliseconds(300));
    connection.send("0123456789");
    if (stands_still)
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    REQUIRE(connection.arrives());
    connection.run(std::chrono::milliseconds(50));
    connection.sockets.far.close();
    auto const left = Core::monotonic_now();
    bool is_cancelled = false;
    connection.at_endpoint.non_blocking(true);
    REQUIRE(run_until(connection.context, [&] {
        std::array<char, 4096> piece {};
        error_code error;
        connection.at_endpoint.read_some(asio::buffer(piece), error);
        is_cancelled = error && error != asio::error::would_block;
        return is_cancelled || Core::monotonic_now() - left > std::chrono::seconds(2);
    }));
    CHECK(is_cancelled);
}

// Guards against 408 for large requests over slow links: the idle timeout must count from the last received piece of
// the body, not from its head.
TEST_CASE("a body that keeps coming is taken though it takes longer than a connection may be idle")
{
    ServedConnection connection;
    connection.send(head);
    for (int piece = 0; piece < 10; ++piece) {
        connection.run(std::chrono::milliseconds(60));
        error_code ignored;
        asio::write(connection.sockets.far, asio::buffer("0", 1), ignored);
    }
    connection.run(std::chrono::milliseconds(100));
    error_code error;
    connection.endpoint.accept(connection.at_endpoint, error);
    CHECK(connection.at_endpoint.is_open());
}

// A body that stops arriving must still be refused with 408, one idle timeout after its last piece.
TEST_CASE("a body that stops coming is refused once it has paused as long as a connection may be idle")
{
    ServedConnection connection;
    connection.send(head);
    connection.run(idle / 2);
    connection.send("0");
    connection.run(idle / 2);
    connection.send("1");
    auto const last_piece = Core::monotonic_now();
    error_code error;
    REQUIRE(run_until(connection.context, [&] { return connection.sockets.far.available(error) > 0; }));
    CHECK(Core::monotonic_now() - last_piece >= idle);
    std::array<char, 4096> piece {};
    auto const size = connection.sockets.far.read_some(asio::buffer(piece), error);
    CHECK(std::string_view(piece.data(), size).starts_with("HTTP/1.1 408 "));
}

// Guards against memory that many clients fill with bodies that they never send to the end.
TEST_CASE("a body counts toward the box's memory while it arrives, and no longer once its client is gone")
{
    constexpr std::size_t length = 100000;
    ServedConnection connection;
    connection.send("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\nContent-Length: 100000\r\n\r\n12345");
    auto const empty = Http::ConnectionBudget::connection_bytes;
    REQUIRE(run_until(connection.context, [&] { return connection.state.budget->used_bytes() > empty + length; }));
    connection.sockets.far.close();
    CHECK(run_until(connection.context, [&] { return connection.caller.use_count() == 1; }));
    CHECK(connection.state.budget->used_bytes() == empty);
    connection.caller.reset();
    CHECK(connection.state.budget->used_bytes() == 0);
}

TEST_CASE("a request whose body doesn't fit into the memory is refused before the rest of the body has arrived")
{
    Connection connection;
    // Enough for the head, but not for what it announces.
    connection.state.budget->set_limits({ 64UL * 1024, 0, 0 });
    connection.send("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\nContent-Length: 100000\r\n\r\n");
    connection.send("12345");
    CHECK(connection.receives("memory-limit"));
    CHECK(connection.received.starts_with("HTTP/1.1 503 "));
    CHECK(run_until(connection.context, [&] { return connection.caller.use_count() == 1; }));
    CHECK(connection.state.budget->used_bytes() == Http::ConnectionBudget::connection_bytes);
}

// Guards against a box that reads on from an endpoint for a client that reads nothing.
TEST_CASE("a client that stops reading stops its endpoint, and gets the rest once it reads again")
{
    /// More than the kernel's buffers of both connections hold.
    constexpr std::size_t answer_bytes = 64 * 1024 * 1024;
    ServedConnection connection;
    connection.send("GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n\r\n");
    REQUIRE(connection.arrives());
    asio::write(connection.at_endpoint,
        asio::buffer(
            "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nContent-Length: " + std::to_string(answer_bytes) + "\r\n\r\n"));
    connection.at_endpoint.non_blocking(true);
    std::string const piece(64 * 1024, 'x');
    std::size_t sent = 0;
    auto last_taken = Core::monotonic_now();
    auto const send_more = [&] {
        error_code error;
        auto const rest = std::min(piece.size(), answer_bytes - sent);
        auto const taken = connection.at_endpoint.write_some(asio::buffer(piece.data(), rest), error);
        sent += taken;
        if (taken > 0)
            last_taken = Core::monotonic_now();
    };
    REQUIRE(run_until(connection.context, [&] {
        send_more();
        return Core::monotonic_now() - last_taken > idle;
    }));
    CHECK(sent < answer_bytes);
    connection.sockets.far.non_blocking(true);
    std::size_t received = 0;
    CHECK(run_until(connection.context, [&] {
        send_more();
        std::array<char, 64 * 1024> buffer {};
        error_code error;
        received += connection.sockets.far.read_some(asio::buffer(buffer), error);
        return received > answer_bytes;
    }));
}

// Guards against a request that runs without its body, and whose body is then run as a request of its own (RFC 9112,
// 6.3).
TEST_CASE("a request whose body has no known end is refused, and its connection ends")
{
    std::string const inner = "GET /inner HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\n\r\n";
    for (std::string const framing :
        { "HTTP/1.1\r\nTransfer-Encoding: gzip", "HTTP/1.1\r\nTransfer-Encoding: chunked, identity",
            "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked", "HTTP/1.0\r\nTransfer-Encoding: chunked",
            "HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked" }) {
        CAPTURE(framing);
        Connection connection;
        connection.send("POST /a/ " + framing + "\r\nHost: h\r\nX-Attempt-Id: 7\r\n\r\n" + inner);
        CHECK(connection.receives("malformed-request"));
        CHECK(connection.received.starts_with("HTTP/1.1 400 "));
        CHECK(connection.ends());
        CHECK(connection.received.find("HTTP/1.1", 1) == std::string::npos);
    }
}

// Guards against a client without a key that fills the box's memory: a chunk's head and the trailers count neither as
// head nor as body.
TEST_CASE("what a client sends beside its body without end is refused, and the connection ends")
{
    std::string const begin = "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const& endless : { std::pair { begin + "4;x=", std::string("f") },
             std::pair { begin + "2\r\nok\r\n0\r\n", std::string("X-Filler: f\r\n") },
             std::pair { std::string("POST /a/ HTTP/1.1\r\n"), std::string("X-Filler: f\r\n") } }) {
        CAPTURE(endless.first);
        Connection connection;
        connection.send(endless.first);
        constexpr std::size_t max_bytes = 200 * 1024;
        for (std::size_t sent = 0; sent < max_bytes; sent += 8 * 1024) {
            std::string piece;
            while (piece.size() < 8 * 1024)
                piece += endless.second;
            error_code error;
            asio::write(connection.sockets.far, asio::buffer(piece), error);
            connection.context.restart();
            connection.context.run_for(std::chrono::milliseconds(1));
            if (error)
                break;
        }
        CHECK(connection.receives("header-too-large"));
        CHECK(connection.received.starts_with("HTTP/1.1 431 "));
        CHECK(connection.ends());
    }
}
