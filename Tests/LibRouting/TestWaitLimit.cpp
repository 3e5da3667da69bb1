#include <TestMain.h>

#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const now = Instant {} + seconds(100);

/// A box with two engines; another box reports the queues there.
struct Box {
    explicit Box(Duration goal, unsigned priority = 0)
    {
        Configuration contents;
        contents.version = 1;
        Route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.kind = RouteKind::Streaming;
        route.timeout = seconds(6);
        route.goal = goal;
        route.priority = priority;
        route.services = { { "pool", 1 } };
        route.max_attempts = 2;
        auto other = route;
        other.path_prefix = "/other/";
        other.priority = 2;
        other.goal = priority == 0 ? goal : milliseconds(1200);
        contents.routes = { route, other };
        contents.services = { { "pool", 96, EngineTraits { 64, 300'000, 3 } } };
        this->router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(contents)), now);
        for (auto const* name : { "a", "b" })
            this->router.put_endpoint({ name, "pool", { "10.0.0.1", 80 }, "hall", 64, false }, now);
    }

    void queue(Duration on_a, Duration on_b)
    {
        this->router.apply_load_report(1, { { { "a", on_a, 1 }, { "b", on_b, 1 } }, {} }, now);
    }
    [[nodiscard]] std::variant<Placed, Rejected> place(
        std::uint32_t prompt_tokens, std::vector<EndpointId> const& tried = {})
    {
        Workload const workload { { { 1, prompt_tokens } }, prompt_tokens, 50 };
        RequestHead const head { "attempt", "h", "/x", "", seconds(6), workload };
        auto const admitted = std::get<Admitted>(this->router.admit(head, now));
        return this->router.place(admitted, workload, tried, now);
    }
    [[nodiscard]] bool takes(std::uint32_t prompt_tokens)
    {
        return std::holds_alternative<Placed>(this->place(prompt_tokens));
    }

    RequestRouter router { { "hall", {}, {}, {} }, 7 };
};

}

TEST_CASE("a request that even the best engine would begin too late is refused with a time to retry")
{
    Box box(milliseconds(600));
    box.queue(seconds(2), milliseconds(100));
    CHECK(box.takes(1000));
    box.queue(seconds(2), seconds(1));
    auto const decision = box.place(1000);
    auto const* const refused = std::get_if<Rejected>(&decision);
    REQUIRE(refused);
    CHECK(refused->reason == Reason::BacklogTooLong);
    REQUIRE(refused->retry_after);
    // Not before the excess is worked off, and not much later than the whole backlog.
    CHECK(*refused->retry_after >= milliseconds(600));
    CHECK(*refused->retry_after <= milliseconds(2000));
}

TEST_CASE("a long prompt may wait less than a short one, but a very long one is not refused for a short queue")
{
    Box box(milliseconds(600));
    box.queue(milliseconds(250), milliseconds(250));
    CHECK(box.takes(1000));
    // Reading takes 200 ms at the default speed.
    CHECK_FALSE(box.takes(10'000));
    box.queue(milliseconds(140), milliseconds(140));
    CHECK(box.takes(10'000));
    CHECK(box.takes(60'000));
}

TEST_CASE("there is no wait limit at an idle engine, on a route without a goal and for a retry")
{
    Box box(milliseconds(600));
    CHECK(box.takes(100'000));
    Box without_goal(Duration { 0 });
    without_goal.queue(seconds(2), seconds(2));
    CHECK(without_goal.takes(1000));
    box.queue(seconds(2), seconds(2));
    CHECK(std::holds_alternative<Placed>(box.place(1000, { EndpointId { 1 } })));
}

TEST_CASE("an urgent request is not refused while a less urgent one is accepted")
{
    for (auto const wait : { milliseconds(100), milliseconds(400), milliseconds(700), milliseconds(1500) }) {
        CAPTURE(wait.count());
        Box urgent(milliseconds(500), 1);
        urgent.queue(wait, wait);
        Box less_urgent(milliseconds(1200), 2);
        less_urgent.queue(wait, wait);
        auto const takes_urgent = urgent.takes(2400);
        auto const takes_less_urgent = less_urgent.takes(9200);
        CHECK((takes_urgent || !takes_less_urgent));
    }
    // Only the less urgent route with the longer goal keeps the urgent route from being refused.
    Box urgent(milliseconds(500), 1);
    urgent.queue(milliseconds(600), milliseconds(600));
    CHECK(urgent.takes(2400));
    urgent.queue(milliseconds(900), milliseconds(900));
    CHECK_FALSE(urgent.takes(2400));
}

TEST_CASE("clients that are refused together retry at different times")
{
    Box box(milliseconds(600));
    box.queue(seconds(2), seconds(2));
    std::set<Duration> times;
    for (int client = 0; client < 50; ++client) {
        auto const decision = box.place(1000);
        times.insert(*std::get<Rejected>(decision).retry_after);
    }
    CHECK(times.size() > 45);
    CHECK(*times.rbegin() - *times.begin() > seconds(1));
}
