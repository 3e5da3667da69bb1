// Guards against clients that do not read, and endpoints that do not: answers that are lost although they were
// produced, memory without bounds, delays of other requests, and answers that look complete although a part was
// dropped.

#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/RequestExchange.h>

#include <algorithm>
#include <fmt/format.h>
#include <functional>

using namespace Gateway;
using Routing::RouteKind;

namespace {

constexpr std::size_t memory_bytes = 120U * 1024 * 1024;
constexpr std::size_t limit_of_box = memory_bytes / 8;
/// So small that the kernel holds little of an answer, and the box must hold the rest.
constexpr int socket_buffer_bytes = 4096;
constexpr int usual_buffer_bytes = 256 * 1024;

std::string chunk_of(std::string const& body)
{
    return fmt::format("{:x}\r\n{}\r\n", body.size(), body);
}

std::string const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";
std::string const chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
std::string const last_chunk = "0\r\n\r\n";

/// Events of 1 KB with ids from 1, so that a lost or repeated one shows.
std::string events_of(std::size_t count, std::size_t first = 1)
{
    constexpr std::size_t data_bytes = 1000;
    std::string events;
    for (std::size_t index = first; index < first + count; ++index)
        events += "id: " + std::to_string(index) + "\ndata: " + std::string(data_bytes, 'x') + "\n\n";
    return events;
}

/// The body of a chunked answer without the framing. Nothing if it is not complete.
std::optional<std::string> whole_body_of(std::string const& received)
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

std::shared_ptr<std::string const> shared(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

/// Fits the limit of an answer, and no kernel buffer of the client's connection.
constexpr std::size_t fitting_events = 700;
/// More than all buffers between an endpoint and a client take.
constexpr std::size_t huge_events = 12000;

}

TEST_CASE("an answer that fits is read to its end and delivered to a client that reads late")
{
    auto const body = events_of(fitting_events);
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    bool has_length = false;
    SUBCASE("of a given length")
    {
        has_length = true;
    }
    SUBCASE("in chunks")
    {
        has_length = false;
    }
    connection.answer = shared(has_length ? head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body
                                          : chunked_head + chunk_of(body) + last_chunk);
    box.run_until_idle();
    CHECK(connection.has_sent_all());
    CHECK(box.held() > 0);
    CHECK_FALSE(client.has_ended);
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    REQUIRE(box.reach([&client = client, &body] { return client.received.size() > body.size(); }));
    box.run_until_idle();
    if (has_length)
        CHECK(client.received.ends_with("\r\n\r\n" + body));
    else
        CHECK(whole_body_of(client.received) == body);
    CHECK(client.keeps);
    CHECK(box.reach([&box] { return box.held() == 0; }));
}

TEST_CASE("the endpoint's part of a request ends when its answer is read, not when the client has taken it")
{
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(events_of(fitting_events)) + last_chunk);
    box.run_until_idle();
    CHECK_FALSE(client.has_ended);
    CHECK(box.has_metric("cleatbeam_attempts_total{result=\"delivered\"} 1"));
}

TEST_CASE("events that arrive one by one while the client does not read reach it whole and in order")
{
    Box box(RouteKind::Streaming, true);
    auto [client, connection] = box.start();
    std::string answer = chunked_head;
    std::string expected;
    for (std::size_t index = 1; index <= fitting_events; ++index) {
        expected += events_of(1, index);
        answer += chunk_of(events_of(1, index));
    }
    connection.answer = shared(answer + last_chunk);
    box.run_until_idle();
    REQUIRE(connection.has_sent_all());
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.received.ends_with(last_chunk); }));
    CHECK(whole_body_of(client.received) == expected);
}

TEST_CASE("an answer beyond its limit stops being read, and goes on when the client reads")
{
    auto const body = events_of(huge_events);
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(body) + last_chunk);
    box.run_until_idle();
    CHECK_FALSE(connection.has_sent_all());
    CHECK(box.held() <= AnswerBuffer::max_answer_bytes);
    CHECK(box.held() > AnswerBuffer::max_answer_bytes * 3 / 4);
    CHECK(box.has_metric("cleatbeam_answers_at_limit_total{limit=\"answer\"} 1"));
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.received.ends_with(last_chunk); }));
    CHECK(whole_body_of(client.received) == body);
    // The client may have the last bytes before the box has seen its write end.
    CHECK(box.reach([&box] { return box.held() == 0; }));
}

