#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Configuration.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// Whether the platform may take a server away again.
enum class ServerKind {
    Permanent,
    /// Cheap; the platform may take all of a failure domain away at short notice.
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

/// One order: so many servers of a kind in a failure domain.
struct ServerOrder {
    std::string domain;
    ServerKind kind { ServerKind::Permanent };
    unsigned count { 0 };

    bool operator==(ServerOrder const&) const = default;
};

/// As many servers as may be ordered, cheap ones first, at all times. For a service whose bursts are over before a
/// server has started.
struct MaximumFleet {
    bool operator==(MaximumFleet const&) const = default;
};

/// As many servers as the largest demand of the last while needs, and some more. All that may be ordered until demand
/// has been seen for that long: what is known of it before says nothing of the bursts to come.
struct FollowDemand {
    /// Servers for each that the demand is worked out to need: bursts come before servers that answer them.
    double headroom { 3 };
    /// For so long the largest demand counts.
    Duration demand_window { std::chrono::seconds(60) };

    bool operator==(FollowDemand const&) const = default;
};

using FleetPolicy = std::variant<MaximumFleet, FollowDemand>;

/// Decides how many servers of a service are ordered, of which kind and in which failure domain.
///
/// It answers demand that comes in bursts shorter than a server's start, where some servers cost a part of the others
/// but may all be taken away in one failure domain at a time. Cheap ones carry the load, spread over all domains, so
/// that the others carry it when one domain loses all of its own; permanent ones make up what that would lack. Servers
/// that run are given back only when those that replace them take requests.
class FleetPlan {
public:
    explicit FleetPlan(FleetPolicy policy)
        : policy(policy)
    {
    }

    /// The demand, as servers that it needs; nothing where it is not known yet.
    void observe_demand(std::optional<double> servers, Instant now);
    /// What should be there, given the servers that take requests now.
    [[nodiscard]] Fleet target_fleet(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// The orders to give now: where what is wanted was not ordered, or was and is not there after its time.
    [[nodiscard]] std::vector<ServerOrder> due_orders(
        Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// The platform took the order, or has none to give in that domain, or gave no answer.
    void accepted(ServerOrder const& order, Instant now);
    void refused(ServerOrder const& order, Instant now);
    /// Forgets what was ordered, so that all is ordered anew: another box may have ordered meanwhile.
    void clear_orders() { this->orders.clear(); }
    /// The demand that is reckoned with; nothing before any was seen.
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
        /// Whether servers that run may be given back: those that replace them take requests.
        bool may_release { false };
    };

    [[nodiscard]] Plan plan(Routing::ServerScaling const& scaling, Fleet const& running, Instant now) const;
    /// Servers in all that the demand asks for.
    [[nodiscard]] unsigned target_count(Routing::ServerScaling const& scaling, Instant now) const;
    [[nodiscard]] bool is_refused(std::string const& domain, ServerKind kind) const;

    /// Cheap servers are preferred up to this part of the price of others: half of them may go at once.
    static constexpr double max_revocable_price_ratio = 0.5;
    /// Servers that replace others must be there up to this part before those are given back.
    static constexpr double min_replacement_share = 0.9;
    /// Added to the start-up time before a server that is missing is ordered again.
    static constexpr Duration start_margin { std::chrono::seconds(3) };
    static constexpr Duration first_retry_pause { std::chrono::seconds(1) };
    static constexpr Duration max_retry_pause { std::chrono::seconds(8) };

    FleetPolicy policy;
    std::map<OrderKey, OrderState> orders;
    /// The largest demand of each second of the last while.
    std::map<std::int64_t, double> demand_by_second;
    std::optional<Instant> demand_observed_since;
};

}
