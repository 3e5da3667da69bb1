#include <TestMain.h>

#include "ScriptedServer.h"
#include <LibGateway/HttpConnection.h>
#include <LibGateway/InternalHttpServer.h>

/// Peers of the box's own connections - the store, the platform, other boxes - that send without end beside a body.
namespace {

using namespace Gateway;

/// Sends `repeated` until the connection is closed, or far more than the box may read.
Task<bool> send_until_closed(tcp::socket& socket, std::string begin, std::string repeated, bool& is_closed)
{
    constexpr std::size_t piece_bytes = 16 * 1024;
    constexpr std::size_t max_bytes = std::size_t { 64 } * 1024 * 1024;
    std::string piece;
    while (piece.size() < piece_bytes)
        piece += repeated;
    auto [error, written] = co_await asio::async_write(socket, asio::buffer(begin), as_value);
    for (std::size_t sent = 0; !error && sent < max_bytes; sent += piece.size())
        std::tie(error, written) = co_await asio::async_write(socket, asio::buffer(piece), as_value);
    is_closed = error.failed();
    co_return false;
}

std::string const field = "X-Filler: f\r\n";
std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";

}

// Guards against a store or a relay that fills the box's memory.
TEST_CASE("a call fails, and its connection is closed, when its answer goes on without end beside the body")
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string begin;
    std::string repeated = field;
    SUBCASE("in the head")
    {
        begin = head;
    }
    SUBCASE("in a chunk's extension")
    {
        begin = head + chunked + "4;x=";
        repeated = "f";
    }
    SUBCASE("in the trailers")
    {
        begin = head + chunked + "2\r\nok\r\n0\r\n";
    }
    asio::io_context context;
    bool is_closed = false;
    Scripted::ScriptedServer server(context,
        [&](tcp::socket& socket, std::string const&) { return send_until_closed(socket, begin, repeated, is_closed); });
    HttpConnection connection(context, { "127.0.0.1", server.port() });
    bool has_ended = false;
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
            Core::LastReason reason;
            CallTimeouts const timeouts { std::chrono::seconds(20), std::chrono::seconds(20) };
            auto const answer = co_await connection.get("/x", timeouts, reason);
            CHECK_FALSE(answer);
            CHECK_FALSE(reason.text.empty());
            has_ended = true;
        },
        asio::detached);
    REQUIRE(run_until(context, [&] { return has_ended; }));
    CHECK(connection.last_progress().received_bytes < 64 * 1024);
    CHECK(run_until(context, [&] { return is_closed; }));
}

// Guards against whoever reaches the port of readiness, metrics or other boxes and fills the box's memory.
TEST_CASE("a request to the box itself that goes on without end beside the body closes its connection")
{
    std::string const head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    std::string begin;
    std::string repeated = field;
    SUBCASE("in the head")
    {
        begin = head;
    }
    SUBCASE("in a chunk's extension")
    {
        begin = head + chunked + "4;x=";
        repeated = "f";
    }
    SUBCASE("in the trailers")
    {
        begin = head + chunked + "2\r\nok\r\n0\r\n";
    }
    asio::io_context context;
    int answered = 0;
    auto const budget = std::make_shared<Http::ConnectionBudget>(Http::MemoryLimits { 1 << 20, 0, 0 });
    InternalHttpServer server(
        tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        [&](std::string_view, std::string const&) {
            ++answered;
            return InternalHttpResponse {};
        },
        *budget);
    asio::co_spawn(context, server.run(), asio::detached);
    tcp::socket client(context);
    client.connect({ asio::ip::address_v4::loopback(), server.port() });
    bool is_closed = false;
    asio::co_spawn(
        context,
        [&]() -> Task<void> { static_cast<void>(co_await send_until_closed(client, begin, repeated, is_closed)); },
        asio::detached);
    CHECK(run_until(context, [&] { return is_closed; }));
    CHECK(answered == 0);
}