TEST_CASE("500 clients that do not read stay within the memory for answers, and do not delay a fast reader")
{
    constexpr std::size_t slow_clients = 500;
    constexpr Core::Duration max_delay { std::chrono::milliseconds(100) };
    Box box(RouteKind::Idempotent);
    auto const answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    for (std::size_t index = 0; index < slow_clients; ++index) {
        auto [client, connection] = box.start();
        connection.answer = answer;
    }
    box.run_until_idle();
    MESSAGE("most held: ", box.most_held, " of ", limit_of_box);
    CHECK(box.most_held > limit_of_box / 2);
    // Each answer may hold one piece that was read before the client turned out to be slow.
    CHECK(box.most_held <= limit_of_box + slow_clients * (EndpointCall::piece_bytes + 32));
    CHECK(box.has_metric("cleatbeam_answers_at_limit_total{limit=\"box\"}"));

    auto [fast, connection] = box.start();
    fast.start_reading();
    connection.answer = shared(chunked_head);
    Core::Duration longest { 0 };
    for (std::size_t index = 1; index <= 100; ++index) {
        // So short that the box passes it on in one piece.
        auto const event = "id: " + std::to_string(index) + "\n\n";
        connection.answer = shared(*connection.answer + chunk_of(event));
        auto const sent_at = Core::monotonic_now();
        // Only the fast client and its endpoint are served by the test, so that it measures the box.
        REQUIRE(run_until(box.context, [&fast = fast, &connection = connection, &box, &event] {
            box.endpoint.poll(connection);
            fast.poll();
            return fast.received.ends_with(event + "\r\n");
        }));
        longest = std::max(longest, Core::monotonic_now() - sent_at);
    }
    MESSAGE("longest delay of the fast reader: ", Core::to_milliseconds(longest), " ms");
    CHECK(longest < max_delay);
}

TEST_CASE("when clients read again, answers that waited for the memory of the box are read on to their end")
{
    constexpr std::size_t slow_clients = 30;
    auto const body = events_of(2000);
    Box box(RouteKind::Idempotent);
    box.state.answer_buffers->set_max_bytes(AnswerBuffer::max_answer_bytes);
    for (std::size_t index = 0; index < slow_clients; ++index) {
        auto [client, connection] = box.start();
        connection.answer = shared(chunked_head + chunk_of(body) + last_chunk);
    }
    box.run_until_idle();
    for (auto const& client : box.clients)
        client->start_reading();
    REQUIRE(box.reach([&box] {
        return std::ranges::all_of(
            box.clients, [](auto const& client) { return client->received.ends_with(last_chunk); });
    }));
    for (auto const& client : box.clients)
        CHECK(whole_body_of(client->received) == body);
    CHECK(box.reach([&box] { return box.held() == 0; }));
}

TEST_CASE("a client that leaves frees what was held for it, and its request ends")
{
    std::size_t events = fitting_events;
    bool is_whole = false;
    bool closes = false;
    SUBCASE("while the answer is read") { }
    SUBCASE("while the answer is read, and closes the connection")
    {
        closes = true;
    }
    SUBCASE("after the answer was read")
    {
        is_whole = true;
    }
    SUBCASE("after the answer was read, and closes the connection")
    {
        is_whole = closes = true;
    }
    SUBCASE("while the answer is stopped at its limit")
    {
        events = huge_events;
    }
    SUBCASE("while the answer is stopped at its limit, and closes the connection")
    {
        events = huge_events;
        closes = true;
    }
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(events_of(events)) + (is_whole ? last_chunk : ""));
    box.run_until_idle();
    REQUIRE(box.held() > 0);
    CHECK(connection.has_sent_all() == (events == fitting_events));
    if (closes)
        client.pair.far.close();
    else
        client.exchange->client_left();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    CHECK_FALSE(client.keeps);
    CHECK(box.held() == 0);
    CHECK(box.has_metric(is_whole ? "result=\"delivered\"} 1" : "result=\"broken-after-delivery\"} 1"));
}

TEST_CASE("a request that may not be repeated is read to its end after its client left, and nothing is held for it")
{
    Box box(RouteKind::NonIdempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    box.run_until_idle();
    REQUIRE_FALSE(connection.has_sent_all());
    client.exchange->client_left();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    CHECK(connection.has_sent_all());
    CHECK_FALSE(client.keeps);
    CHECK(box.held() == 0);
}

TEST_CASE("what was held when the endpoint broke off is delivered, and the answer does not look complete")
{
    auto const body = events_of(fitting_events);
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(body) + "4\r\nab");
    box.run_until_idle();
    REQUIRE(connection.has_sent_all());
    connection.socket.close();
    REQUIRE(box.reach([&box] { return box.has_metric("result=\"broken-after-delivery\"} 1"); }));
    CHECK_FALSE(client.has_ended);
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    box.run_until_idle();
    CHECK_FALSE(client.keeps);
    CHECK_FALSE(whole_body_of(client.received));
    CHECK(client.received.size() > body.size());
    CHECK(box.held() == 0);
}

