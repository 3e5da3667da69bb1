#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/RequestExchange.h>
#include <functional>
#include <set>
#include <thread>

namespace {

using namespace Gateway;

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
    [[nodiscard]] int heads() const
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
            this->state.router.put_endpoint({ "i-" + std::to_string(index), "desk",
                { "127.0.0.1", this->endpoints.back()->acceptor.local_endpoint().port() }, "hall", 6, false });
        }
        this->client.far.non_blocking(true);
    }

    void start(std::string body = "")
    {
        Request request(http::verb::post, "/x", 11);
        request.set(http::field::host, "h");
        request.set("X-Attempt-Id", "9c41");
        request.set("X-Deadline-Ms", "30000");
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
    std::size_t arrival()
    {
        std::size_t where = 0;
        REQUIRE(this->reach([&] {
            for (where = 0; where < this->endpoints.size(); ++where) {
                if (this->endpoints[where]->heads() > 0 && !this->answered.contains(where))
                    return true;
            }
            return false;
        }));
        this->answered.insert(where);
        return where;
    }
    [[nodiscard]] int arrivals() const
    {
        int count = 0;
        for (auto const& endpoint : this->endpoints)
            count += endpoint->heads();
        return count;
    }

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

std::string const whole_answer
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
std::string const stream_head
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

using Routing::RouteKind;

}

TEST_CASE("a whole answer is passed on unchanged and both connections are kept")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start("body");
    request.endpoints[request.arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received
        == "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
    CHECK(request.keeps_client);
    CHECK_FALSE(request.endpoints[0]->connections[0]->is_closed);
}

TEST_CASE("events of a stream are passed on as they come, and the end only when it came")
{
    Exchange request(RouteKind::Streaming, 1);
    request.start();
    auto& endpoint = *request.endpoints[request.arrival()];
    endpoint.answer(stream_head + "6\r\nid: 1\n\r\n");
    REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
    CHECK_FALSE(request.has_ended);
    endpoint.answer("6\r\nid: 2\n\r\n0\r\n\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("6\r\nid: 1\n\r\n6\r\nid: 2\n\r\n0\r\n\r\n"));
    CHECK(request.keeps_client);
}

TEST_CASE("a stream that breaks does not look whole")
{
    Exchange request(RouteKind::Streaming, 1);
    request.start();
    auto& endpoint = *request.endpoints[request.arrival()];
    endpoint.answer(stream_head + "6\r\nid: 1\n\r\n6\r\nid:");
    REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
    endpoint.close();
    REQUIRE(request.ends());
    CHECK_FALSE(request.received.ends_with("0\r\n\r\n"));
    CHECK_FALSE(request.keeps_client);
}

TEST_CASE("an answer that ends with its connection becomes a chunked one")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start();
    auto& endpoint = *request.endpoints[request.arrival()];
    endpoint.answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\n\r\nwhole");
    endpoint.close();
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("5\r\nwhole\r\n0\r\n\r\n"));
}

TEST_CASE("a request that may have run is not sent again unless it is repeatable")
{
    SUBCASE("not repeatable")
    {
        Exchange request(RouteKind::NonIdempotent, 2, 2);
        request.start("body");
        request.endpoints[request.arrival()]->close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.arrivals() == 1);
    }
    SUBCASE("a stream that can't be resumed")
    {
        Exchange request(RouteKind::Streaming, 2, 2);
        request.start("body");
        request.endpoints[request.arrival()]->close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.arrivals() == 1);
    }
    SUBCASE("repeatable")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        request.start("body");
        request.endpoints[request.arrival()]->close();
        request.endpoints[request.arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrivals() == 2);
    }
}

TEST_CASE("an endpoint's refusal is retried elsewhere, and told as not run when there is nowhere else")
{
    std::string const refusal
        = "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    Exchange request(RouteKind::NonIdempotent, 2, 2);
    request.start("body");
    request.endpoints[request.arrival()]->answer(refusal);
    auto const second = request.arrival();
    SUBCASE("taken by the second")
    {
        request.endpoints[second]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
    }
    SUBCASE("refused by both")
    {
        request.endpoints[second]->answer(refusal);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 503 "));
        CHECK(request.received.find("Retry-After: ") != std::string::npos);
        CHECK(request.arrivals() == 2);
    }
}

