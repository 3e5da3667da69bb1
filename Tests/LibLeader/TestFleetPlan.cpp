#include <TestMain.h>

#include <LibLeader/FleetPlan.h>

#include <algorithm>

using namespace Leader;

namespace {

Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

Routing::ServerScaling scaling(std::optional<double> revocable_price = 0.15)
{
    return { 1, 40, std::chrono::seconds(4), revocable_price, { { "a", 0.8 }, { "b", 1.2 }, { "c", 1.0 } } };
}

unsigned total(Fleet const& fleet, ServerKind kind)
{
    unsigned sum = 0;
    for (auto const& [domain, counts] : fleet)
        sum += counts.of(kind);
    return sum;
}

/// A platform that starts and stops servers as ordered, in virtual time.
struct Platform {
    Fleet running;
    Fleet ordered;
    std::vector<std::pair<Instant, ServerOrder>> starting;
    std::optional<std::string> sold_out_domain;
    unsigned calls { 0 };

    void place(FleetPlan& plan, ServerOrder const& order, Instant now)
    {
        ++this->calls;
        auto& counts = this->running[order.domain];
        bool const is_more = order.count > counts.of(order.kind);
        if (is_more && this->sold_out_domain && order.kind == ServerKind::Revocable
            && *this->sold_out_domain == order.domain) {
            plan.refused(order, now);
            return;
        }
        plan.accepted(order, now);
        if (is_more)
            this->starting.emplace_back(now + std::chrono::seconds(4), order);
        else
            set(counts, order);
    }

    static void set(ServerCounts& counts, ServerOrder const& order)
    {
        (order.kind == ServerKind::Permanent ? counts.permanent : counts.revocable) = order.count;
    }

    void run(FleetPlan& plan, Instant now, std::optional<double> demand)
    {
        for (auto const& [ready_at, order] : this->starting) {
            if (ready_at == now)
                set(this->running[order.domain], order);
        }
        plan.observe_demand(demand, now);
        for (auto const& order : plan.due_orders(scaling(), this->running, now))
            this->place(plan, order, now);
    }

    /// From one moment to another, in steps of half a second.
    void run(FleetPlan& plan, std::int64_t from, std::int64_t until, std::optional<double> demand)
    {
        for (auto now = from; now < until; now += 500)
            this->run(plan, at(now), demand);
    }
};

Platform with_permanent(unsigned count)
{
    Platform platform;
    for (auto const* domain : { "a", "b", "c" })
        platform.running[domain] = { count, 0 };
    return platform;
}

}

