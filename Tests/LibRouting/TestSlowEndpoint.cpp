#include <TestMain.h>

#include <LibRouting/RequestRouter.h>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

constexpr double usual_step_milliseconds = 4;
constexpr double tokens_per_sample = 64;

/// A box with an engine "fast" and an engine "slow" that is 2.4 times as slow.
struct Box {
    Box()
    {
        Configuration contents;
        contents.version = 1;
        Route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/";
        route.kind = RouteKind::Streaming;
        route.timeout = seconds(6);
        route.services = { { "pool", 1 } };
        route.max_attempts = 2;
        contents.routes = { route };
        contents.services = { { "pool", 96, EngineTraits { 64, 300'000, 8 } } };
        this->router.offer_configuration(
            std::make_shared<ConfigurationSnapshot const>(std::move(contents)), at(seconds(0)));
        this->put("fast", 1);
        this->put("slow", 1);
    }

    void put(std::string const& incarnation, std::uint64_t process_start)
    {
        EndpointRecord record { incarnation, "pool", { "10.0.0.1", 80 }, "hall", 64, false };
        record.started_at = process_start;
        this->router.put_endpoint(record, at(seconds(0)));
    }

    [[nodiscard]] Admitted admit(Instant now)
    {
        this->router.confirm_configuration(now);
        return std::get<Admitted>(this->router.admit({ "attempt", "h", "/x", "", seconds(6), this->workload }, now));
    }
    [[nodiscard]] Placed place(Instant now)
    {
        return std::get<Placed>(this->router.place(this->admit(now), this->workload, {}, now));
    }
    [[nodiscard]] EndpointId id(std::string const& incarnation) const
    {
        return this->router.endpoint_ids({ incarnation }).front();
    }
    void add_sample(EndpointId endpoint, double factor, Instant now)
    {
        auto const taken = Core::from_seconds(tokens_per_sample * usual_step_milliseconds * factor / 1000);
        this->router.answer_progressed(this->admit(now), endpoint, tokens_per_sample, taken, now);
    }
    /// Samples of both engines until `end`, those of the slow one at a third of the rate.
    void learn(Duration from, Duration end)
    {
        int sample = 0;
        for (auto moment = from; moment < end; moment += milliseconds(20)) {
            bool const is_slow = ++sample % 3 == 0;
            this->add_sample(this->id(is_slow ? "slow" : "fast"), is_slow ? 2.4 : 1, at(moment));
        }
    }

    Workload workload { { { 1, 2000 } }, 2000, 50 };
    RequestRouter router { { "hall", {}, {}, {} }, 7 };
};

}

TEST_CASE("an engine that is found to be slow gets requests only when the others have longer queues")
{
    Box box;
    box.learn(seconds(0), seconds(10));
    auto const now = at(seconds(10));
    CHECK(box.router.slow_endpoints(now) == 1);
    auto const placed = box.place(now);
    CHECK(placed.endpoint.incarnation == "fast");
    CHECK(placed.choice.figures.pace == 1);
    // Two prompts more take twice as long at the fast engine, which is still faster than the slow one.
    box.router.apply_load_report(1, { { { "fast", placed.choice.prefill, 1 } }, {} }, now);
    CHECK(box.place(now).endpoint.incarnation == "fast");
    box.router.apply_load_report(1, { { { "fast", 2 * placed.choice.prefill, 2 } }, {} }, now);
    auto const placed_at_slow = box.place(now);
    CHECK(placed_at_slow.endpoint.incarnation == "slow");
    CHECK(placed_at_slow.choice.figures.pace > 1.7);
    CHECK(Core::to_seconds(placed_at_slow.choice.prefill) > 1.7 * Core::to_seconds(placed.choice.prefill));
}

TEST_CASE("a change of an endpoint's pace is reported once, with the samples behind it")
{
    Box box;
    box.learn(seconds(0), seconds(10));
    auto const changes = box.router.take_pace_changes(at(seconds(10)));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].incarnation == "slow");
    CHECK(changes[0].is_slow);
    CHECK(changes[0].factor > 1.7);
    CHECK(changes[0].samples > 20);
    CHECK(box.router.take_pace_changes(at(seconds(10))).empty());
    // Without new samples it is used like the others again.
    auto const later = box.router.take_pace_changes(at(seconds(30)));
    REQUIRE(later.size() == 1);
    CHECK_FALSE(later[0].is_slow);
    CHECK(box.router.slow_endpoints(at(seconds(30))) == 0);
}

// Guards against an endpoint that is avoided because an earlier process at the same address was slow.
TEST_CASE("the factor ends with the endpoint's process, and late samples of that process count for none")
{
    Box box;
    box.learn(seconds(0), seconds(10));
    auto const earlier = box.id("slow");
    box.put("slow", 2);
    auto const now = at(seconds(10));
    static_cast<void>(box.router.expire_endpoints(now));
    CHECK(box.router.slow_endpoints(now) == 0);
    for (int sample = 0; sample < 100; ++sample)
        box.add_sample(earlier, 2.4, now + milliseconds(500) * sample);
    CHECK(box.router.slow_endpoints(now + seconds(50)) == 0);
    // Nor do answers that another box forwarded, whose endpoint is not known here.
    box.add_sample(EndpointId {}, 2.4, now);
    CHECK(box.router.slow_endpoints(now) == 0);
}

TEST_CASE("a box learns of slow endpoints from the load reports of others, and keeps that between their reports")
{
    std::vector<Box> senders(12);
    Box receiver;
    auto const now = at(seconds(10));
    for (std::size_t sender = 0; sender < senders.size(); ++sender) {
        auto& box = senders[sender];
        box.learn(seconds(0), seconds(10));
        // Only endpoints with requests of the sender are reported.
        auto const placed = box.place(now);
        for (auto const* name : { "fast", "slow" }) {
            auto choice = placed.choice;
            choice.endpoint = box.id(name);
            auto admitted = box.admit(now);
            box.router.attempt_started(admitted, box.workload, choice, now);
        }
        auto const report = box.router.load_report(now);
        REQUIRE(report.endpoints.size() == 2);
        for (auto const& share : report.endpoints)
            CHECK(share.pace.has_value());
        receiver.router.apply_load_report(sender + 1, report, now);
    }
    CHECK(receiver.router.slow_endpoints(now) == 1);
    CHECK(receiver.place(now).endpoint.incarnation == "fast");
    // A report without the endpoint says that the box has no more requests there, not that the endpoint is fast.
    for (std::size_t sender = 0; sender < senders.size(); ++sender)
        receiver.router.apply_load_report(sender + 1, {}, now + seconds(2));
    CHECK(receiver.router.slow_endpoints(now + seconds(2)) == 1);
    CHECK(receiver.place(now + seconds(2)).endpoint.incarnation == "fast");
    CHECK(receiver.router.slow_endpoints(now + seconds(10)) == 0);
}

// Guards against the first samples after a start, whose usual time is not known yet, marking endpoints as slow or fast.
TEST_CASE("samples don't count before the service's usual time is known")
{
    Box box;
    for (int sample = 0; sample < 50; ++sample)
        box.add_sample(box.id("fast"), 1, at(milliseconds(50) * sample));
    CHECK(box.router.load_report(at(milliseconds(2500))).endpoints.empty());
    CHECK(box.place(at(milliseconds(2500))).choice.figures.pace == 1);
    CHECK(box.router.take_pace_changes(at(milliseconds(2500))).empty());
}
