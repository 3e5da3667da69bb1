#include <TestMain.h>

#include "ScriptedExchange.h"
#include <thread>

using namespace Gateway;

TEST_CASE("a request that may have run is not sent again unless it is repeatable")
{
    SUBCASE("not repeatable")
    {
        Exchange request(RouteKind::NonIdempotent, 2, 2);
        request.start("body");
        request.endpoints[request.wait_for_arrival()]->close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.arrival_count() == 1);
    }
    SUBCASE("a stream that can't be resumed")
    {
        Exchange request(RouteKind::Streaming, 2, 2);
        request.start("body");
        request.endpoints[request.wait_for_arrival()]->close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.arrival_count() == 1);
    }
    SUBCASE("repeatable")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        request.start("body");
        request.endpoints[request.wait_for_arrival()]->close();
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrival_count() == 2);
    }
}

TEST_CASE("an endpoint's refusal is retried elsewhere, and told as not run when there is nowhere else")
{
    std::string const refusal
        = "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    Exchange request(RouteKind::NonIdempotent, 2, 2);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(refusal);
    auto const second = request.wait_for_arrival();
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
        CHECK(request.arrival_count() == 2);
    }
}

TEST_CASE("a rejection that only its connection ends is retried elsewhere while the connection stays open")
{
    Exchange request(RouteKind::NonIdempotent, 2, 2);
    request.start("body");
    auto& rejecting = *request.endpoints[request.wait_for_arrival()];
    rejecting.answer("HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\n\r\nfull");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
    CHECK(request.reach([&] { return rejecting.connections[0]->is_closed; }));
}

TEST_CASE("a stream whose events have no ids is not continued, since it would begin anew")
{
    Exchange request(RouteKind::Streaming, 2, 2, true);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(stream_head + "9\r\ndata: a\n\n\r\n");
    REQUIRE(request.reach([&] { return request.received.ends_with("data: a\n\n\r\n"); }));
    endpoint.close();
    REQUIRE(request.ends());
    CHECK(request.arrival_count() == 1);
    CHECK(request.received == stream_head + "9\r\ndata: a\n\n\r\n");
}

TEST_CASE("a repeatable request's failure is retried once, and the second failure is passed on as it is")
{
    std::string const failure
        = "HTTP/1.1 500 Oops\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nbad";
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start();
    request.endpoints[request.wait_for_arrival()]->answer(failure);
    request.endpoints[request.wait_for_arrival()]->answer(failure);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 500 Oops\r\n"));
    CHECK(request.received.find("X-Response-Stamp: s\r\n") != std::string::npos);
    CHECK(request.received.ends_with("\r\n\r\nbad"));
}

TEST_CASE("a repeatable call to an endpoint that stays silent is tried elsewhere, any other waits")
{
    SUBCASE("repeatable")
    {
        Exchange request(RouteKind::Idempotent, 2, 2, false, std::chrono::milliseconds(20));
        request.start();
        auto const silent = request.wait_for_arrival();
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.reach([&] { return request.endpoints[silent]->connections[0]->is_closed; }));
    }
    SUBCASE("not repeatable")
    {
        Exchange request(RouteKind::NonIdempotent, 2, 2, false, std::chrono::milliseconds(1));
        request.start();
        auto const slow = request.wait_for_arrival();
        request.context.run_for(std::chrono::milliseconds(30));
        request.endpoints[slow]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrival_count() == 1);
    }
}

// Guards against truncated answers: while the event loop stalls, an answer arrives and the silence timer expires. The
// answer's head is read first, but the queued timer handler can't be cancelled and must not abort the attempt.
TEST_CASE("an answer that came while the event loop stood still past the limit on silence is passed on whole")
{
    constexpr auto goal = std::chrono::milliseconds(20);
    Exchange request(RouteKind::Idempotent, 2, 2, false, goal);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(stream_head + "2\r\nok\r\n");
    std::this_thread::sleep_for(3 * goal);
    REQUIRE(request.reach([&] { return request.received.ends_with("2\r\nok\r\n"); }));
    int rounds = 0;
    REQUIRE(request.reach([&] { return ++rounds > 3; }));
    endpoint.answer("0\r\n\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.ends_with("2\r\nok\r\n0\r\n\r\n"));
    CHECK(request.arrival_count() == 1);
}

TEST_CASE("a refusal after an attempt that may have run does not say that the request has not run")
{
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start();
    request.endpoints[request.wait_for_arrival()]->close();
    request.endpoints[request.wait_for_arrival()]->answer(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a stream that can be resumed goes on at another endpoint behind the last whole event")
{
    Exchange request(RouteKind::Streaming, 2, 2, true);
    request.start();
    auto const first = request.wait_for_arrival();
    // The second event is cut in its middle; the client must not see a part of it.
    request.endpoints[first]->answer(stream_head + "7\r\nid: 1\n\n\r\n5\r\nid: 2\r\n");
    REQUIRE(request.reach([&] { return request.received.find("id: 1") != std::string::npos; }));
    request.endpoints[first]->close();
    auto const second = request.wait_for_arrival();
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
    auto const first = request.wait_for_arrival();
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
    CHECK(request.arrival_count() == 1);
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

TEST_CASE("a request reaches the endpoint that lives, however many of those listed have ended")
{
    constexpr int endpoint_count = 8;
    constexpr std::size_t alive = 5;
    Exchange request(RouteKind::NonIdempotent, 1, endpoint_count);
    for (std::size_t index = 0; index < endpoint_count; ++index) {
        if (index != alive)
            request.endpoints[index]->acceptor.close();
    }
    request.start("body");
    REQUIRE(request.wait_for_arrival() == alive);
    request.endpoints[alive]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a request is refused with when to come back where all endpoints listed have ended")
{
    Exchange request(RouteKind::NonIdempotent, 1, 6);
    for (auto& endpoint : request.endpoints)
        endpoint->acceptor.close();
    request.start("body");
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
        auto const where = request.wait_for_arrival();
        CHECK(where != static_cast<std::size_t>(leaving));
        request.endpoints[where]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(request.arrival_count() == 1);
    }
}
