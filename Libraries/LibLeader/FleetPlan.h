#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Configuration.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// Whether the platform may revoke a server.
enum class ServerKind {
    Permanent,
    /// Cheaper; the platform may revoke all servers of a failure domain at short notice.
    Revocable,
};

/// Servers of a service by kind.
struct ServerCounts {
    unsigned permanent { 0 };
    unsigned revocable { 0 };

    [[nodiscard]] unsigned all() const { return this->permanent + this->revocable; }
    [[nodiscard]] unsigned of(ServerKind kind) const
    {
        return kind == ServerKind::Permanent ? this->permanent : this->revocable;
    }
    bool operator==(ServerCounts const&) const = default;
};

/// Servers of a service by failure domain.
using Fleet = std::map<std::string, ServerCounts>;

/// An order to the platform: how many servers of a kind a failure domain should have.
struct ServerOrder {
    std::string domain;
    ServerKind kind { ServerKind::Permanent };
    unsigned count { 0 };

    bool operator==(ServerOrder const&) const = default;
};

/// Always orders as many servers as allowed, revocable ones first. For a service whose bursts end before a new server
/// has started.
struct MaximumFleet {
    bool operator==(MaximumFleet const&) const = default;
};

/// Orders servers for the largest demand of a recent time window, with headroom. Until demand has been observed for
/// that long, it orders as many servers as allowed: a shorter history does not predict the next bursts.
struct FollowDemand {
    /// Servers per server that the demand needs: a burst arrives before servers that were ordered for it have started.
    double headroom { 3 };
    /// Length of the window whose largest demand counts.
    Duration demand_window { std::chrono::seconds(60) };

    bool operator==(FollowDemand const&) const = default;
};

using FleetPolicy = std::variant<MaximumFleet, FollowDemand>;

/// The scaling without these failure domains, so that the others get the servers that the demand needs.
[[nodiscard]] Routing::ServerScaling without_domains(
    Routing::ServerScaling scaling, std::set<std::string> const& domains);

/// Decides how many servers of a service are ordered, of which kind and in which failure domain.
///
/// For demand in bursts shorter than a server's start-up, where revocable servers cost a fraction of permanent ones but
/// may all be revoked in one failure domain at a time. Revocable servers carry the load, spread over all domains, so
/// that the other domains can serve it when one loses all of its revocable servers; permanent servers cover what is
/// missing then. Running servers are released only once their replacements accept requests.
class FleetPlan {
public:
    explicit FleetPlan(FleetPolicy policy)
        : policy(policy)
    {
    }

    /// The demand, in servers that it needs; empty while the demand is unknown.
    void observe_demand(std::optional<double> servers, Instant now);
    /// The fleet to aim for, given the servers that accept requests now.
    [[nodiscard]] Fleet target_fleet(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// The orders to send now: those whose count differs from the last order, and those whose servers did not start in
    /// time.
    [[nodiscard]] std::vector<ServerOrder> due_orders(
        Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// The platform accepted the order, or refused it: no such server is available in the domain, or the call failed.
    void accepted(ServerOrder const& order, Instant now);
    void refused(ServerOrder const& order, Instant now);
    /// Forgets all orders, so that each is sent again: another box may have sent orders meanwhile.
    void clear_orders() { this->orders.clear(); }
    /// The demand that the plan uses; empty before any was observed.
    [[nodiscard]] std::optional<double> demand() const;

private:
    struct OrderState {
        unsigned count { 0 };
        Instant at;
        Instant retry_at;
        Duration pause { 0 };
        bool is_refused { false };
    };
    using OrderKey = std::pair<std::string, ServerKind>;

    struct Plan {
        Fleet fleet;
        /// Whether running servers may be released because their replacements accept requests.
        bool may_release { false };
    };

    [[nodiscard]] Plan plan(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// Number of servers that the demand calls for in all domains.
    [[nodiscard]] unsigned target_count(Routing::ServerScaling const& scaling, Instant now) const;
    [[nodiscard]] bool is_refused(std::string const& domain, ServerKind kind) const;

    /// Highest ratio of the revocable to the permanent price at which revocable servers are preferred: half of them may
    /// be revoked at once.
    static constexpr double max_revocable_price_ratio = 0.5;
    /// Share of the target that must accept requests before the replaced servers are released.
    static constexpr double min_replacement_share = 0.9;
    /// Added to the start-up time before a missing server is ordered again.
    static constexpr Duration start_margin { std::chrono::seconds(3) };
    static constexpr Duration first_retry_pause { std::chrono::seconds(1) };
    static constexpr Duration max_retry_pause { std::chrono::seconds(8) };

    FleetPolicy policy;
    std::map<OrderKey, OrderState> orders;
    /// The largest demand of each second of the demand window.
    std::map<std::int64_t, double> demand_by_second;
    std::optional<Instant> demand_observed_since;
};

}
