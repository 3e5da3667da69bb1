#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateLimit one_per_second { 1 };

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

Route route_of(std::string prefix, unsigned priority)
{
    auto route = route_to_desk(std::move(prefix), RouteKind::Idempotent, 2);
    route.priority = priority;
    return route;
}

/// A box with two endpoints of a service, an urgent route and a less urgent one.
struct TestBox {
    TestBox()
    {
        this->router.offer_configuration(configuration(), at(seconds(0)));
        this->router.put_endpoint(record("a"), at(seconds(0)));
        this->router.put_endpoint(record("b"), at(seconds(0)));
    }

    static SharedConfiguration configuration()
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_of("/urgent/", 0), route_of("/later/", 2) };
        contents.services = { { "desk", 96, {} } };
        return std::make_shared<ConfigurationSnapshot const>(std::move(contents));
    }

    static EndpointRecord record(std::string const& name, std::uint64_t started_at = 0)
    {
        return { name, "desk", { "10.0.0.1", 80 }, "hall", 6, false, started_at };
    }

    std::variant<Placed, Rejected> place(std::string const& path, Instant now)
    {
        RequestHead const head { "attempt", "h", path + "x", "", seconds(1), {} };
        auto const admitted = std::get<Admitted>(this->router.admit(head, now));
        return this->router.place(admitted, {}, {}, now);
    }

    /// The endpoint that gets the request; empty if the request is refused.
    std::string endpoint_for(std::string const& path, Instant now)
    {
        auto const decision = this->place(path, now);
        auto const* const placed = std::get_if<Placed>(&decision);
        return placed ? placed->endpoint.incarnation : "";
    }

    bool limit(std::string const& name, std::uint64_t version, RateLimit limit, std::uint64_t started_at = 0)
    {
        return this->router.apply_notice({ { name, started_at }, version, { limit }, at(seconds(0)) }, at(seconds(0)));
    }

    RequestRouter router { { "hall", { seconds(20), seconds(50) }, {}, {} }, 7 };
};

/// Number of requests, of a hundred at intervals of 10 ms, that go to the endpoint.
int sent_in_a_second(TestBox& box, std::string const& name, Instant from)
{
    int sent = 0;
    for (int number = 0; number < 100; ++number)
        sent += box.endpoint_for("/urgent/", from + milliseconds(10 * number)) == name ? 1 : 0;
    return sent;
}

}

TEST_CASE("an endpoint with a limit gets requests up to the limit, and others get the rest")
{
    TestBox box;
    REQUIRE(box.limit("a", 1, one_per_second));
    int sent = 0;
    for (int second = 0; second < 4; ++second)
        sent += sent_in_a_second(box, "a", at(seconds(second)));
    CHECK(sent >= 2);
    CHECK(sent <= 4);
    CHECK(box.endpoint_for("/urgent/", at(seconds(4))) != "");
}

TEST_CASE("if all endpoints are at their limit, urgent requests go first and refused clients retry at different times")
{
    TestBox box;
    box.limit("a", 1, { 10 });
    box.limit("b", 1, { 10 });
    int urgent = 0;
    int later = 0;
    std::set<Duration> retry_times;
    for (int number = 0; number < 400; ++number) {
        auto const now = at(milliseconds(10 * number));
        urgent += box.endpoint_for("/urgent/", now).empty() ? 0 : 1;
        auto const decision = box.place("/later/", now);
        auto const* const rejected = std::get_if<Rejected>(&decision);
        later += rejected ? 0 : 1;
        if (rejected) {
            CHECK(rejected->reason == Reason::EndpointsAtLimit);
            REQUIRE(rejected->retry_after);
            CHECK(*rejected->retry_after >= milliseconds(500));
            retry_times.insert(*rejected->retry_after);
        }
    }
    CHECK(urgent >= 4 * later);
    CHECK(urgent + later >= 60);
    CHECK(retry_times.size() > 50);
}