TEST_CASE("revocable servers are ordered first, and permanent ones are released only once those accept requests")
{
    FleetPlan plan(MaximumFleet {});
    auto platform = with_permanent(20);
    platform.run(plan, 0, 4000, {});
    CHECK(total(platform.running, ServerKind::Permanent) == 60);
    platform.run(plan, 4000, 5000, {});
    CHECK(total(platform.running, ServerKind::Permanent) == 3);
    CHECK(total(platform.running, ServerKind::Revocable) == 60);
    platform.run(plan, 5000, 10'000, {});
    CHECK(total(platform.running, ServerKind::Revocable) == 117);
}

TEST_CASE("no more servers are ordered in a failure domain than allowed")
{
    FleetPlan plan(MaximumFleet {});
    for (auto const permanent : { 0U, 1U, 20U, 39U, 40U }) {
        auto const fleet = plan.target_fleet(scaling(), with_permanent(permanent).running, at(0));
        for (auto const& [domain, counts] : fleet) {
            CHECK(counts.all() <= 40);
            CHECK(counts.all() >= 1);
        }
    }
}

TEST_CASE("without revocable servers, permanent ones carry the whole load")
{
    FleetPlan plan(MaximumFleet {});
    auto const fleet = plan.target_fleet(scaling({}), with_permanent(20).running, at(0));
    CHECK(total(fleet, ServerKind::Permanent) == 120);
    CHECK(total(fleet, ServerKind::Revocable) == 0);
}

TEST_CASE("with a single failure domain, half of the servers are permanent")
{
    FleetPlan plan(MaximumFleet {});
    Routing::ServerScaling const alone { 1, 40, std::chrono::seconds(4), 0.15, { { "a", 1.0 } } };
    auto const fleet = plan.target_fleet(alone, { { "a", { 20, 20 } } }, at(0));
    CHECK(fleet.at("a").permanent == 20);
    CHECK(fleet.at("a").revocable == 20);
}

TEST_CASE("FollowDemand orders servers for the largest demand of the window, and fewer when demand stays low")
{
    FleetPlan plan(FollowDemand { 2, std::chrono::seconds(30) });
    auto platform = with_permanent(20);
    platform.run(plan, 0, 10'000, {});
    CHECK(total(platform.running, ServerKind::Revocable) == 117);
    // The first observed demand is a low one; no servers are released because of it.
    platform.run(plan, 10'000, 39'500, 15.0);
    CHECK(total(platform.running, ServerKind::Revocable) == 117);
    platform.run(plan, 39'500, 42'000, 15.0);
    CHECK(total(platform.running, ServerKind::Revocable) + 3 == 30);
    platform.run(plan, 42'000, 50'000, 40.0);
    CHECK(total(platform.running, ServerKind::Revocable) + 3 == 81);
    platform.run(plan, 50'000, 75'000, 15.0);
    CHECK(total(platform.running, ServerKind::Revocable) + 3 == 81);
    platform.run(plan, 75'000, 85'000, 15.0);
    CHECK(total(platform.running, ServerKind::Revocable) + 3 == 30);
}

// All revocable servers of one failure domain are revoked and none is available there for ten seconds, while the demand
// needs more servers than the other domains have.
TEST_CASE("permanent servers cover demand while a failure domain has no revocable ones, then they are released")
{
    FleetPlan plan(FollowDemand { 1.5, std::chrono::seconds(30) });
    auto platform = with_permanent(20);
    platform.run(plan, 0, 20'000, 75.0);
    REQUIRE(total(platform.running, ServerKind::Revocable) + 3 >= 113);
    platform.running["a"].revocable = 0;
    platform.sold_out_domain = "a";
    platform.run(plan, 20'000, 26'000, 75.0);
    CHECK(total(platform.running, ServerKind::Permanent) + total(platform.running, ServerKind::Revocable) >= 75);
    auto const calls = platform.calls;
    platform.run(plan, 26'000, 30'000, 75.0);
    CHECK(platform.calls - calls <= 4);
    platform.sold_out_domain.reset();
    platform.run(plan, 30'000, 50'000, 75.0);
    CHECK(total(platform.running, ServerKind::Permanent) == 3);
    CHECK(platform.running.at("a").revocable >= 36);
}

// Guards against orders for servers that may get no requests, while the other failure domains are short of them.
TEST_CASE("while a failure domain is evacuated, its servers are ordered in the others and its own orders stay")
{
    FleetPlan plan(FollowDemand { 1.5, std::chrono::seconds(30) });
    auto platform = with_permanent(20);
    platform.run(plan, 0, 40'000, 40.0);
    CHECK(total(platform.running, ServerKind::Revocable) + 3 == 60);
    auto running = platform.running;
    running.erase("a");
    for (auto const& order : plan.due_orders(without_domains(scaling(), { "a" }), running, at(40'000))) {
        CHECK(order.domain != "a");
        if (order.kind == ServerKind::Revocable)
            CHECK(order.count == 29);
    }
    CHECK(plan.due_orders(without_domains(scaling(), { "a", "b", "c" }), {}, at(40'000)).empty());
    CHECK(plan.due_orders(scaling(), platform.running, at(40'000)).empty());
}

TEST_CASE("an order whose servers did not start is repeated at growing intervals")
{
    FleetPlan plan(MaximumFleet {});
    Fleet const running { { "a", { 1, 0 } }, { "b", { 1, 0 } }, { "c", { 1, 0 } } };
    unsigned orders = 0;
    for (std::int64_t now = 0; now < 60'000; now += 500) {
        for (auto const& order : plan.due_orders(scaling(), running, at(now))) {
            plan.accepted(order, at(now));
            ++orders;
        }
    }
    CHECK(orders >= 6 + 3);
    CHECK(orders <= 6 + 3 * 9);
}

TEST_CASE("a new leader sends each of its orders once")
{
    FleetPlan plan(MaximumFleet {});
    Fleet const running { { "a", { 1, 39 } }, { "b", { 1, 39 } }, { "c", { 1, 39 } } };
    auto const due = plan.due_orders(scaling(), running, at(0));
    CHECK(due.size() == 6);
    for (auto const& order : due)
        plan.accepted(order, at(0));
    CHECK(plan.due_orders(scaling(), running, at(60'000)).empty());
}
