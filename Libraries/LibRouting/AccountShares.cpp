#include <LibRouting/AccountShares.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Routing {

namespace {

double bounded_amount(double amount)
{
    return std::isfinite(amount) ? std::clamp(amount, 0.0, AccountShares::max_amount) : 0;
}

AccountWork bounded(AccountWork const& work)
{
    return { bounded_amount(work.admitted), bounded_amount(work.refused) };
}

/// The report without invalid amounts and without accounts beyond the limit.
AccountReport bounded(AccountReport const& report)
{
    AccountReport valid;
    auto const count = std::min(report.largest.size(), AccountShares::max_named);
    for (std::size_t index = 0; index < count; ++index)
        valid.largest.push_back({ report.largest[index].account, bounded(report.largest[index].work) });
    valid.rest = bounded(report.rest);
    return valid;
}

}

AccountKey account_key(std::string_view name)
{
    return AccountKey { static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())) };
}

void AccountShares::Sums::add(Sums const& other)
{
    this->requested += other.requested;
    this->admitted += other.admitted;
}

void AccountShares::Sums::subtract(Sums const& other)
{
    this->requested = std::max(0.0, this->requested - other.requested);
    this->admitted = std::max(0.0, this->admitted - other.admitted);
}

AccountShares::Sums AccountShares::Sums::scaled_by(double factor) const
{
    return { this->requested * factor, this->admitted * factor };
}

void AccountShares::add_requested(AccountKey account, double work, Core::Instant now)
{
    auto const added = bounded_amount(work);
    this->sizes.add(added, now);
    this->squares.add(added * added, now);
    auto* const entry = this->own_account(account, now);
    if (entry == nullptr)
        return;
    this->leave_group(*entry);
    entry->own.requested += added * this->scale(now);
    this->join_group(*entry);
}

void AccountShares::add_admitted(AccountKey account, double work, Core::Instant now)
{
    auto* const entry = this->own_account(account, now);
    if (entry == nullptr)
        return;
    auto const added = bounded_amount(work) * this->scale(now);
    this->leave_group(*entry);
    entry->own.admitted += added;
    this->admitted += added;
    this->join_group(*entry);
}

void AccountShares::apply_peer(std::uint64_t box, AccountReport const& report, Core::Instant at)
{
    this->limit_scale(at);
    this->expire_peers(at);
    auto const found = this->peers.find(box);
    if (found != this->peers.end()) {
        this->remove_peer(found->second);
        this->peers.erase(found);
    }
    if (report.is_empty() || this->peers.size() >= max_peers)
        return;
    this->add_peer(this->peers.emplace(box, Peer { bounded(report), at }).first->second);
    this->next_expiry = std::min(this->next_expiry, at + report_retention);
}

AccountReport AccountShares::own_report(Core::Instant now) const
{
    auto const unscaled = 1 / this->scale(now);
    double all = 0;
    for (auto const& [key, account] : this->accounts)
        all += account.own.demand();
    AccountReport report;
    for (auto const& [key, account] : this->accounts) {
        auto const demand = account.own.demand();
        if (demand <= 0)
            continue;
        AccountWork const work { account.own.admitted * unscaled, (demand - account.own.admitted) * unscaled };
        if (demand >= all * min_named_share) {
            report.largest.push_back({ key, work });
            continue;
        }
        report.rest.admitted += work.admitted;
        report.rest.refused += work.refused;
    }
    std::ranges::sort(report.largest, std::ranges::greater {},
        [](auto const& named) { return std::pair(named.work.admitted + named.work.refused, named.account); });
    while (report.largest.size() > max_named) {
        report.rest.admitted += report.largest.back().work.admitted;
        report.rest.refused += report.largest.back().work.refused;
        report.largest.pop_back();
    }
    return report;
}

AccountStanding AccountShares::standing(AccountKey account, std::size_t configured, Core::Instant now)
{
    this->limit_scale(now);
    this->expire_peers(now);
    auto const found = this->accounts.find(account);
    auto const all = this->admitted_by_all();
    if (found == this->accounts.end() || all <= 0)
        return {};
    auto const held = found->second.admitted();
    auto const fair = std::min(this->fair_amount(configured), all);
    auto const sizes = this->sizes.value(now);
    auto const typical_size = sizes > 0 ? this->squares.value(now) / sizes * this->scale(now) : 0;
    // NOTE: Since older requests count for less, the variance of the sum is half of that of a plain sum.
    auto const tolerated = fair + tolerated_deviations * std::sqrt(fair * typical_size / 2);
    AccountStanding standing { 1, held / all, fair / all, this->has_demand_above(tolerated * flood_ratio) };
    if (held > tolerated) {
        auto const ratio = tolerated / held;
        standing.limit_factor = std::max(min_limit_factor, ratio * ratio);
    }
    return standing;
}

double AccountShares::fair_amount(std::size_t configured) const
{
    // NOTE: Accounts that reports don't name have less work than the named ones, so they are granted their demand.
    auto left = std::max(0.0, this->admitted_by_all() - this->rest.demand() * demand_headroom);
    auto const equal_share = this->admitted_by_all() / static_cast<double>(std::max<std::size_t>(configured, 1));
    auto count = this->accounts.size();
    for (std::size_t group = 0; group < group_count && count > 0; ++group) {
        if (this->groups[group].count == 0)
            continue;
        auto const equal_rest = left / static_cast<double>(count);
        if (equal_rest < group_start(group + 1) * demand_headroom)
            return std::max(equal_rest, equal_share);
        left -= this->groups[group].demand * demand_headroom;
        count -= std::min(count, this->groups[group].count);
    }
    return this->admitted_by_all();
}

