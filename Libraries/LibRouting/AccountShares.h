#pragma once

#include <LibCore/StrongId.h>
#include <LibRouting/DecayingSum.h>

#include <algorithm>
#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace Routing {

/// Identifies a client account in load reports: the low 32 bits of a hash of its name. Two of 5,000 accounts share a
/// key with a probability of 0.003; they then share one fair share.
using AccountKey = Core::StrongId<struct AccountKeyTag, std::uint32_t>;

[[nodiscard]] AccountKey account_key(std::string_view name);

/// Recent work of an account at one box, in the unit of WorkTotals. Older work counts for less.
struct AccountWork {
    double admitted { 0 };
    /// Requested, but not admitted.
    double refused { 0 };

    bool operator==(AccountWork const&) const = default;
};

struct NamedAccountWork {
    AccountKey account;
    AccountWork work;

    bool operator==(NamedAccountWork const&) const = default;
};

/// What a box reports of the accounts at one service.
struct AccountReport {
    /// The accounts with the most work.
    std::vector<NamedAccountWork> largest;
    /// The sum of all other accounts.
    AccountWork rest;

    bool operator==(AccountReport const&) const = default;

    [[nodiscard]] bool is_empty() const { return this->largest.empty() && this->rest == AccountWork {}; }
};

/// An account's position relative to its fair share.
struct AccountStanding {
    /// How much of its usual wait limit a request of the account gets: 1 within the fair share, less above it.
    double limit_factor { 1 };
    /// Admitted work of the account and its fair share, as fractions of the admitted work of all accounts.
    double share { 0 };
    double fair_share { 0 };
    /// Whether some account requests many times its fair share.
    bool is_flooded { false };

    bool operator==(AccountStanding const&) const = default;

    [[nodiscard]] bool is_over_share() const { return this->limit_factor < 1; }
};

/// Shares of client accounts in the engines of one service: work that accounts request and that is admitted, at this
/// box and at those that reported theirs.
///
/// The fair share is the max-min fair one: the admitted work of all accounts is divided so that an account gets what it
/// requests, or else no less than any other. Only ratios count, so a box that knows a part of the others decides by
/// that part, and a box that hears nobody decides by its own counts.
///
/// Sums are kept multiplied by a factor that doubles with each half-life. They then decay without being touched, and a
/// decision costs the same with any number of accounts.
class AccountShares {
public:
    /// Accounts that a report names.
    static constexpr std::size_t max_named = 16;
    /// The smallest limit factor. Engines that are idle or nearly so take requests of any account.
    static constexpr double min_limit_factor = 0.125;
    /// Greater amounts of one account at one box, in the unit of WorkTotals, are taken as this: more than a hundred
    /// engines read within the time that a sum covers.
    static constexpr double max_amount = 1e9;

    /// An account requests work, whether it is admitted or not.
    void add_requested(AccountKey account, double work, Core::Instant now);
    void add_admitted(AccountKey account, double work, Core::Instant now);
    /// Replaces the report of another box, as of `at`. Amounts that are negative or not finite count as 0, and accounts
    /// beyond max_named are ignored.
    void apply_peer(std::uint64_t box, AccountReport const& report, Core::Instant at);

    [[nodiscard]] AccountReport own_report(Core::Instant now) const;
    /// `configured` is the number of accounts of the configuration.
    [[nodiscard]] AccountStanding standing(AccountKey account, std::size_t configured, Core::Instant now);

    /// Accounts and boxes about which something is held.
    [[nodiscard]] std::size_t account_count() const { return this->accounts.size(); }
    [[nodiscard]] std::size_t peer_count() const { return this->peers.size(); }

private:
    /// All sums are multiplied by scale().
    struct Sums {
        double requested { 0 };
        double admitted { 0 };

        void add(Sums const& other);
        /// Rounding may leave a little less than nothing.
        void subtract(Sums const& other);
        [[nodiscard]] Sums scaled_by(double factor) const;
        /// A box may admit work that another one counted as requested.
        [[nodiscard]] double demand() const { return std::max(this->requested, this->admitted); }
    };
    struct Account {
        Sums own;
        Sums of_peers;
        /// Reports that contribute to `of_peers`.
        std::uint32_t reports { 0 };
        /// The group of `groups` that contains the account.
        std::size_t group { 0 };