TEST_CASE("a repeatable request's failure is retried once, and the second failure is passed on as it is")
{
    std::string const failure
        = "HTTP/1.1 500 Oops\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start();
    request.endpoints[request.arrival()]->answer(failure);
    request.endpoints[request.arrival()]->answer(failure);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 500 Oops\r\n"));
    CHECK(request.received.find("X-Response-Stamp: s\r\n") != std::string::npos);
    CHECK(request.received.ends_with("\r\n\r\nbad"));
}

TEST_CASE("an answer to another request is skipped, and the own one behind it is passed on")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start();
    request.endpoints[request.arrival()]->answer(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother" + whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("\r\n\r\nok"));
    CHECK(request.received.find("other") == std::string::npos);
}

TEST_CASE("bytes behind a whole answer end the connection to the endpoint")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start();
    auto& endpoint = *request.endpoints[request.arrival()];
    endpoint.answer(whole_answer + "HTTP/1.1 200 OK\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("\r\n\r\nok"));
    CHECK(request.reach([&] { return endpoint.connections[0]->is_closed; }));
}

TEST_CASE("an answer that comes before the body was read is passed on, and the connection is not used again")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start(std::string(8 * 1024 * 1024, 'x'));
    request.arrival();
    // NOTE: The fake reads on while the test polls, so the early answer races with the rest; either is served.
    request.endpoints[0]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("\r\n\r\nok"));
}

TEST_CASE("when the client leaves, work that can be cancelled is, and work that may not be repeated is finished")
{
    SUBCASE("a stream is cancelled")
    {
        Exchange request(RouteKind::Streaming, 1);
        request.start();
        auto& endpoint = *request.endpoints[request.arrival()];
        request.exchange->client_left();
        CHECK(request.reach([&] { return endpoint.connections[0]->is_closed; }));
        CHECK(request.ends());
    }
    SUBCASE("a sighting is saved")
    {
        Exchange request(RouteKind::NonIdempotent);
        request.start();
        auto& endpoint = *request.endpoints[request.arrival()];
        request.exchange->client_left();
        endpoint.answer(whole_answer);
        REQUIRE(request.ends());
        CHECK_FALSE(endpoint.connections[0]->is_closed);
        CHECK(request.received.empty());
    }
}

TEST_CASE("a repeatable call to an endpoint that stays silent is tried elsewhere, any other waits")
{
    SUBCASE("repeatable")
    {
        Exchange request(RouteKind::Idempotent, 2, 2, false, std::chrono::milliseconds(20));
        request.start();
        auto const silent = request.arrival();
        request.endpoints[request.arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.reach([&] { return request.endpoints[silent]->connections[0]->is_closed; }));
    }
    SUBCASE("not repeatable")
    {
        Exchange request(RouteKind::NonIdempotent, 2, 2, false, std::chrono::milliseconds(1));
        request.start();
        auto const slow = request.arrival();
        request.context.run_for(std::chrono::milliseconds(30));
        request.endpoints[slow]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrivals() == 1);
    }
}