bool AccountShares::has_demand_above(double amount) const
{
    auto const above = this->groups.begin() + static_cast<std::ptrdiff_t>(group_of(amount)) + 1;
    return std::any_of(above, this->groups.end(), [](Group const& group) { return group.count > 0; });
}

double AccountShares::scale(Core::Instant at) const
{
    return std::exp2(Core::to_seconds(at - this->scaled_from) / Core::to_seconds(half_life));
}

void AccountShares::limit_scale(Core::Instant now)
{
    auto const elapsed = (now - this->scaled_from) / half_life;
    if (elapsed <= max_half_lives)
        return;
    // NOTE: By a whole number of half-lives, so that every account moves by the same number of groups.
    auto const factor = std::exp2(-static_cast<double>(elapsed));
    auto const moved = static_cast<std::size_t>(elapsed) * groups_per_doubling;
    this->scaled_from += elapsed * half_life;
    this->rest = this->rest.scaled_by(factor);
    for (auto& [key, account] : this->accounts) {
        account.own = account.own.scaled_by(factor);
        account.of_peers = account.of_peers.scaled_by(factor);
        account.group -= std::min(account.group, moved);
    }
    erase_if(this->accounts,
        [](auto const& entry) { return entry.second.reports == 0 && entry.second.own.demand() < negligible_work; });
    this->admitted = 0;
    this->groups.fill({});
    for (auto const& [key, account] : this->accounts) {
        this->admitted += account.admitted();
        this->groups[account.group].add(account.demand());
    }
}

std::size_t AccountShares::group_of(double demand)
{
    if (demand <= 1)
        return 0;
    auto const group = static_cast<std::size_t>(std::log2(demand) * groups_per_doubling);
    return std::min(group, group_count - 1);
}

double AccountShares::group_start(std::size_t group)
{
    static auto const starts = [] {
        std::array<double, group_count + 1> computed {};
        for (std::size_t index = 0; index < computed.size(); ++index)
            computed[index] = std::exp2(static_cast<double>(index) / groups_per_doubling);
        return computed;
    }();
    return starts[group];
}

void AccountShares::join_group(Account& account)
{
    auto const demand = account.demand();
    account.group = group_of(demand);
    this->groups[account.group].add(demand);
}

void AccountShares::leave_group(Account const& account)
{
    auto& group = this->groups[account.group];
    --group.count;
    // NOTE: An empty group is set to exactly 0, so that rounding errors don't add up.
    group.demand = group.count == 0 ? 0 : std::max(0.0, group.demand - account.demand());
}

AccountShares::Account* AccountShares::own_account(AccountKey key, Core::Instant now)
{
    this->limit_scale(now);
    auto found = this->accounts.find(key);
    if (found == this->accounts.end()) {
        if (this->accounts.size() >= max_accounts)
            return nullptr;
        found = this->accounts.emplace(key, Account {}).first;
        this->join_group(found->second);
    }
    return &found->second;
}

void AccountShares::add_peer(Peer& peer)
{
    auto const factor = this->scale(peer.at);
    std::erase_if(peer.report.largest, [this](NamedAccountWork const& named) {
        return this->accounts.size() + max_named > max_accounts_of_peers && !this->accounts.contains(named.account);
    });
    for (auto const& [key, work] : peer.report.largest) {
        Sums const sums = Sums { work.admitted + work.refused, work.admitted }.scaled_by(factor);
        auto found = this->accounts.find(key);
        if (found == this->accounts.end()) {
            found = this->accounts.emplace(key, Account {}).first;
        } else {
            this->leave_group(found->second);
        }
        found->second.of_peers.add(sums);
        ++found->second.reports;
        this->admitted += sums.admitted;
        this->join_group(found->second);
    }
    auto const& rest = peer.report.rest;
    this->rest.add(Sums { rest.admitted + rest.refused, rest.admitted }.scaled_by(factor));
}

void AccountShares::remove_peer(Peer const& peer)
{
    auto const factor = this->scale(peer.at);
    for (auto const& [key, work] : peer.report.largest) {
        auto const found = this->accounts.find(key);
        if (found == this->accounts.end() || found->second.reports == 0)
            continue;
        auto& account = found->second;
        this->leave_group(account);
        auto const admitted_before = account.admitted();
        account.of_peers.subtract(Sums { work.admitted + work.refused, work.admitted }.scaled_by(factor));
        if (--account.reports == 0)
            account.of_peers = {};
        this->admitted = std::max(0.0, this->admitted - (admitted_before - account.admitted()));
        if (account.reports == 0 && account.own.demand() <= 0)
            this->accounts.erase(found);
        else
            this->join_group(account);
    }
    auto const& rest = peer.report.rest;
    this->rest.subtract(Sums { rest.admitted + rest.refused, rest.admitted }.scaled_by(factor));
    if (this->peers.size() <= 1)
        this->rest = {};
}

void AccountShares::expire_peers(Core::Instant now)
{
    if (now <= this->next_expiry)
        return;
    auto next = Core::Instant::max();
    std::size_t removed = 0;
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        if (now - entry->second.at <= report_retention) {
            next = std::min(next, entry->second.at + report_retention);
            ++entry;
            continue;
        }
        // NOTE: The others are removed by the next call.
        if (removed == max_expired_at_once)
            return;
        this->remove_peer(entry->second);
        entry = this->peers.erase(entry);
        ++removed;
    }
    this->next_expiry = next;
}

}