        [[nodiscard]] double demand() const { return this->own.demand() + this->of_peers.demand(); }
        [[nodiscard]] double admitted() const { return this->own.admitted + this->of_peers.admitted; }
    };
    /// Accounts whose demands differ by less than a ninth.
    struct Group {
        std::size_t count { 0 };
        double demand { 0 };

        void add(double of_account)
        {
            ++this->count;
            this->demand += of_account;
        }
    };
    struct Peer {
        AccountReport report;
        Core::Instant at;
    };

    /// Short, since an account may send many times its usual load for seconds only, and as long as it takes until a
    /// report of most other boxes has arrived.
    static constexpr Core::Duration half_life { std::chrono::seconds(4) };
    /// How long reports are valid, as for EngineDemand.
    static constexpr Core::Duration report_retention { std::chrono::seconds(6) };
    static constexpr std::size_t max_peers = 2048;
    /// Bounds the memory to about 2 MB. Accounts beyond are not counted and are not held back.
    static constexpr std::size_t max_accounts = 16'384;
    /// Accounts known only from other boxes may take up this many, so that those of this box find room.
    static constexpr std::size_t max_accounts_of_peers = max_accounts / 2;
    /// Expired reports that one call removes at most, which bounds the time of a decision.
    static constexpr std::size_t max_expired_at_once = 16;
    /// How much more than their recent demand the other accounts are granted before an account above its fair share
    /// gets the rest. Without it, an account would be held back only after others had been refused.
    static constexpr double demand_headroom = 1.1;
    /// Excess over the fair share, in standard deviations of the sum of randomly arriving requests, that has no effect.
    static constexpr double tolerated_deviations = 2;
    /// Accounts with a smaller part of the box's work are not named in reports, which saves bytes.
    static constexpr double min_named_share = 1.0 / 64;

    /// Demand of an account, as a multiple of what an account may hold, from which it floods the service. In an
    /// overload that all accounts cause, refused clients that try again request up to three times the fair amount.
    static constexpr double flood_ratio = 4;
    /// Accounts with less work, in prompt tokens, are dropped.
    static constexpr double negligible_work = 1;
    /// Half-lives after which the sums are scaled back.
    static constexpr Core::Duration::rep max_half_lives = 128;
    static constexpr std::size_t groups_per_doubling = 6;
    /// From demands of 1 to amounts of max_amount at 1,000 boxes, scaled.
    static constexpr std::size_t group_count = (128 + 40) * groups_per_doubling;

    [[nodiscard]] double scale(Core::Instant at) const;
    /// Scales all sums back if they have grown too much, and drops accounts without recent work.
    void limit_scale(Core::Instant now);
    [[nodiscard]] static std::size_t group_of(double demand);
    /// The least demand of the group.
    [[nodiscard]] static double group_start(std::size_t group);
    void join_group(Account& account);
    void leave_group(Account const& account);
    [[nodiscard]] Account* own_account(AccountKey key, Core::Instant now);
    /// Adds the sums of a report, and removes the accounts from it for which there is no room.
    void add_peer(Peer& peer);
    void remove_peer(Peer const& peer);
    void expire_peers(Core::Instant now);
    [[nodiscard]] double admitted_by_all() const { return this->admitted + this->rest.admitted; }
    /// The largest amount that every account gets or has no demand for, scaled.
    [[nodiscard]] double fair_amount(std::size_t configured) const;
    /// Whether the demand of an account exceeds the amount by more than the width of a group.
    [[nodiscard]] bool has_demand_above(double amount) const;

    boost::unordered_flat_map<AccountKey, Account, std::hash<AccountKey>> accounts;
    std::map<std::uint64_t, Peer> peers;
    std::array<Group, group_count> groups {};
    /// Admitted work of all named accounts.
    double admitted { 0 };
    /// What other boxes reported of accounts without naming them.
    Sums rest;
    Core::Instant scaled_from;
    /// No report expires earlier.
    Core::Instant next_expiry { Core::Instant::max() };
    /// Work of this box's requests and the sum of its squares, whose ratio tells how much sums vary.
    DecayingSum sizes { half_life };
    DecayingSum squares { half_life };
};

}
