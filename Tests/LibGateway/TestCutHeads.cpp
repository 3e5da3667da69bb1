#include <TestMain.h>

#include "ScriptedExchange.h"
#include "ScriptedServer.h"
#include <LibGateway/HttpConnection.h>

/// Guards against a client, or this box itself, that takes an answer for whole whose head the peer did not finish.
using namespace Gateway;

namespace {

enum class Ending {
    Close,
    Reset,
};

struct CutAnswer {
    /// What the peer sends before it ends the connection.
    std::string text;
    Ending ending { Ending::Close };
};

std::string const common = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";
std::array<std::string, 3> const heads { common + "Content-Length: 2\r\n\r\n",
    common + "Transfer-Encoding: chunked\r\n\r\n", common + "Connection: close\r\n\r\n" };

/// Every beginning of a head that is not the whole head, closed and reset.
std::vector<CutAnswer> cut_answers()
{
    std::vector<CutAnswer> answers;
    for (auto const& head : heads) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            answers.push_back({ head.substr(0, length), Ending::Close });
            answers.push_back({ head.substr(0, length), Ending::Reset });
        }
    }
    return answers;
}

void end(tcp::socket& socket, Ending ending)
{
    error_code ignored;
    if (ending == Ending::Reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool is_whole_success(std::string const& received)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    error_code error;
    parser.put(asio::buffer(received), error);
    // NOTE: A body that ends with its connection looks whole, so it is enough that the head is.
    bool const is_whole = parser.is_done() || (parser.is_header_done() && parser.need_eof());
    return !error && is_whole && parser.get().result() == http::status::ok;
}

/// One request whose endpoint cuts its answer on each connection.
struct CutExchange : Exchange {
    using Exchange::Exchange;

    /// The client's view of the answer.
    std::string run(CutAnswer const& cut)
    {
        this->start();
        static_cast<void>(this->reach([&] {
            for (auto& connection : this->endpoints.front()->connections) {
                if (!connection->socket.is_open() || connection->received.find("\r\n\r\n") == std::string::npos)
                    continue;
                error_code ignored;
                asio::write(connection->socket, asio::buffer(cut.text), ignored);
                end(connection->socket, cut.ending);
            }
            return this->has_ended;
        }));
        static_cast<void>(this->ends());
        return this->received;
    }

    /// A request before, whose connection to the endpoint stays open.
    void run_whole()
    {
        this->start();
        auto const where = this->wait_for_arrival();
        this->endpoints[where]->answer(whole_answer);
        REQUIRE(this->ends());
        for (auto& connection : this->endpoints[where]->connections)
            connection->received.clear();
        this->received.clear();
        this->has_ended = false;
    }
};

}

TEST_CASE("a client gets no success whose head the endpoint did not finish")
{
    auto kind = RouteKind::Idempotent;
    SUBCASE("on a route that may be repeated") { }
    SUBCASE("on a route that may not")
    {
        kind = RouteKind::NonIdempotent;
    }
    SUBCASE("on a route with streams")
    {
        kind = RouteKind::Streaming;
    }
    for (auto const& cut : cut_answers()) {
        CAPTURE(cut.text);
        CutExchange exchange(kind, 1);
        CHECK_FALSE(is_whole_success(exchange.run(cut)));
    }
}

TEST_CASE("a client gets no success whose head the endpoint did not finish on a connection that was used before")
{
    for (auto const& cut : cut_answers()) {
        CAPTURE(cut.text);
        CutExchange exchange(RouteKind::NonIdempotent, 1);
        exchange.run_whole();
        CHECK_FALSE(is_whole_success(exchange.run(cut)));
    }
}

TEST_CASE("a call of the box to store, platform or another box fails if the head of the answer is not finished")
{
    for (auto const& cut : cut_answers()) {
        CAPTURE(cut.text);
        asio::io_context context;
        Scripted::ScriptedServer server(context, [&](tcp::socket& socket, std::string const&) -> Task<bool> {
            co_await asio::async_write(socket, asio::buffer(cut.text), as_value);
            end(socket, cut.ending);
            co_return false;
        });
        HttpConnection connection(context, { "127.0.0.1", server.port() });
        bool has_ended = false;
        asio::co_spawn(
            context,
            [&]() -> Task<void> {
                Core::LastReason reason;
                CallTimeouts const timeouts { std::chrono::seconds(20), std::chrono::seconds(20) };
                CHECK_FALSE(co_await connection.get("/x", timeouts, reason));
                CHECK_FALSE(reason.text.empty());
                has_ended = true;
            },
            asio::detached);
        REQUIRE(run_until(context, [&] { return has_ended; }));
    }
}
