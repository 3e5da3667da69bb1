#include <LibLeader/FleetPlan.h>

#include <algorithm>
#include <cmath>

namespace Leader {

namespace {

std::int64_t second_of(Instant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

/// What the policy asks for, of a demand that may not be known yet and the most servers there can be.
struct Target {
    std::optional<double> demand;
    /// For how long demand has been seen.
    Duration known_for { 0 };
    unsigned most { 0 };

    unsigned operator()(WholeFleet const&) const { return this->most; }
    unsigned operator()(FollowDemand const& follow) const
    {
        if (!this->demand || this->known_for < follow.memory)
            return this->most;
        auto const needed = std::ceil(*this->demand * follow.headroom);
        return static_cast<unsigned>(std::clamp(needed, 0.0, static_cast<double>(this->most)));
    }
};

/// How long demand counts; nothing where it doesn't matter.
struct Memory {
    Duration operator()(WholeFleet const&) const { return Duration { 0 }; }
    Duration operator()(FollowDemand const& follow) const { return follow.memory; }
};

unsigned sum_of(Fleet const& fleet, ServerKind kind)
{
    unsigned sum = 0;
    for (auto const& [domain, counts] : fleet)
        sum += counts.of(kind);
    return sum;
}

}

void FleetPlan::observe_demand(std::optional<double> servers, Instant now)
{
    if (!servers)
        return;
    if (!this->demand_known_since)
        this->demand_known_since = now;
    auto& largest = this->demand_by_second[second_of(now)];
    largest = std::max(largest, *servers);
    auto const memory = std::chrono::duration_cast<std::chrono::seconds>(std::visit(Memory {}, this->policy)).count();
    this->demand_by_second.erase(
        this->demand_by_second.begin(), this->demand_by_second.lower_bound(second_of(now) - memory));
}

std::optional<double> FleetPlan::demand() const
{
    if (this->demand_by_second.empty())
        return {};
    return std::ranges::max_element(this->demand_by_second, {}, [](auto const& entry) { return entry.second; })->second;
}

unsigned FleetPlan::target(Routing::ServerScaling const& scaling, Instant now) const
{
    auto const domains = static_cast<unsigned>(scaling.domain_prices.size());
    auto const most = domains * scaling.max_servers;
    auto const least = domains * std::max(1U, scaling.min_servers);
    auto const known_for = now - this->demand_known_since.value_or(now);
    return std::max(least, std::visit(Target { this->demand(), known_for, most }, this->policy));
}

bool FleetPlan::is_refused(std::string const& domain, ServerKind kind) const
{
    auto const found = this->orders.find({ domain, kind });
    return found != this->orders.end() && found->second.is_refused;
}

Fleet FleetPlan::wanted(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const
{
    return this->plan(scaling, running, now).fleet;
}

FleetPlan::Plan FleetPlan::plan(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const
{
    Plan plan;
    auto const domains = static_cast<unsigned>(scaling.domain_prices.size());
    if (domains == 0)
        return plan;
    bool const is_revocable_cheap
        = scaling.revocable_price && *scaling.revocable_price <= dearest_revocable && scaling.max_servers > 1;
    auto const target = this->target(scaling, now);
    auto const share = (target + domains - 1) / domains;
    auto const floor = std::max(1U, scaling.min_servers);
    // NOTE: With a single failure domain all cheap servers may go at once, so half of the others stay.
    auto const permanent_floor = domains > 1 ? floor : std::max(floor, share / 2);
    auto const revocable_share = is_revocable_cheap && share > permanent_floor ? share - permanent_floor : 0;
    auto const permanent_share = is_revocable_cheap ? permanent_floor : std::max(floor, share);
    auto const revocable_running = sum_of(running, ServerKind::Revocable);
    auto const permanent_running = sum_of(running, ServerKind::Permanent);
    auto const kept_after = revocable_running + domains * permanent_share;
    // NOTE: What runs is given back once those that replace it take requests, or cover as much as runs now.
    plan.is_replaced = kept_after >= static_cast<unsigned>(replaced_share * static_cast<double>(target))
        || revocable_running >= permanent_running;
    auto lacking = target > kept_after ? target - kept_after : 0;
    std::vector<std::pair<double, std::string>> by_price;
    for (auto const& [domain, price] : scaling.domain_prices)
        by_price.emplace_back(price, domain);
    std::ranges::sort(by_price);
    for (auto const& [price, domain] : by_price) {
        auto const found = running.find(domain);
        auto const here = found == running.end() ? ServerCounts {} : found->second;
        ServerCounts counts { permanent_share, revocable_share };
        if (!plan.is_replaced)
            counts.permanent = std::max(counts.permanent, here.permanent);
        // NOTE: Where no cheap ones are to be had, others make up what the demand lacks, the cheapest domain first.
        if (plan.is_replaced && this->demand() && this->is_refused(domain, ServerKind::Revocable)) {
            auto const needed = static_cast<unsigned>(std::ceil(*this->demand()));
            auto const short_of = needed > kept_after ? std::min(lacking, needed - kept_after) : 0;
            auto const added
                = std::min(short_of, scaling.max_servers - std::min(scaling.max_servers, counts.permanent));
            counts.permanent += added;
            lacking -= added;
        }
        counts.permanent = std::min(counts.permanent, scaling.max_servers);
        counts.revocable = std::min(counts.revocable, scaling.max_servers - counts.permanent);
        plan.fleet.emplace(domain, counts);
    }
    return plan;
}

std::vector<ServerOrder> FleetPlan::orders_due(
    Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const
{
    std::vector<ServerOrder> due;
    auto const consider = [&](std::string const& domain, ServerKind kind, unsigned count, unsigned there) {
        auto const found = this->orders.find({ domain, kind });
        if (found == this->orders.end()) {
            due.push_back({ domain, kind, count });
            return;
        }
        auto const& order = found->second;
        bool const is_changed = order.count != count;
        bool const is_missing = there < count && now - order.at >= scaling.start_time + start_margin;
        if ((is_changed || is_missing || order.is_refused) && now >= order.retry_at)
            due.push_back({ domain, kind, count });
    };
    auto const plan = this->plan(scaling, running, now);
    for (auto const& [domain, counts] : plan.fleet) {
        auto const found = running.find(domain);
        auto const here = found == running.end() ? ServerCounts {} : found->second;
        if (scaling.revocable_price)
            consider(domain, ServerKind::Revocable, counts.revocable, here.revocable);
        // NOTE: What runs stays without an order, and the list of servers may not be whole yet.
        if (plan.is_replaced)
            consider(domain, ServerKind::Permanent, counts.permanent, here.permanent);
    }
    return due;
}

void FleetPlan::accepted(ServerOrder const& order, Instant now)
{
    auto& placed = this->orders[{ order.domain, order.kind }];
    // NOTE: An order that is given again since its servers did not come waits longer each time.
    bool const is_repeated = placed.count == order.count && !placed.is_refused && placed.at != Instant {};
    placed.pause = is_repeated ? std::min(std::max(2 * placed.pause, first_pause), longest_pause) : Duration { 0 };
    placed.count = order.count;
    placed.at = now;
    placed.retry_at = now + placed.pause;
    placed.is_refused = false;
}

void FleetPlan::refused(ServerOrder const& order, Instant now)
{
    auto& placed = this->orders[{ order.domain, order.kind }];
    placed.pause = placed.is_refused ? std::min(2 * placed.pause, longest_pause) : first_pause;
    placed.count = order.count;
    placed.at = now;
    placed.retry_at = now + placed.pause;
    placed.is_refused = true;
}

}
