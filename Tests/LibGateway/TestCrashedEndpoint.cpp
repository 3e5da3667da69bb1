#include <TestMain.h>

#include "ScriptedExchange.h"

using namespace Gateway;

namespace {

/// The fingerprint of the request that Exchange sends with this body.
Routing::CrashSuspect fingerprint(std::string const& body)
{
    return Routing::fingerprint_of("", "h", "/x", body);
}

/// Ends the endpoint's process: its connections break, and its host refuses new ones.
void crash(FakeEndpoint& endpoint)
{
    endpoint.acceptor.close();
    endpoint.close();
}

/// Crashes of the request with this body, as reported by another box.
void receive_crash_report(Exchange& request, std::string const& body, unsigned crashes)
{
    Membership::CrashMessage message;
    message.crashes.push_back(
        { { fingerprint(body), { "elsewhere", 1 }, crashes }, Core::Duration { std::chrono::seconds(1) } });
    request.state.crash_exchange.receive(message);
}

unsigned crash_count(Exchange const& request, std::string const& body)
{
    return request.state.crash_exchange.status(fingerprint(body)).crashes;
}

}

TEST_CASE("the crash of an endpoint is recorded for the request that it ran")
{
    SUBCASE("before its answer")
    {
        Exchange request(RouteKind::NonIdempotent, 1, 2);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.reach([&] { return crash_count(request, "body") == 1; }));
        CHECK(crash_count(request, "other body") == 0);
    }
    SUBCASE("in the middle of a stream")
    {
        Exchange request(RouteKind::Streaming, 1, 2);
        request.start("body");
        auto const index = request.wait_for_arrival();
        request.endpoints[index]->answer(stream_head);
        REQUIRE(request.reach([&] { return !request.endpoints[index]->connections.empty(); }));
        crash(*request.endpoints[index]);
        REQUIRE(request.ends());
        CHECK(request.reach([&] { return crash_count(request, "body") == 1; }));
    }
}

TEST_CASE("the crash of an endpoint whose process is still ending at the first check is recorded")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    request.start("body");
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    // A full accept queue neither accepts nor refuses further connections.
    REQUIRE(listen(endpoint.acceptor.native_handle(), 0) == 0);
    auto const address = endpoint.acceptor.local_endpoint();
    tcp::socket first_in_queue(request.context);
    first_in_queue.connect(address);
    endpoint.close();
    auto const is_checked_once
        = [&] { return request.state.metrics.to_text().find("endpoint_now=\"unknown\"} 1") != std::string::npos; };
    REQUIRE(run_until(request.context, is_checked_once));
    CHECK(crash_count(request, "body") == 0);
    endpoint.acceptor.close();
    CHECK(run_until(request.context, [&] { return crash_count(request, "body") == 1; }));
}

TEST_CASE("a broken connection to a running endpoint is not recorded as a crash")
{
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->close();
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
    CHECK(crash_count(request, "body") == 0);
}

TEST_CASE("the planned exit of a draining endpoint is not recorded as a crash")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    request.start("body");
    auto const index = request.wait_for_arrival();
    auto const port = request.endpoints[index]->acceptor.local_endpoint().port();
    request.state.router.put_endpoint({ "i-0", "desk", { "127.0.0.1", port }, "hall", 6, true }, Core::monotonic_now());
    crash(*request.endpoints[index]);
    REQUIRE(request.ends());
    auto const checks = [&] { return request.state.metrics.to_text().find("endpoint_now=\"refuses\"} 1"); };
    REQUIRE(request.reach([&] { return checks() != std::string::npos; }));
    CHECK(crash_count(request, "body") == 0);
}

TEST_CASE("a repeatable request is retried after its first crash but not after another one")
{
    SUBCASE("first")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        // The successful run clears the request.
        CHECK(crash_count(request, "body") == 0);
    }
    SUBCASE("another one")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        receive_crash_report(request, "body", 1);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.received.find("Retry-After") == std::string::npos);
        CHECK(request.arrival_count() == 1);
        CHECK(crash_count(request, "body") == 2);
    }
}

TEST_CASE("a request under which three endpoints crashed is refused with the time until it may run again")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    receive_crash_report(request, "body", 3);
    SUBCASE("that request")
    {
        request.start("body");
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 503 "));
        CHECK(request.received.find("Retry-After: 59") != std::string::npos);
        CHECK(request.arrival_count() == 0);
    }
    SUBCASE("another request of the same client")
    {
        request.start("other body");
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("while a request that crashed an endpoint is probed, it is refused with a retry time")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    receive_crash_report(request, "body", 1);
    Membership::CrashMessage message;
    message.probed.push_back(fingerprint("body"));
    request.state.crash_exchange.receive(message);
    SUBCASE("that request")
    {
        request.start("body");
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 503 "));
        CHECK(request.received.find("Retry-After: 0.3") != std::string::npos);
        CHECK(request.arrival_count() == 0);
    }
    SUBCASE("another request of the same client")
    {
        request.start("other body");
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("a probe lasts until its run has ended and a broken connection was checked")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    receive_crash_report(request, "body", 1);
    request.start("body");
    auto const index = request.wait_for_arrival();
    CHECK(request.state.crash_exchange.status(fingerprint("body")).is_probed);
    SUBCASE("success")
    {
        request.endpoints[index]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(crash_count(request, "body") == 0);
    }
    SUBCASE("crash of the endpoint")
    {
        crash(*request.endpoints[index]);
        REQUIRE(request.ends());
        CHECK(request.reach([&] { return crash_count(request, "body") == 2; }));
    }
    SUBCASE("inconclusive failure")
    {
        request.endpoints[index]->close();
        REQUIRE(request.ends());
    }
    CHECK(request.reach([&] { return !request.state.crash_exchange.status(fingerprint("body")).is_probed; }));
}