// What users saw: beside a change of the configuration, a client got the head and the first bytes of a 200, and then
// the end of its connection. Order of events: a box of 0.12 of a core decoded a configuration of 541 KB, and its event
// loop stood still for 124 ms; an answer came meanwhile, and the limit on its endpoint's silence (180 ms) passed.
// Cause: the answer's head was read first and the timer was cancelled, but its handler was queued already and closed
// the connection to the endpoint. Evidence: the server's run had ended 0.2 s before the client's connection was closed,
// and the calls that it happened to were all repeatable ones, which alone have that limit.
TEST_CASE("an answer that came while the event loop stood still past the limit on silence is passed on whole")
{
    constexpr auto goal = std::chrono::milliseconds(20);
    Exchange request(RouteKind::Idempotent, 2, 2, false, goal);
    request.start();
    auto& endpoint = *request.endpoints[request.arrival()];
    endpoint.answer(stream_head + "2\r\nok\r\n");
    std::this_thread::sleep_for(3 * goal);
    REQUIRE(request.reach([&] { return request.received.ends_with("2\r\nok\r\n"); }));
    int rounds = 0;
    REQUIRE(request.reach([&] { return ++rounds > 3; }));
    endpoint.answer("0\r\n\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("2\r\nok\r\n0\r\n\r\n"));
    CHECK(request.arrivals() == 1);
}

TEST_CASE("a refusal after an attempt that may have run does not say that the request has not run")
{
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start();
    request.endpoints[request.arrival()]->close();
    request.endpoints[request.arrival()]->answer(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a stream that can be resumed goes on at another endpoint behind the last whole event")
{
    Exchange request(RouteKind::Streaming, 2, 2, true);
    request.start();
    auto const first = request.arrival();
    // The second event is cut in its middle; the client must not see a part of it.
    request.endpoints[first]->answer(stream_head + "7\r\nid: 1\n\n\r\n5\r\nid: 2\r\n");
    REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
    request.endpoints[first]->close();
    auto const second = request.arrival();
    CHECK(request.endpoints[second]->connections[0]->received.find("Last-Event-ID: 1\r\n") == std::string::npos);
    CHECK(request.endpoints[second]->connections[0]->received.find("Last-Event-Id: 1\r\n") != std::string::npos);
    SUBCASE("to its end")
    {
        request.endpoints[second]->answer(stream_head + "7\r\nid: 2\n\n\r\n0\r\n\r\n");
        REQUIRE(request.ends());
        // One head, each event once, and the last chunk.
        CHECK(request.received == stream_head + "7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n");
        CHECK(request.keeps_client);
    }
    SUBCASE("until the second breaks too")
    {
        request.endpoints[second]->close();
        REQUIRE(request.ends());
        CHECK_FALSE(request.received.ends_with("0\r\n\r\n"));
        CHECK_FALSE(request.keeps_client);
    }
    SUBCASE("unless the second refuses")
    {
        request.endpoints[second]->answer(
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(request.ends());
        CHECK(request.received == stream_head + "7\r\nid: 1\n\n\r\n");
        CHECK_FALSE(request.keeps_client);
    }
}

TEST_CASE("a stream that can't be resumed is not taken up elsewhere, whatever broke it and when")
{
    Exchange request(RouteKind::Streaming, 3, 3);
    request.start();
    auto const first = request.arrival();
    bool is_begun = false;
    SUBCASE("before its head") { }
    SUBCASE("inside its first event")
    {
        request.endpoints[first]->answer(stream_head + "5\r\nid: 1\r\n");
        REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
        is_begun = true;
    }
    SUBCASE("behind an event")
    {
        request.endpoints[first]->answer(stream_head + "7\r\nid: 1\n\n\r\n");
        REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
        is_begun = true;
    }
    request.endpoints[first]->close();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with(is_begun ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
    CHECK_FALSE(request.received.ends_with("0\r\n\r\n"));
    CHECK(request.arrivals() == 1);
}

TEST_CASE("an endpoint that can't be reached costs no attempt")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    request.endpoints[0]->acceptor.close();
    request.endpoints[1]->acceptor.close();
    request.start();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 503 "));
    CHECK(request.received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("an endpoint that leaves while this box connects to it gets no request")
{
    for (int const leaving : { 0, 1 }) {
        CAPTURE(leaving);
        Exchange request(RouteKind::NonIdempotent, 1, 2);
        request.start();
        // Runs up to the connect.
        request.context.poll_one();
        request.state.router.remove_endpoint("i-" + std::to_string(leaving), Core::monotonic_now());
        auto const where = request.arrival();
        CHECK(where != static_cast<std::size_t>(leaving));
        request.endpoints[where]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrivals() == 1);
    }
}

TEST_CASE("a request that a stopping box can't finish for certain is sent elsewhere, any other is served")
{
    Exchange request(RouteKind::NonIdempotent);
    // The client waits 30 s.
    request.state.ends_at = Core::monotonic_now() + std::chrono::seconds(10);
    request.start();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 503 "));
    CHECK(request.received.find("Retry-After: ") != std::string::npos);
    CHECK(request.received.find("draining") != std::string::npos);
    CHECK(request.arrivals() == 0);
    CHECK_FALSE(request.keeps_client);

    Exchange in_time(RouteKind::NonIdempotent);
    in_time.state.ends_at = Core::monotonic_now() + std::chrono::seconds(40);
    in_time.start();
    auto const where = in_time.arrival();
    in_time.endpoints[where]->answer(whole_answer);
    REQUIRE(in_time.ends());
    CHECK(in_time.received.starts_with("HTTP/1.1 200 "));
}
