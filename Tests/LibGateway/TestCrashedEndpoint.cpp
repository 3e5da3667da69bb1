#include <TestMain.h>

#include "ScriptedExchange.h"

using namespace Gateway;

namespace {

/// The fingerprint of the request that Exchange sends, with this body.
Routing::RequestFingerprint fingerprint(std::string const& body)
{
    return Routing::fingerprint_of("", "h", "/x", body);
}

/// The endpoint's process ends: its connections break, and its host refuses new ones.
void crash(FakeEndpoint& endpoint)
{
    endpoint.acceptor.close();
    endpoint.close();
}

/// What other boxes told of the body's request.
void hold_against(Exchange& request, std::string const& body, unsigned crashes)
{
    Membership::CrashMessage message;
    message.crashes.push_back(
        { { fingerprint(body), { "elsewhere", 1 }, crashes }, Core::Duration { std::chrono::seconds(1) } });
    request.state.crash_exchange.hear(message);
}

unsigned crashes_known(Exchange const& request, std::string const& body)
{
    return request.state.crash_exchange.verdict(fingerprint(body)).crashes;
}

}

TEST_CASE("an endpoint that ends while it runs a request is held against the request")
{
    SUBCASE("before its answer")
    {
        Exchange request(RouteKind::NonIdempotent, 1, 2);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.reach([&] { return crashes_known(request, "body") == 1; }));
        CHECK(crashes_known(request, "other body") == 0);
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
        CHECK(request.reach([&] { return crashes_known(request, "body") == 1; }));
    }
}

TEST_CASE("a connection that breaks while the endpoint lives is not held against the request")
{
    Exchange request(RouteKind::Idempotent, 2, 2);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->close();
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
    CHECK(crashes_known(request, "body") == 0);
}

TEST_CASE("an endpoint that leaves and ends as planned is not held against the request")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    request.start("body");
    auto const index = request.wait_for_arrival();
    auto const port = request.endpoints[index]->acceptor.local_endpoint().port();
    request.state.router.put_endpoint({ "i-0", "desk", { "127.0.0.1", port }, "hall", 6, true });
    crash(*request.endpoints[index]);
    REQUIRE(request.ends());
    auto const checks = [&] { return request.state.metrics.to_text().find("endpoint_now=\"refuses\"} 1"); };
    REQUIRE(request.reach([&] { return checks() != std::string::npos; }));
    CHECK(crashes_known(request, "body") == 0);
}

TEST_CASE("a repeatable request goes on to a second endpoint after a first crash, and not after another one")
{
    SUBCASE("first")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        // The run that ended well clears it.
        CHECK(crashes_known(request, "body") == 0);
    }
    SUBCASE("another one")
    {
        Exchange request(RouteKind::Idempotent, 2, 2);
        hold_against(request, "body", 1);
        request.start("body");
        crash(*request.endpoints[request.wait_for_arrival()]);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
        CHECK(request.received.find("Retry-After") == std::string::npos);
        CHECK(request.arrival_count() == 1);
        CHECK(crashes_known(request, "body") == 2);
    }
}

TEST_CASE("a request under which three endpoints crashed is refused with the time until it may run again")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    hold_against(request, "body", 3);
    SUBCASE("that request")
    {
        request.start("body");
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 503 "));
        CHECK(request.received.find("Retry-After: 59") != std::string::npos);
        CHECK(request.arrival_count() == 0);
    }
    SUBCASE("another one of the same caller")
    {
        request.start("other body");
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("while another run of a request that crashed an endpoint decides, the request is told when to come back")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    hold_against(request, "body", 1);
    Membership::CrashMessage message;
    message.probed.push_back(fingerprint("body"));
    request.state.crash_exchange.hear(message);
    SUBCASE("that request")
    {
        request.start("body");
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 503 "));
        CHECK(request.received.find("Retry-After: 0.3") != std::string::npos);
        CHECK(request.arrival_count() == 0);
    }
    SUBCASE("another one of the same caller")
    {
        request.start("other body");
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("a run of a request that crashed an endpoint decides until it has ended and its break is examined")
{
    Exchange request(RouteKind::NonIdempotent, 1, 2);
    hold_against(request, "body", 1);
    request.start("body");
    auto const index = request.wait_for_arrival();
    CHECK(request.state.crash_exchange.verdict(fingerprint("body")).is_probed);
    SUBCASE("well")
    {
        request.endpoints[index]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(crashes_known(request, "body") == 0);
    }
    SUBCASE("with the endpoint")
    {
        crash(*request.endpoints[index]);
        REQUIRE(request.ends());
        CHECK(request.reach([&] { return crashes_known(request, "body") == 2; }));
    }
    SUBCASE("with a failure that shows nothing")
    {
        request.endpoints[index]->close();
        REQUIRE(request.ends());
    }
    CHECK(request.reach([&] { return !request.state.crash_exchange.verdict(fingerprint("body")).is_probed; }));
}
