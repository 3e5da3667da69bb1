#include <LibLeader/FleetPlan.h>

#include <algorithm>
#include <cmath>

namespace Leader {

namespace {

std::int64_t second_of(Instant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

/// Computes the number of servers that the policy calls for.
struct TargetCount {
    std::optional<double> demand;
    /// How long demand has been observed.
    Duration observed_for { 0 };
    unsigned max_servers { 0 };

    unsigned operator()(MaximumFleet const&) const { return this->max_servers; }
    unsigned operator()(FollowDemand const& follow) const
    {
        if (!this->demand || this->observed_for < follow.demand_window)
            return this->max_servers;
        auto const needed = std::ceil(*this->demand * follow.headroom);
        return static_cast<unsigned>(std::clamp(needed, 0.0, static_cast<double>(this->max_servers)));
    }
};

/// Length of the demand window; 0 for a policy without one.
struct DemandWindow {
    Duration operator()(MaximumFleet const&) const { return Duration { 0 }; }
    Duration operator()(FollowDemand const& follow) const { return follow.demand_window; }
};

unsigned sum_of(Fleet const& fleet, ServerKind kind)
{
    unsigned sum = 0;
    for (auto const& [domain, counts] : fleet)
        sum += counts.of(kind);
    return sum;
}

}

Routing::ServerScaling without_domains(Routing::ServerScaling scaling, std::set<std::string> const& domains)
{
    std::erase_if(scaling.domain_prices, [&](auto const& price) { return domains.contains(price.first); });
    return scaling;
}

void FleetPlan::observe_demand(std::optional<double> servers, Instant now)
{
    if (!servers)
        return;
    if (!this->demand_observed_since)
        this->demand_observed_since = now;
    auto& largest = this->demand_by_second[second_of(now)];
    largest = std::max(largest, *servers);
    auto const demand_window
        = std::chrono::duration_cast<std::chrono::seconds>(std::visit(DemandWindow {}, this->policy)).count();
    this->demand_by_second.erase(
        this->demand_by_second.begin(), this->demand_by_second.lower_bound(second_of(now) - demand_window));
}

std::optional<double> FleetPlan::demand() const
{
    if (this->demand_by_second.empty())
        return {};
    return std::ranges::max_element(this->demand_by_second, {}, [](auto const& entry) { return entry.second; })->second;
}

unsigned FleetPlan::target_count(Routing::ServerScaling const& scaling, Instant now) const
{
    auto const domains = static_cast<unsigned>(scaling.domain_prices.size());
    auto const max_servers = domains * scaling.max_servers;
    auto const min_servers = domains * std::max(1U, scaling.min_servers);
    auto const observed_for = now - this->demand_observed_since.value_or(now);
    return std::max(min_servers, std::visit(TargetCount { this->demand(), observed_for, max_servers }, this->policy));
}

bool FleetPlan::is_refused(std::string const& domain, ServerKind kind) const
{
    auto const found = this->orders.find({ domain, kind });
    return found != this->orders.end() && found->second.is_refused;
}

Fleet FleetPlan::target_fleet(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const
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
        = scaling.revocable_price && *scaling.revocable_price <= max_revocable_price_ratio && scaling.max_servers > 1;
    auto const target_count = this->target_count(scaling, now);
    auto const share = (target_count + domains - 1) / domains;
    auto const floor = std::max(1U, scaling.min_servers);
    // NOTE: With a single failure domain all revocable servers may be revoked at once, so half of the servers are
    // permanent.
    auto const permanent_floor = domains > 1 ? floor : std::max(floor, share / 2);
    auto const revocable_share = is_revocable_cheap && share > permanent_floor ? share - permanent_floor : 0;
    auto const permanent_share = is_revocable_cheap ? permanent_floor : std::max(floor, share);
    auto const revocable_running = sum_of(running, ServerKind::Revocable);
    auto const permanent_running = sum_of(running, ServerKind::Permanent);
    auto const servers_after_release = revocable_running + domains * permanent_share;
    // NOTE: Running permanent servers are released once enough replacements accept requests, or once there are as many
    // revocable servers as permanent ones.
    plan.may_release
        = servers_after_release >= static_cast<unsigned>(min_replacement_share * static_cast<double>(target_count))
        || revocable_running >= permanent_running;
    auto missing = target_count > servers_after_release ? target_count - servers_after_release : 0;
    std::vector<std::pair<double, std::string>> by_price;
    for (auto const& [domain, price] : scaling.domain_prices)
        by_price.emplace_back(price, domain);
    std::ranges::sort(by_price);
    for (auto const& [price, domain] : by_price) {
        auto const found = running.find(domain);
        auto const running_here = found == running.end() ? ServerCounts {} : found->second;
        ServerCounts counts { permanent_share, revocable_share };
        if (!plan.may_release)
            counts.permanent = std::max(counts.permanent, running_here.permanent);
        // NOTE: Where revocable servers are unavailable, permanent ones cover the missing demand, in the cheapest
        // domain first.
        if (plan.may_release && this->demand() && this->is_refused(domain, ServerKind::Revocable)) {
            auto const needed = static_cast<unsigned>(std::ceil(*this->demand()));
            auto const shortfall
                = needed > servers_after_release ? std::min(missing, needed - servers_after_release) : 0;
            auto const added
                = std::min(shortfall, scaling.max_servers - std::min(scaling.max_servers, counts.permanent));
            counts.permanent += added;
            missing -= added;
        }
        counts.permanent = std::min(counts.permanent, scaling.max_servers);
        counts.revocable = std::min(counts.revocable, scaling.max_servers - counts.permanent);
        plan.fleet.emplace(domain, counts);
    }
    return plan;
}

std::vector<ServerOrder> FleetPlan::due_orders(
    Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const
{
    std::vector<ServerOrder> due;
    auto const add_if_due = [&](std::string const& domain, ServerKind kind, unsigned count, unsigned running_count) {
        auto const found = this->orders.find({ domain, kind });
        if (found == this->orders.end()) {
            due.push_back({ domain, kind, count });
            return;
        }
        auto const& order = found->second;
        bool const is_changed = order.count != count;
        bool const is_missing = running_count < count && now - order.at >= scaling.start_time + start_margin;
        if ((is_changed || is_missing || order.is_refused) && now >= order.retry_at)
            due.push_back({ domain, kind, count });
    };
    auto const plan = this->plan(scaling, running, now);
    for (auto const& [domain, counts] : plan.fleet) {
        auto const found = running.find(domain);
        auto const running_here = found == running.end() ? ServerCounts {} : found->second;
        if (scaling.revocable_price)
            add_if_due(domain, ServerKind::Revocable, counts.revocable, running_here.revocable);
        // NOTE: Permanent servers keep running without an order, and the list of running servers may still be
        // incomplete.
        if (plan.may_release)
            add_if_due(domain, ServerKind::Permanent, counts.permanent, running_here.permanent);
    }
    return due;
}

void FleetPlan::accepted(ServerOrder const& order, Instant now)
{
    auto& state = this->orders[{ order.domain, order.kind }];
    // NOTE: An order that is repeated because its servers did not start waits longer each time.
    bool const is_repeated = state.count == order.count && !state.is_refused && state.at != Instant {};
    state.pause
        = is_repeated ? std::min(std::max(2 * state.pause, first_retry_pause), max_retry_pause) : Duration { 0 };
    state.count = order.count;
    state.at = now;
    state.retry_at = now + state.pause;
    state.is_refused = false;
}

void FleetPlan::refused(ServerOrder const& order, Instant now)
{
    auto& state = this->orders[{ order.domain, order.kind }];
    state.pause = state.is_refused ? std::min(2 * state.pause, max_retry_pause) : first_retry_pause;
    state.count = order.count;
    state.at = now;
    state.retry_at = now + state.pause;
    state.is_refused = true;
}

}
