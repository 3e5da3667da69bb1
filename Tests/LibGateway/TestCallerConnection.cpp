#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/CallerConnection.h>

namespace {

using namespace Gateway;

/// A client connection of a box that knows no configuration yet, so that every request is refused at once.
struct Connection {
    Connection()
        : state(this->context, Routing::RouterSettings {}, 1)
        , sockets(this->context)
        , caller(std::make_shared<CallerConnection>(this->state, std::move(this->sockets.near)))
    {
        this->state.most_body_bytes = 1024 * 1024;
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

    asio::io_context context;
    GatewayState state;
    LoopbackPair sockets;
    std::shared_ptr<CallerConnection> caller;
    std::string received;
};

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
