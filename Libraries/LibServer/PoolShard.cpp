#include <LibServer/PoolShard.h>

#include <LibLog/EventLog.h>

namespace Server {

PoolShard::PoolShard(std::string pool, Traffic::PoolPolicy pool_policy, Core::Offset settings_version,
    std::uint64_t seed, ShardServices services)
    : pool(std::move(pool))
    , services(services)
    , settings_version(settings_version.value())
    , policy(pool_policy)
    , engine(std::move(pool_policy), seed)
{
}

void PoolShard::reconfigure(Traffic::PoolPolicy new_policy, Core::Offset version)
{
    std::scoped_lock const lock(this->mutex);
    this->settings_version = version.value();
    this->policy = new_policy;
    this->engine.reconfigure(std::move(new_policy), Core::monotonic_now());
}

void PoolShard::submit(FlowPointer const& flow, bool checks_keys)
{
    auto const needs_claim = !flow->class_settings.repeatable && !checks_keys;
    if (needs_claim && this->is_decided_already(*flow))
        return;
    this->flows.emplace(flow->facts.id.value(), flow);
    this->record(*flow, Record::DecisionKind::Arrived, Core::Reason::Admitted, "", {});
    Traffic::Actions actions;
    {
        std::scoped_lock const lock(this->mutex);
        actions = this->engine.submit(flow->facts, Core::monotonic_now());
    }
    this->execute(actions);
}

bool PoolShard::is_decided_already(RequestFlow& flow)
{
    auto const decided = this->services.keyed_attempts.decide_before_queueing(flow);
    if (!decided)
        return false;
    if (decided->end.outcome == Core::Outcome::Completed) {
        flow.push(Head { decided->report.status, decided->report.content_type });
        flow.push(Chunk { decided->report.body });
    } else {
        this->services.metrics.count_refusal(decided->end.reason);
    }
    this->record(flow, Record::DecisionKind::Ended, decided->end.reason, "", {});
    flow.push(decided->end);
    return true;
}

void PoolShard::abandon(RequestFlow& flow)
{
    flow.caller_has_gone();
    Traffic::Actions actions;
    {
        std::scoped_lock const lock(this->mutex);
        actions = this->engine.cancel(flow.facts.id, Core::monotonic_now());
    }
    this->execute(actions);
}

void PoolShard::take_report(Core::EndpointId endpoint, Traffic::LoadReport const& report)
{
    Traffic::Actions actions;
    {
        std::scoped_lock const lock(this->mutex);
        actions = this->engine.apply_report(endpoint, report, Core::monotonic_now());
    }
    this->execute(actions);
}

void PoolShard::tick()
{
    Traffic::Actions actions;
    {
        std::scoped_lock const lock(this->mutex);
        actions = this->engine.tick(Core::monotonic_now());
    }
    this->execute(actions);
}

void PoolShard::publish_status()
{
    auto const now = this->status();
    this->services.metrics.set_pool(
        this->pool, now.queued, now.running, now.lower_tier_sheds, now.urgent_refusals_beside_lower_work);
}

bool PoolShard::is_idle()
{
    return this->flows.empty();
}

Traffic::PoolStatus PoolShard::status()
{
    std::scoped_lock const lock(this->mutex);
    return this->engine.status();
}

std::map<Core::EndpointId, Settings::EndpointSettings> PoolShard::endpoints()
{
    std::scoped_lock const lock(this->mutex);
    return this->policy.endpoints;
}

void PoolShard::execute(Traffic::Actions const& actions)
{
    for (auto const& action : actions)
        std::visit([this](auto const& chosen) { this->carry_out(chosen); }, action);
}

void PoolShard::carry_out(Traffic::Wait const& action)
{
    if (auto const flow = this->find(action.request))
        this->record(*flow, Record::DecisionKind::Queued, Core::Reason::Queued, "", action.inputs);
}

void PoolShard::carry_out(Traffic::Dispatch const& action)
{
    auto const flow = this->find(action.request);
    if (!flow)
        return;
    Settings::EndpointSettings endpoint;
    {
        std::scoped_lock const lock(this->mutex);
        auto const* view = this->engine.endpoint_table().find(action.endpoint);
        if (view != nullptr)
            endpoint = view->settings();
    }
    this->services.metrics.count_placement(action.reason);
    this->record(*flow, Record::DecisionKind::Placed, action.reason, endpoint.name, action.inputs);
    this->services.threads.enqueue([this, flow, action, endpoint] { this->run_attempt(flow, action, endpoint); });
}

void PoolShard::run_attempt(
    FlowPointer const& flow, Traffic::Dispatch const& action, Settings::EndpointSettings const& endpoint)
{
    auto const on_first_piece = [&] {
        auto const now = Core::monotonic_now();
        this->services.metrics.observe_first_token(flow->class_name, now - flow->facts.arrived);
        std::scoped_lock const lock(this->mutex);
        this->engine.observe_first_token(action.request, now);
    };
    auto const send = [&] { return this->services.upstream.call(*flow, endpoint, action.tier, on_first_piece); };
    auto const needs_claim = !flow->class_settings.repeatable && !endpoint.checks_keys;
    auto report = needs_claim ? this->services.keyed_attempts.run(*flow, send) : send();
    auto const has_ended_clean = report.result == Traffic::AttemptResult::Completed
        || report.result == Traffic::AttemptResult::ConnectionRefused
        || report.result == Traffic::AttemptResult::NotSent || report.result == Traffic::AttemptResult::EndpointBusy;
    if (!has_ended_clean)
        flow->set_may_have_run();
    if (report.result == Traffic::AttemptResult::Completed && !report.was_passed_on) {
        flow->push(Head { report.status, report.content_type });
        flow->push(Chunk { std::move(report.body) });
    }
    if (!report.error.empty())
        Log::EventLine("attempt_failed")
            .with("request", fmt::format("{:016x}", action.request.value()))
            .with("endpoint", endpoint.name)
            .with("attempt", action.attempt)
            .with("error", report.error)
            .info();
    Traffic::Actions actions;
    {
        std::scoped_lock const lock(this->mutex);
        actions = this->engine.finish(action.request, { report.result }, Core::monotonic_now());
    }
    this->execute(actions);
}

void PoolShard::carry_out(Traffic::Refuse const& action)
{
    auto const flow = this->take(action.request);
    if (!flow)
        return;
    auto outcome = flow->class_settings.repeatable ? Core::Outcome::NotRun : Core::Outcome::Undecided;
    if (flow->has_perhaps_run())
        outcome = Core::Outcome::Unknown;
    this->services.metrics.count_refusal(action.reason);
    this->record(*flow, Record::DecisionKind::Refused, action.reason, "", action.inputs);
    flow->push(End { outcome, action.reason, action.retry_after });
}

void PoolShard::carry_out(Traffic::Preempt const& action)
{
    auto const flow = this->find(action.request);
    if (!flow)
        return;
    this->services.metrics.count_retry(action.reason);
    this->record(*flow, Record::DecisionKind::Preempted, action.reason, "", {});
    flow->preempt();
}

void PoolShard::carry_out(Traffic::Retry const& action)
{
    auto const flow = this->find(action.request);
    if (!flow)
        return;
    this->services.metrics.count_retry(action.reason);
    this->record(*flow, Record::DecisionKind::Retried, action.reason, "", {});
}

void PoolShard::carry_out(Traffic::Conclude const& action)
{
    auto const flow = this->take(action.request);
    if (!flow)
        return;
    auto const end = this->end_of(*flow, action);
    if (end.outcome != Core::Outcome::Completed)
        this->services.metrics.count_refusal(end.reason);
    this->record(*flow, Record::DecisionKind::Ended, end.reason, "", {});
    flow->push(end);
}

End PoolShard::end_of(RequestFlow& flow, Traffic::Conclude const& action) const
{
    if (auto const by_fate = flow.fate_end())
        return *by_fate;
    if (action.result == Traffic::AttemptResult::Completed)
        return { Core::Outcome::Completed, action.reason, {} };
    auto outcome = Core::Outcome::Unknown;
    auto const no_attempt_ran = !flow.has_perhaps_run()
        && (action.result == Traffic::AttemptResult::ConnectionRefused
            || action.result == Traffic::AttemptResult::EndpointBusy
            || action.result == Traffic::AttemptResult::CallerGone);
    if (no_attempt_ran)
        outcome = flow.class_settings.repeatable ? Core::Outcome::NotRun : Core::Outcome::Undecided;
    return { outcome, action.reason, std::chrono::seconds(1) };
}

PoolShard::FlowPointer PoolShard::find(Core::RequestId request)
{
    FlowTable::const_accessor accessor;
    return this->flows.find(accessor, request.value()) ? accessor->second : nullptr;
}

PoolShard::FlowPointer PoolShard::take(Core::RequestId request)
{
    FlowTable::accessor accessor;
    if (!this->flows.find(accessor, request.value()))
        return nullptr;
    auto flow = accessor->second;
    this->flows.erase(accessor);
    return flow;
}

void PoolShard::record(RequestFlow const& flow, Record::DecisionKind kind, Core::Reason reason,
    std::string const& endpoint, Traffic::DecisionInputs const& figures)
{
    this->services.records.add({ flow.facts.id, Core::wall_clock_milliseconds(), kind, reason, flow.class_name,
        flow.account_name, this->pool, endpoint, Core::Offset { this->settings_version }, figures });
}

}
