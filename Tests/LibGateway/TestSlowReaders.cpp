// Guards against clients that do not read, and endpoints that do not: answers that are lost although they were
// produced, delays of other requests, and answers that look complete although a part was dropped.

#include <TestMain.h>

#include "SlowReaders.h"

using namespace SlowReaders;

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