TEST_CASE("a request that was placed before the limit was known is counted before it is sent")
{
    TestBox box;
    std::vector<Placed> placed;
    while (placed.size() < 5) {
        auto const decision = box.place("/urgent/", at(seconds(0)));
        auto const& choice = std::get<Placed>(decision);
        if (choice.endpoint.incarnation == "a")
            placed.push_back(choice);
        box.router.attempt_started(
            std::get<Admitted>(box.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, at(seconds(0)))), {},
            choice.choice, at(seconds(0)));
    }
    box.limit("a", 1, one_per_second);
    int sent = 0;
    for (auto const& choice : placed)
        sent += box.router.may_send(choice, at(milliseconds(5))) ? 1 : 0;
    CHECK(sent <= 1);
}

TEST_CASE("a draining endpoint gets no requests, also from boxes that received a notice")
{
    TestBox box;
    auto const placed = std::get<Placed>(box.place("/urgent/", at(seconds(0))));
    auto const& name = placed.endpoint.incarnation;
    std::string const other = name == "a" ? "b" : "a";
    auto const notice = box.router.record_answer(placed, { RateLimit {}, true }, at(seconds(0)), at(seconds(1))).notice;
    REQUIRE(notice);
    CHECK(notice->condition.is_draining);
    CHECK_FALSE(box.router.may_receive(placed.choice.endpoint, at(seconds(1))));
    CHECK_FALSE(box.router.may_send(placed, at(seconds(1))));
    CHECK(box.router.usable_endpoints("desk", at(seconds(1))) == 1);
    CHECK(box.router.usable_records("desk", at(seconds(1))).size() == 1);
    for (int number = 0; number < 20; ++number)
        CHECK(box.endpoint_for("/urgent/", at(seconds(2))) == other);

    TestBox notified;
    CHECK(notified.router.apply_notice(*notice, at(seconds(1))));
    CHECK_FALSE(notified.router.apply_notice(*notice, at(seconds(1))));
    for (int number = 0; number < 20; ++number)
        CHECK(notified.endpoint_for("/urgent/", at(seconds(2))) == other);
}

/// A box that received a notice at second 10 that endpoint "a" drains, while the endpoint list could be read.
struct BoxWithDrainingEndpoint : TestBox {
    BoxWithDrainingEndpoint()
    {
        this->read_list(seconds(0), seconds(10));
        REQUIRE(this->router.apply_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(10)) }, at(seconds(10))));
        REQUIRE(this->usable(seconds(10)) == 1);
    }

    void read_list(Duration from, Duration until)
    {
        for (auto moment = from; moment <= until; moment += milliseconds(500))
            this->router.confirm_endpoints(at(moment));
    }

    [[nodiscard]] std::size_t usable(Duration moment) const
    {
        return this->router.usable_endpoints("desk", at(moment));
    }
};

TEST_CASE("a restarted endpoint is used again, with or without a start time in its entry")
{
    SUBCASE("its entry was removed in between")
    {
        BoxWithDrainingEndpoint box;
        box.router.remove_endpoint("a", at(seconds(13)));
        static_cast<void>(box.router.expire_endpoints(at(seconds(13))));
        box.router.put_endpoint(TestBox::record("a"), at(seconds(0)));
        CHECK(box.usable(seconds(14)) == 2);
        // A late notice of the earlier process.
        CHECK_FALSE(box.router.apply_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(11)) }, at(seconds(14))));
        CHECK(box.usable(seconds(14)) == 2);
        // The new process drains too.
        CHECK(box.router.apply_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(20)) }, at(seconds(20))));
        CHECK(box.usable(seconds(20)) == 1);
    }
    SUBCASE("its entry has another start time")
    {
        BoxWithDrainingEndpoint box;
        box.router.put_endpoint(TestBox::record("a", 1000), at(seconds(0)));
        CHECK(box.usable(seconds(10)) == 1);
        box.router.put_endpoint(TestBox::record("a", 2000), at(seconds(0)));
        static_cast<void>(box.router.expire_endpoints(at(seconds(14))));
        CHECK(box.usable(seconds(14)) == 2);
        CHECK_FALSE(box.router.apply_notice({ { "a", 1000 }, 3, { {}, true }, at(seconds(14)) }, at(seconds(14))));
        CHECK(box.usable(seconds(14)) == 2);
    }
    SUBCASE("its entry has another address")
    {
        BoxWithDrainingEndpoint box;
        auto moved = TestBox::record("a");
        moved.address.port = 81;
        box.router.put_endpoint(moved, at(seconds(0)));
        static_cast<void>(box.router.expire_endpoints(at(seconds(14))));
        CHECK(box.usable(seconds(14)) == 2);
    }
    SUBCASE("its entry was never removed: it has been listed as not draining for long enough")
    {
        BoxWithDrainingEndpoint box;
        box.read_list(seconds(10), seconds(24));
        CHECK(box.usable(seconds(24)) == 1);
        box.read_list(seconds(24), seconds(26));
        CHECK(box.usable(seconds(26)) == 2);
    }
}

