#include <TestMain.h>

#include "ScriptedExchange.h"
#include <LibCore/SuspensionMeter.h>

/// What users would see: a key that was taken away is served, or a route as it was, by a box that was suspended for
/// seconds.
///
/// Order of events: the box reads the store, is suspended, wakes, and the first thing that is ready is a request. Its
/// clock did not count the time, so what it knows looks as fresh as before; deadlines of requests under way are too
/// late by as much.
///
/// Cause: ages ran on a clock that stands still while the box is suspended. Evidence: with that clock the cases below
/// that rest on an age fail, and the model's variant of it serves a key too late.
using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Routing::LeaseBounds bounds { seconds(2), seconds(5) };

/// As the gateway does when the box wakes.
void connect_wake(Exchange& request)
{
    request.state.on_suspension = [&request](Core::Duration) {
        request.state.router.woke(Core::monotonic_now());
        if (request.exchange)
            static_cast<void>(request.exchange->after_suspension());
    };
}

Routing::RouterSettings settings()
{
    return { "hall", bounds, { 0.2, seconds(10), 100 }, {} };
}

}

TEST_CASE("the clock of ages counts the time that the box was suspended, and the other one doesn't")
{
    auto const now = Core::monotonic_now();
    auto const awake = Core::awake_now();
    Core::SuspensionMeter meter(now, awake);
    Core::suspend_for_tests(seconds(8));
    CHECK(Core::monotonic_now() - now >= seconds(8));
    CHECK(Core::awake_now() - awake < seconds(8));
    auto const length = meter.observe(Core::monotonic_now(), Core::awake_now());
    REQUIRE(length);
    CHECK(*length > seconds(7));
    CHECK(*length < seconds(9));
    CHECK_FALSE(meter.observe(Core::monotonic_now(), Core::awake_now()));
}

TEST_CASE("a box that stands still between two readings of its clocks finds the next suspension all the same")
{
    auto const start = Core::Instant { seconds(100) };
    Core::SuspensionMeter meter(start, start);
    // Stopped for 5 s after the first reading, then after the second: nothing was suspended.
    CHECK_FALSE(meter.observe(start, start + seconds(5)));
    CHECK(meter.observe(start + seconds(5), start + seconds(5)));
    CHECK_FALSE(meter.observe(start + seconds(6), start + seconds(6)));
    CHECK(meter.observe(start + seconds(10), start + seconds(7)) == Core::Duration { seconds(3) });
}

TEST_CASE("the first request after waking is not served on what was known before")
{
    Exchange request(RouteKind::Idempotent, 1, 1);
    request.use_accounts(settings());
    connect_wake(request);
    Core::Duration length { 0 };
    SUBCASE("1 s, within the bound for applying changes")
    {
        length = seconds(1);
    }
    SUBCASE("3 s")
    {
        length = seconds(3);
    }
    SUBCASE("8 s")
    {
        length = seconds(8);
    }
    SUBCASE("60 s")
    {
        length = seconds(60);
    }
    Core::suspend_for_tests(length);
    request.start("body");
    if (length < bounds.apply_within) {
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        return;
    }
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 503 "));
    CHECK(request.received.find("Retry-After: ") != std::string::npos);
    CHECK(request.arrival_count() == 0);
}

TEST_CASE("after waking a box serves again as soon as the store confirms what it knows")
{
    Exchange request(RouteKind::Idempotent, 1, 1);
    request.use_accounts(settings());
    connect_wake(request);
    // Inside the bound for taken-away keys, so only the waking holds it back.
    Core::suspend_for_tests(seconds(3));
    request.state.check_for_suspension();
    CHECK(request.state.router.trust(Core::monotonic_now()) == Routing::ConfigurationTrust::Expired);
    request.state.router.confirm_configuration(Core::monotonic_now());
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a request whose time ran out while the box was suspended is answered at once, as one that may have run")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    connect_wake(request);
    request.start("body");
    static_cast<void>(request.wait_for_arrival());
    // The client waits for 30 s.
    Core::suspend_for_tests(seconds(31));
    request.state.check_for_suspension();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 504 "));
    CHECK(request.arrival_count() == 1);
}

TEST_CASE("an answer that is ready when the box wakes is delivered")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    connect_wake(request);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    Core::suspend_for_tests(seconds(8));
    request.state.check_for_suspension();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
}
