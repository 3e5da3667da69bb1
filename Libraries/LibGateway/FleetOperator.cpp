#include <LibGateway/FleetOperator.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <platform/LeaderCalls.h>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

FleetOperator::FleetOperator(
    GatewayState& state, Leadership& leadership, Adapter::LeaderSettings settings, Leader::FleetPolicy policy)
    : state(state)
    , leadership(leadership)
    , settings(std::move(settings))
    , policy(policy)
    , connection(state.context, this->settings.address)
{
}

void FleetOperator::set_settings(Adapter::LeaderSettings changed)
{
    this->settings = std::move(changed);
    this->connection.set_address(this->settings.address);
}

Task<void> FleetOperator::run()
{
    for (;;) {
        co_await sleep_for(check_interval);
        auto const configuration = this->state.router.configuration();
        if (!configuration || !co_await this->leadership.may_act())
            continue;
        // NOTE: Another box may have ordered servers since this one last led.
        if (this->term != this->leadership.identity().fencing_token)
            this->plans.clear();
        this->term = this->leadership.identity().fencing_token;
        for (auto const& service : configuration->configuration().services) {
            if (service.scaling)
                co_await this->order_for(service);
        }
    }
}

Leader::Fleet FleetOperator::running(std::string const& service, Instant now) const
{
    Leader::Fleet fleet;
    for (auto const& endpoint : this->state.router.usable_records(service, now)) {
        auto& counts = fleet[endpoint.failure_domain];
        ++(endpoint.is_revocable ? counts.revocable : counts.permanent);
    }
    return fleet;
}

Task<void> FleetOperator::order_for(Routing::Service const& service)
{
    auto const now = monotonic_now();
    auto& plan = this->plans.try_emplace(service.name, this->policy).first->second;
    plan.observe_demand(this->state.router.engines_needed(service.name, now), now);
    auto const running = this->running(service.name, now);
    for (auto const& [domain, counts] : running) {
        this->state.metrics.set_servers(service.name, domain, "permanent", counts.permanent);
        this->state.metrics.set_servers(service.name, domain, "revocable", counts.revocable);
    }
    // NOTE: Servers of an evacuated failure domain keep running as ordered before, and get no new requests.
    auto const scaling = Leader::without_domains(*service.scaling, this->state.router.evacuated());
    for (auto const& order : plan.due_orders(scaling, running, now)) {
        if (!co_await this->leadership.may_act() || this->leadership.identity().fencing_token != this->term)
            co_return;
        co_await this->place_order(service, order, running);
    }
}

Task<void> FleetOperator::place_order(
    Routing::Service const& service, Leader::ServerOrder const& order, Leader::Fleet const& running)
{
    bool const is_revocable = order.kind == Leader::ServerKind::Revocable;
    auto const call = Adapter::encode_server_order(
        this->leadership.identity(), service.name, order.domain, order.count, is_revocable);
    Core::LastReason reason;
    auto const answer = co_await this->connection.post(call.target, call.body, timeouts, reason, call.headers);
    auto const now = monotonic_now();
    auto& plan = this->plans.at(service.name);
    bool const is_accepted = answer && answer->status == status_ok;
    if (is_accepted)
        plan.accepted(order, now);
    else
        plan.refused(order, now);
    auto const found = running.find(order.domain);
    auto const here = found == running.end() ? Leader::ServerCounts {} : found->second;
    this->state.metrics.count_server_order(is_accepted ? "accepted" : answer ? "refused" : "no-answer");
    Log::EventLine("servers_ordered")
        .with("service", service.name)
        .with("failure_domain", order.domain)
        .with("kind", is_revocable ? "revocable" : "permanent")
        .with("count", order.count)
        .with("running_here", here.of(order.kind))
        .with("demand", plan.demand().value_or(-1))
        .with("token", this->term)
        .with("outcome",
            is_accepted  ? "accepted"
                : answer ? "status " + std::to_string(answer->status)
                         : reason.text)
        .with("answer", answer && !is_accepted ? answer->body.substr(0, max_logged_answer_bytes) : "")
        .info();
    // NOTE: A conflict means that no servers are available or that another box is leader; the log shows which.
    if (answer && Adapter::is_conflict(answer->status))
        co_await this->leadership.check_leader();
}

}
