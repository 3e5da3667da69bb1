#include <TestMain.h>

#include "ScriptedExchange.h"
#include <LibCore/SuspensionDetector.h>

/// Guards against a box that was suspended for seconds and then serves a revoked key or an outdated route. The first
/// event after the box resumes may be a request. A clock that doesn't count the suspension makes the configuration look
/// fresh, and delays the deadlines of running requests.
using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Routing::LeaseBounds bounds { seconds(2), seconds(5) };

/// Handles a suspension as the gateway does.
void connect_suspension_handler(Exchange& request)
{
    request.state.on_suspension = [&request](Core::Duration) {
        request.state.router.after_suspension(Core::monotonic_now());
        if (request.exchange)
            static_cast<void>(request.exchange->after_suspension());
    };
}

Routing::RouterSettings settings()
{
    return { "hall", bounds, { 0.2, seconds(10), 100 }, {} };
}

}

TEST_CASE("the clock for ages counts suspensions, and the clock for awake time doesn't")
{
    auto const now = Core::monotonic_now();
    auto const awake = Core::now_without_suspension();
    Core::SuspensionDetector meter(now, awake);
    Core::simulate_suspension(seconds(8));
    CHECK(Core::monotonic_now() - now >= seconds(8));
    CHECK(Core::now_without_suspension() - awake < seconds(8));
    auto const length = meter.observe(Core::monotonic_now(), Core::now_without_suspension());
    REQUIRE(length);
    CHECK(*length > seconds(7));
    CHECK(*length < seconds(9));
    CHECK_FALSE(meter.observe(Core::monotonic_now(), Core::now_without_suspension()));
}

TEST_CASE("a pause between the readings of the two clocks doesn't hide the next suspension")
{
    auto const start = Core::Instant { seconds(100) };
    Core::SuspensionDetector meter(start, start);
    // The process stood still for 5 s after the first reading, and again after the second, without a suspension.
    CHECK_FALSE(meter.observe(start, start + seconds(5)));
    CHECK(meter.observe(start + seconds(5), start + seconds(5)));
    CHECK_FALSE(meter.observe(start + seconds(6), start + seconds(6)));
    CHECK(meter.observe(start + seconds(10), start + seconds(7)) == Core::Duration { seconds(3) });
}

TEST_CASE("the first request after a suspension is not served with an outdated configuration")
{
    Exchange request(RouteKind::Idempotent, 1, 1);
    request.use_accounts(settings());
    connect_suspension_handler(request);
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
    Core::simulate_suspension(length);
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

TEST_CASE("after a suspension a box serves requests as soon as the store confirms its configuration")
{
    Exchange request(RouteKind::Idempotent, 1, 1);
    request.use_accounts(settings());
    connect_suspension_handler(request);
    // Within the bound for revoked keys, so only the suspension makes the box refuse requests.
    Core::simulate_suspension(seconds(3));
    request.state.check_for_suspension();
    CHECK(request.state.router.configuration_freshness(Core::monotonic_now())
        == Routing::ConfigurationFreshness::Expired);
    request.state.router.confirm_configuration(Core::monotonic_now());
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a request whose deadline passed during a suspension is answered at once, as one that may have run")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    connect_suspension_handler(request);
    request.start("body");
    static_cast<void>(request.wait_for_arrival());
    // Longer than the client's timeout of 30 s.
    Core::simulate_suspension(seconds(31));
    request.state.check_for_suspension();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 504 "));
    CHECK(request.arrival_count() == 1);
}

TEST_CASE("an answer that is ready after a suspension is delivered")
{
    Exchange request(RouteKind::NonIdempotent, 1, 1);
    connect_suspension_handler(request);
    request.start("body");
    request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
    Core::simulate_suspension(seconds(8));
    request.state.check_for_suspension();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 200 "));
}