TEST_CASE("time during which the list can't be read doesn't count towards using a draining endpoint again")
{
    SUBCASE("the store is unavailable")
    {
        BoxWithDrainingEndpoint box;
        CHECK(box.usable(seconds(100)) == 1);
        box.read_list(seconds(100), seconds(110));
        CHECK(box.usable(seconds(110)) == 1);
        box.read_list(seconds(110), seconds(116));
        CHECK(box.usable(seconds(116)) == 2);
    }
    SUBCASE("the store was restored from a copy")
    {
        BoxWithDrainingEndpoint box;
        box.read_list(seconds(10), seconds(20));
        box.router.mark_endpoints_uncertain();
        box.read_list(seconds(20), seconds(30));
        CHECK(box.usable(seconds(30)) == 1);
    }
    SUBCASE("its entry shows that it drains")
    {
        BoxWithDrainingEndpoint box;
        auto leaving = TestBox::record("a");
        leaving.draining = true;
        box.router.put_endpoint(leaving, at(seconds(0)));
        box.read_list(seconds(10), seconds(40));
        CHECK(box.usable(seconds(40)) == 1);
    }
}

TEST_CASE("an endpoint that reports again that it drains gets no requests, and a new notice is sent")
{
    BoxWithDrainingEndpoint box;
    box.read_list(seconds(10), seconds(26));
    REQUIRE(box.usable(seconds(26)) == 2);
    std::optional<Placed> at_leaving;
    while (!at_leaving) {
        auto const placed = std::get<Placed>(box.place("/urgent/", at(seconds(26))));
        if (placed.endpoint.incarnation == "a")
            at_leaving = placed;
        box.router.attempt_started(
            std::get<Admitted>(box.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, at(seconds(26)))), {},
            placed.choice, at(seconds(26)));
    }
    auto const notice
        = box.router.record_answer(*at_leaving, { RateLimit {}, true }, at(seconds(26)), at(seconds(27))).notice;
    REQUIRE(notice);
    CHECK(notice->version == 2);
    CHECK(box.usable(seconds(27)) == 1);
}

TEST_CASE("a restarted endpoint does not have the limit of the previous process")
{
    TestBox box;
    box.router.put_endpoint(TestBox::record("a", 1000), at(seconds(0)));
    REQUIRE(box.limit("a", 4, one_per_second, 1000));
    CHECK(box.router.limited_endpoints() == 1);
    box.router.put_endpoint(TestBox::record("a", 2000), at(seconds(0)));
    static_cast<void>(box.router.expire_endpoints(at(seconds(1))));
    CHECK(box.router.limited_endpoints() == 0);
    CHECK_FALSE(box.limit("a", 9, one_per_second, 1000));
    CHECK_FALSE(box.limit("gone", 1, one_per_second));
    CHECK(box.router.limited_endpoints() == 0);
}

TEST_CASE("an answer that arrives after its endpoint was removed does not affect another one")
{
    TestBox box;
    auto const placed = std::get<Placed>(box.place("/urgent/", at(seconds(0))));
    box.router.remove_endpoint(placed.endpoint.incarnation, at(seconds(1)));
    static_cast<void>(box.router.expire_endpoints(at(seconds(1))));
    CHECK_FALSE(box.router.record_answer(placed, { one_per_second, false }, at(seconds(0)), at(seconds(2))).notice);
    box.router.put_endpoint(placed.endpoint, at(seconds(0)));
    CHECK(box.router.limited_endpoints() == 0);
}

