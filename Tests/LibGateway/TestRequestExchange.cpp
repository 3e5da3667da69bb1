#include <TestMain.h>

#include "ScriptedExchange.h"

using namespace Gateway;

TEST_CASE("a whole answer is passed on unchanged and both connections are kept")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
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
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
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
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
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
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n\r\nwhole");
    endpoint.close();
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("5\r\nwhole\r\n0\r\n\r\n"));
}

TEST_CASE("an answer to another request is skipped, and the own one behind it is passed on")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start();
    request.endpoints[request.wait_for_arrival()]->answer(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother" + whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("\r\n\r\nok"));
    CHECK(request.received.find("other") == std::string::npos);
}

TEST_CASE("bytes behind a whole answer end the connection to the endpoint")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(whole_answer + "HTTP/1.1 200 OK\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("\r\n\r\nok"));
    CHECK(request.reach([&] { return endpoint.connections[0]->is_closed; }));
}

TEST_CASE("an answer that comes before the body was read is passed on, and the connection is not used again")
{
    Exchange request(RouteKind::NonIdempotent);
    request.start(std::string(8 * 1024 * 1024, 'x'));
    request.wait_for_arrival();
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
        auto& endpoint = *request.endpoints[request.wait_for_arrival()];
        request.exchange->client_left();
        CHECK(request.reach([&] { return endpoint.connections[0]->is_closed; }));
        CHECK(request.ends());
    }
    SUBCASE("a sighting is saved")
    {
        Exchange request(RouteKind::NonIdempotent);
        request.start();
        auto& endpoint = *request.endpoints[request.wait_for_arrival()];
        request.exchange->client_left();
        endpoint.answer(whole_answer);
        REQUIRE(request.ends());
        CHECK_FALSE(endpoint.connections[0]->is_closed);
        CHECK(request.received.empty());
    }
}

TEST_CASE("a request that a stopping box can't finish for certain is sent elsewhere, any other is served")
{
    Exchange request(RouteKind::NonIdempotent);
    // The client waits 30 s.
    request.state.shutdown_deadline = Core::monotonic_now() + std::chrono::seconds(10);
    request.start();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 503 "));
    CHECK(request.received.find("Retry-After: ") != std::string::npos);
    CHECK(request.received.find("draining") != std::string::npos);
    CHECK(request.arrival_count() == 0);
    CHECK_FALSE(request.keeps_client);

    Exchange in_time(RouteKind::NonIdempotent);
    in_time.state.shutdown_deadline = Core::monotonic_now() + std::chrono::seconds(40);
    in_time.start();
    auto const where = in_time.wait_for_arrival();
    in_time.endpoints[where]->answer(whole_answer);
    REQUIRE(in_time.ends());
    CHECK(in_time.received.starts_with("HTTP/1.1 200 "));
}
