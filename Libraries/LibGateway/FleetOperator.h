#pragma once

#include <LibGateway/Leadership.h>
#include <LibLeader/FleetPlan.h>

namespace Gateway {

/// Orders servers from the platform, as FleetPlan decides, while this box is leader.
class FleetOperator {
public:
    FleetOperator(
        GatewayState& state, Leadership& leadership, Adapter::LeaderSettings settings, Leader::FleetPolicy policy);

    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();
    void set_settings(Adapter::LeaderSettings changed);

private:
    [[nodiscard]] Task<void> order_for(Routing::Service const& service);
    [[nodiscard]] Task<void> place_order(
        Routing::Service const& service, Leader::ServerOrder const& order, Leader::Fleet const& running);
    [[nodiscard]] Leader::Fleet running(std::string const& service, Core::Instant now) const;

    /// How often demand is checked and servers are ordered.
    static constexpr Core::Duration check_interval { std::chrono::milliseconds(500) };
    /// How much of the platform's answer to a refused order is logged.
    static constexpr std::size_t max_logged_answer_bytes = 120;
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(1500), std::chrono::milliseconds(1000) };

    GatewayState& state;
    Leadership& leadership;
    Adapter::LeaderSettings settings;
    Leader::FleetPolicy policy;
    HttpConnection connection;
    /// By service name.
    std::map<std::string, Leader::FleetPlan> plans;
    /// The token of the term to which `plans` belong.
    std::uint64_t term { 0 };
};

}
