#include <TestMain.h>

#include <LibRouting/RequestRouter.h>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const now = Instant {} + seconds(100);
constexpr unsigned slots = 12;

/// A box with two engines of few slots, and routes for urgent questions, checks and long reviews.
struct Box {
    Box()
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route("/question/", 0, milliseconds(500)), route("/check/", 1, milliseconds(1200)),
            route("/review/", 2, seconds(2)) };
        contents.services = { { "pool", 96, EngineTraits { slots, 300'000, 8 } } };
        this->router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(contents)), now);
        for (auto const* name : { "a", "b" })
            this->router.put_endpoint({ name, "pool", { "10.0.0.1", 80 }, "hall", slots, false }, now);
    }

    static Route route(std::string prefix, unsigned priority, Duration goal)
    {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.path_prefix = std::move(prefix);
        route.kind = RouteKind::Streaming;
        route.timeout = seconds(12);
        route.goal = goal;
        route.priority = priority;
        route.services = { { "pool", 1 } };
        route.max_attempts = 2;
        return route;
    }

    /// Another box reports this many requests at each engine, whose prompts have been read.
    void occupy(unsigned requests)
    {
        this->router.apply_load_report(1, { { { "a", {}, requests }, { "b", {}, requests } }, {} }, now);
    }

    [[nodiscard]] std::variant<Placed, Rejected> place(std::string const& target)
    {
        Workload const workload { { { 1, 1000 } }, 1000, 50 };
        auto const admitted
            = std::get<Admitted>(this->router.admit({ "attempt", "h", target + "x", "", seconds(12), workload }, now));
        return this->router.place(admitted, workload, {}, now);
    }
    [[nodiscard]] bool takes(std::string const& target) { return std::holds_alternative<Placed>(this->place(target)); }

    /// Requests that each occupied a slot for this long have ended.
    void learn(Duration occupied)
    {
        for (int index = 0; index < 300; ++index) {
            Workload const workload { { { 1, 1000 } }, 1000, 50 };
            auto const admitted = std::get<Admitted>(
                this->router.admit({ "attempt", "h", "/question/x", "", seconds(12), workload }, now));
            auto const placed = std::get<Placed>(this->router.place(admitted, workload, {}, now));
            this->router.attempt_started(admitted, workload, placed.choice, now);
            this->router.attempt_ended(admitted.id, placed.choice.endpoint, AttemptResult::Completed, now + occupied);
        }
    }

    RequestRouter router { { "hall", {}, {}, {} }, 7 };
};

}

TEST_CASE("there is no wait while a slot is free, and it grows with the requests beyond the slots")
{
    SlotTimeEstimate const slot_time;
    CHECK(forecast_slot(0, slots, slot_time, SlotRank::LeastUrgent) == SlotForecast {});
    CHECK(forecast_slot(slots - 1, slots, slot_time, SlotRank::LeastUrgent) == SlotForecast {});
    auto const first = forecast_slot(slots, slots, slot_time, SlotRank::LeastUrgent);
    CHECK(first.wait_milliseconds == doctest::Approx(slot_time.milliseconds() / slots));
    auto const later = forecast_slot(2 * slots, slots, slot_time, SlotRank::LeastUrgent);
    CHECK(later.wait_milliseconds > 10 * first.wait_milliseconds);
    auto const urgent = forecast_slot(2 * slots, slots, slot_time, SlotRank::Preempts);
    CHECK(urgent.wait_milliseconds == 0);
    CHECK(urgent.queue_milliseconds == later.queue_milliseconds);
    // An endpoint that reports no slots has one.
    CHECK(forecast_slot(1, 0, slot_time, SlotRank::LeastUrgent).wait_milliseconds > 0);
}

TEST_CASE("the average time in a slot follows the requests, and impossible times are bounded")
{
    SlotTimeEstimate slot_time;
    for (int index = 0; index < 200; ++index)
        slot_time.add(seconds(3));
    CHECK(slot_time.milliseconds() == doctest::Approx(3000).epsilon(0.02));
    slot_time.add(seconds(-100));
    slot_time.add(std::chrono::hours(1000));
    CHECK(slot_time.milliseconds() > 2000);
    CHECK(slot_time.milliseconds() < 6000);
}

// Guards against reviews that are sent to full engines, run into their deadline there and are preempted meanwhile.
TEST_CASE("a request that would wait for a slot for too long is refused with a time to retry, an urgent one is not")
{
    Box box;
    box.learn(seconds(2));
    box.occupy(slots);
    CHECK(box.takes("/review/"));
    box.occupy(3 * slots);
    auto const decision = box.place("/review/");
    auto const* const refused = std::get_if<Rejected>(&decision);
    REQUIRE(refused);
    CHECK(refused->reason == Reason::BacklogTooLong);
    CHECK(refused->retry_after);
    CHECK(box.takes("/check/"));
    CHECK(box.takes("/question/"));
}

TEST_CASE("a box that has seen no request end refuses nothing for a few requests beyond the slots")
{
    Box box;
    box.occupy(slots + 3);
    CHECK(box.takes("/review/"));
}

// Guards against taking an engine whose slots are all taken for one that has failed: its home prompts would be read
// again elsewhere.
TEST_CASE("an engine with a queue for its slots is not overdue while the wait is as expected")
{
    Box box;
    box.learn(seconds(2));
    box.occupy(slots + 6);
    auto const decision = box.place("/review/");
    auto const* const placed = std::get_if<Placed>(&decision);
    REQUIRE(placed);
    CHECK(placed->choice.first_piece >= milliseconds(1000));
    EndpointLoad load;
    load.started(RequestId { 1 }, {}, { placed->choice.prefill, placed->choice.first_piece }, now);
    CHECK(load.overdue(now + milliseconds(1500)) == Duration { 0 });
}

TEST_CASE("an urgent request avoids an engine where it would preempt another one")
{
    Box box;
    box.router.apply_load_report(1, { { { "a", {}, slots }, { "b", milliseconds(100), 2 } }, {} }, now);
    auto const decision = box.place("/question/");
    REQUIRE(std::holds_alternative<Placed>(decision));
    CHECK(std::get<Placed>(decision).endpoint.incarnation == "b");
}