TEST_CASE("a stream that breaks while events are held goes on behind them from another connection")
{
    Box box(RouteKind::Streaming, true);
    box.state.router.put_endpoint(
        { "i-1", "desk", { "127.0.0.1", box.endpoint.acceptor.local_endpoint().port() }, "hall", 6, false },
        Core::monotonic_now());
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(events_of(300)) + chunk_of("id: 301\ndata: cut"));
    box.run_until_idle();
    REQUIRE(connection.has_sent_all());
    REQUIRE(box.held() > 0);
    auto const connections = box.endpoint.connections.size();
    connection.socket.close();
    REQUIRE(box.reach([&] {
        return box.endpoint.connections.size() > connections && box.endpoint.connections.back()->received > 0;
    }));
    box.endpoint.connections.back()->answer = shared(chunked_head + chunk_of(events_of(300, 301)) + last_chunk);
    box.run_until_idle();
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    REQUIRE(box.reach([&client = client] { return client.received.ends_with(last_chunk); }));
    CHECK(whole_body_of(client.received) == events_of(600));
}

TEST_CASE("when the time of a request runs out before its answer was read whole, what is held is dropped")
{
    constexpr int deadline_ms = 400;
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start("", deadline_ms);
    SUBCASE("while it is read")
    {
        connection.answer = shared(chunked_head + chunk_of(events_of(200)));
    }
    SUBCASE("while it is stopped at its limit")
    {
        connection.answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    }
    SUBCASE("after its endpoint broke off")
    {
        connection.answer = shared(chunked_head + chunk_of(events_of(200)));
        box.run_until_idle();
        connection.socket.close();
    }
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    CHECK_FALSE(client.keeps);
    CHECK(box.held() == 0);
    client.start_reading();
    box.run_until_idle();
    CHECK_FALSE(whole_body_of(client.received));
}

TEST_CASE("an answer that was read whole is delivered although the time has run out, but not forever")
{
    constexpr int deadline_ms = 300;
    auto const body = events_of(fitting_events);
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start("", deadline_ms);
    connection.answer = shared(chunked_head + chunk_of(body) + last_chunk);
    auto const started = Core::monotonic_now();
    REQUIRE(box.reach([&] { return Core::monotonic_now() - started > std::chrono::milliseconds(2 * deadline_ms); }));
    CHECK_FALSE(client.has_ended);
    SUBCASE("to a client that reads")
    {
        client.start_reading();
        REQUIRE(box.reach([&client = client] { return client.received.ends_with(last_chunk); }));
        CHECK(whole_body_of(client.received) == body);
        // The client may have the last bytes before the box has seen the end of its write.
        REQUIRE(box.reach([&client = client] { return client.has_ended; }));
        CHECK(client.keeps);
    }
    SUBCASE("not to one that never reads")
    {
        REQUIRE(box.reach([&client = client] { return client.has_ended; }));
        CHECK_FALSE(client.keeps);
        CHECK(box.held() == 0);
    }
}

TEST_CASE("for a client of HTTP/1.0 the connection is reset until the held part of its answer was delivered")
{
    Box box(RouteKind::Idempotent);
    box.http_version = 10;
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(events_of(fitting_events)) + last_chunk);
    box.run_until_idle();
    REQUIRE(connection.has_sent_all());
    asio::socket_base::linger linger;
    client.socket->get_option(linger);
    CHECK(linger.enabled());
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.has_ended; }));
    client.socket->get_option(linger);
    CHECK_FALSE(linger.enabled());
    CHECK_FALSE(client.keeps);
}

TEST_CASE("the process may stop while answers are held and wait for room")
{
    auto box = std::make_unique<Box>(RouteKind::Idempotent);
    box->state.answer_buffers->set_max_bytes(AnswerBuffer::max_answer_bytes);
    auto const pool = box->state.answer_buffers;
    auto const answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    for (int index = 0; index < 5; ++index) {
        auto [client, connection] = box->start();
        connection.answer = answer;
    }
    box->run_until_idle();
    REQUIRE(pool->held_bytes() > 0);
    SUBCASE("with its clients") { }
    SUBCASE("after its clients")
    {
        box->clients.clear();
    }
    box.reset();
    CHECK(pool->held_bytes() == 0);
}

TEST_CASE("an endpoint that does not read a long request delays no other request, and the request ends in its time")
{
    constexpr int deadline_ms = 800;
    constexpr std::size_t body_bytes = 32U * 1024 * 1024;
    constexpr Core::Duration max_delay { std::chrono::milliseconds(200) };
    Box box(RouteKind::Idempotent);
    box.endpoint.reads = false;
    auto [stuck, stuck_connection] = box.start(std::string(body_bytes, 'x'), deadline_ms);
    for (int index = 0; index < 20; ++index) {
        auto const started = Core::monotonic_now();
        auto [client, connection] = box.start();
        client.start_reading();
        connection.answer = shared(head + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
        REQUIRE(box.reach([&client = client] { return client.has_ended && client.received.ends_with("ok"); }));
        CHECK(Core::monotonic_now() - started < max_delay);
    }
    stuck.start_reading();
    REQUIRE(box.reach([&stuck = stuck] { return stuck.has_ended; }));
    REQUIRE(box.reach([&stuck = stuck] { return stuck.received.starts_with("HTTP/1.1 504 "); }));
}