namespace {

/// Sends requests until the endpoint is chosen, which then asks for a backoff of three seconds.
void start_backoff(TestBox& box, std::string const& name, Instant now)
{
    for (int number = 0; number < 100; ++number) {
        auto const decision = box.place("/urgent/", now);
        auto const* const placed = std::get_if<Placed>(&decision);
        REQUIRE(placed != nullptr);
        if (placed->endpoint.incarnation == name) {
            auto const effect = box.router.record_answer(*placed, { RateLimit {}, false, false, seconds(3) }, now, now);
            CHECK(effect.backoff_began);
            CHECK_FALSE(effect.notice);
            CHECK_FALSE(box.router.may_send(*placed, now));
            return;
        }
        box.router.attempt_started(
            std::get<Admitted>(box.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, now)), {},
            placed->choice, now);
    }
    FAIL("the endpoint is never chosen");
}

}

TEST_CASE("an endpoint that is backed off gets no requests, and others get all")
{
    TestBox box;
    start_backoff(box, "a", at(seconds(0)));
    for (int number = 0; number < 50; ++number)
        CHECK(box.endpoint_for("/urgent/", at(milliseconds(50 * number))) == "b");
    bool is_tried = false;
    for (int number = 0; number < 100; ++number)
        is_tried |= box.endpoint_for("/urgent/", at(seconds(3) + milliseconds(10 * number))) == "a";
    CHECK(is_tried);
}

TEST_CASE("a backoff is kept if no other endpoint is left, and clients are told when to retry")
{
    TestBox box;
    start_backoff(box, "a", at(seconds(0)));
    start_backoff(box, "b", at(seconds(1)));
    std::set<Duration> retry_times;
    for (int number = 0; number < 50; ++number) {
        auto const decision = box.place("/urgent/", at(seconds(2)));
        auto const* const rejected = std::get_if<Rejected>(&decision);
        REQUIRE(rejected != nullptr);
        CHECK(rejected->reason == Reason::EndpointsBackedOff);
        REQUIRE(rejected->retry_after);
        CHECK(*rejected->retry_after >= seconds(1));
        retry_times.insert(*rejected->retry_after);
    }
    CHECK(retry_times.size() > 20);
    CHECK(box.endpoint_for("/urgent/", at(seconds(3))) == "a");
}

TEST_CASE("a restarted endpoint does not have the backoff of the previous process")
{
    TestBox box;
    start_backoff(box, "a", at(seconds(0)));
    box.router.remove_endpoint("a", at(seconds(1)));
    box.router.put_endpoint(TestBox::record("a"), at(seconds(0)));
    static_cast<void>(box.router.expire_endpoints(at(seconds(1))));
    bool is_chosen = false;
    for (int number = 0; number < 50; ++number)
        is_chosen |= box.endpoint_for("/urgent/", at(seconds(1))) == "a";
    CHECK(is_chosen);
}

TEST_CASE(
    "once an endpoint reports that it is brittle, a full one of its service that has not answered yet gets no more")
{
    constexpr int slots = 6;
    TestBox box;
    std::optional<Placed> at_a;
    for (int running_at_b = 0; running_at_b < slots;) {
        auto const placed = std::get<Placed>(box.place("/urgent/", at(seconds(0))));
        auto const admitted
            = std::get<Admitted>(box.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, at(seconds(0))));
        box.router.attempt_started(admitted, {}, placed.choice, at(seconds(0)));
        if (placed.endpoint.incarnation == "a")
            at_a = placed;
        else
            ++running_at_b;
    }
    REQUIRE(at_a);
    RequestRouter::EndpointReport rejection { RateLimit {} };
    rejection.took_request = false;
    rejection.max_rejections = 5;
    CHECK(box.router.record_answer(*at_a, rejection, at(seconds(0)), at(milliseconds(5))).rejection);
    for (int number = 0; number < 20; ++number)
        CHECK(box.endpoint_for("/urgent/", at(milliseconds(10 + number))) != "b");
}
