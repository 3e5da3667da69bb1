#include <LibTraffic/TrafficEngine.h>

#include <LibCore/Verify.h>
#include <algorithm>
#include <cmath>

namespace Traffic {

namespace {

constexpr std::uint32_t max_attempts = 3;
/// More requests than ever queue at one endpoint.
constexpr double unlimited_depth = 1e6;

}

TrafficEngine::TrafficEngine(PoolPolicy pool_policy, std::uint64_t seed)
    : policy(std::move(pool_policy))
    , random(seed)
{
    this->choose_policies();
    this->add_estimates();
    this->endpoints.reconfigure(this->policy);
    this->update_pool_load(Instant {});
}

void TrafficEngine::reconfigure(PoolPolicy pool_policy, Instant)
{
    // NOTE: Removed classes are kept, because some of their requests may still be queued or running.
    for (auto const& [id, settings] : this->policy.classes)
        pool_policy.classes.emplace(id, settings);
    auto const policy_changed = pool_policy.routing.policy != this->policy.routing.policy;
    this->policy = std::move(pool_policy);
    if (policy_changed)
        this->choose_policies();
    this->add_estimates();
    this->endpoints.reconfigure(this->policy);
}

void TrafficEngine::choose_policies()
{
    this->is_baseline = this->policy.routing.policy != Settings::PolicyName::Cleatbeam;
    switch (this->policy.routing.policy) {
    case Settings::PolicyName::Cleatbeam:
        this->order = DeadlineOrder {};
        this->placement = SampledPlacement {};
        this->admission = PredictiveAdmission {};
        return;
    case Settings::PolicyName::RoundRobinFifo:
        this->order = FifoOrder {};
        this->placement = RoundRobinPlacement {};
        break;
    case Settings::PolicyName::LeastOutstandingFifo:
        this->order = FifoOrder {};
        this->placement = LeastOutstandingPlacement {};
        break;
    case Settings::PolicyName::LeastOutstandingStrict:
        this->order = StrictOrder {};
        this->placement = LeastOutstandingPlacement {};
        break;
    }
    this->admission = BoundedAdmission {};
}

void TrafficEngine::update_pool_load(Instant now)
{
    this->load = { this->endpoints.total_window(now), this->endpoints.total_estimated_running(now) };
    this->limits = limits_for_demand(this->demand, this->load.window, this->policy.routing.boxes, now);
}

std::optional<WindowLimit> TrafficEngine::limit_within_own_share(WindowLimit const& limit) const
{
    // NOTE: If all boxes have the same load, endpoint queues stay short as long as each box keeps to its share, however
    // old the reports are. So within the share a report can't prevent a placement. The share is rounded up: seven boxes
    // that each round 1.7 places down to 1 would leave a small pool partly idle.
    auto const boxes = static_cast<double>(this->policy.routing.boxes);
    auto const places
        = this->load.window * limit.share + limit.extra_requests * static_cast<double>(this->endpoints.size());
    if (static_cast<double>(this->running.size()) + 1 <= std::ceil(places / boxes))
        return WindowLimit { 1, unlimited_depth, false };
    // Beyond its share, a box may use the capacity that the reports show as free.
    auto const is_idle_enough = this->load.estimated_running + boxes <= this->load.window * limit.share;
    return is_idle_enough ? std::optional { limit } : std::nullopt;
}

void TrafficEngine::add_estimates()
{
    for (auto const& [id, settings] : this->policy.classes)
        this->estimates.try_emplace(id, settings);
}

OrderQuery TrafficEngine::order_query(Instant now) const
{
    return { this->queue, this->estimates, this->policy, this->shares, this->floors, this->limits,
        this->load.window / std::max(1.0, static_cast<double>(this->endpoints.size())), now };
}

Actions TrafficEngine::submit(RequestFacts const& facts, Instant now)
{
    Actions actions;
    auto const& settings = this->class_of(facts);
    QueuedRequest const request { facts, settings.tier, this->next_sequence++, facts.arrived + settings.patience };
    this->retry_budget.add_request(this->policy.routing.retry_share);
    this->demand.add_arrival(settings.tier, Core::to_seconds(this->estimates_of(facts).mean_duration()), now);
    auto const inputs = this->inputs_for(request, now);
    AdmissionQuery const query { request, settings, this->estimates_of(facts), this->queue.size(),
        inputs.predicted_wait, now };
    auto refusal = std::visit([&](auto const& chosen) { return chosen.refusal_reason(query); }, this->admission);
    if (!this->endpoints.any_accepts_work(now) && this->policy.endpoints.empty())
        refusal = Reason::NoEndpoint;
    if (refusal == Reason::BacklogTooLong && this->queue.size() >= max_queue_length && !this->is_baseline
        && this->queue.newest_below(settings.tier)) {
        this->shed_lower_tier_request(settings.tier, actions, now);
        refusal.reset();
    }
    // NOTE: A request is queued rather than refused as long as it could preempt a request of a lower tier.
    if (refusal && !this->is_baseline && *refusal != Reason::NoEndpoint && this->queue.size() < max_queue_length
        && this->preemption_victim(settings.tier))
        refusal.reset();
    if (refusal) {
        this->refuse(request, *refusal, actions, now);
        return actions;
    }
    this->enqueue(request, false);
    this->dispatch_queued(actions, now);
    if (this->queue.find(facts.id) != nullptr)
        actions.emplace_back(Wait { facts.id, inputs });
    return actions;
}

void TrafficEngine::observe_first_token(RequestId request, Instant now)
{
    auto const found = this->running.find(request);
    if (found == this->running.end() || found->second.first_token_seen)
        return;
    auto& attempt = found->second;
    attempt.first_token_seen = true;
    attempt.partly_delivered = attempt.request.facts.streaming;
    auto& class_estimates = this->estimates.at(attempt.request.facts.request_class);
    auto const elapsed = now - attempt.dispatched_at;
    auto const typical = class_estimates.typical_first_token();
    if (auto* view = this->endpoints.find(attempt.endpoint); view != nullptr && typical.count() > 0)
        view->observe_first_token(Core::to_seconds(elapsed) / Core::to_seconds(typical));
    class_estimates.observe_first_token(elapsed);
}

Actions TrafficEngine::finish(RequestId request, AttemptEnd const& end, Instant now)
{
    Actions actions;
    auto const found = this->running.find(request);
    if (found == this->running.end())
        return actions;
    auto const ended = found->second;
    this->running.erase(found);
    this->observe_end(ended, end.result, now);

    bool will_retry = false;
    auto const reason = this->retry_reason(ended, end.result, now, will_retry);
    if (will_retry) {
        auto& state = this->retries[request];
        state.attempts = ended.attempt;
        if (end.result != AttemptResult::Preempted) {
            state.avoided_endpoint = ended.endpoint;
            actions.emplace_back(Retry { request, reason });
        }
        this->enqueue(ended.request, true);
    } else {
        this->retries.erase(request);
        actions.emplace_back(Conclude { request, end.result, reason });
    }
    this->dispatch_queued(actions, now, ended.endpoint);
    return actions;
}

Reason TrafficEngine::retry_reason(Running const& ended, AttemptResult result, Instant now, bool& allowed)
{
    allowed = false;
    auto const& settings = this->class_of(ended.request.facts);
    auto const is_within_patience = now < ended.request.patience_end;
    switch (result) {
    case AttemptResult::Completed:
        return Reason::AnswerComplete;
    case AttemptResult::CallerGone:
        return Reason::CallerGone;
    case AttemptResult::BrokenAfterDelivery:
        return Reason::AnswerCutShort;
    case AttemptResult::NotSent:
        return Reason::ClaimNotReadBack;
    case AttemptResult::Preempted:
        allowed = is_within_patience;
        return allowed ? Reason::PreemptedForUrgent : Reason::PatienceExpired;
    case AttemptResult::Failed:
        if (!settings.repeatable || ended.partly_delivered)
            return Reason::RetryNotAllowed;
        break;
    case AttemptResult::ConnectionRefused:
    case AttemptResult::EndpointBusy:
        // NOTE: This attempt settles the key claimed by this box, so a non-repeatable request is not placed again.
        if (!settings.repeatable)
            return Reason::RetryNotAllowed;
        break;
    }
    if (ended.attempt >= max_attempts || !is_within_patience)
        return Reason::EndpointError;
    if (!this->retry_budget.try_spend())
        return Reason::RetryBudgetSpent;
    allowed = true;
    return result == AttemptResult::ConnectionRefused ? Reason::RetryConnectionRefused : Reason::RetryAttemptFailed;
}

void TrafficEngine::observe_end(Running const& ended, AttemptResult result, Instant now)
{
    auto* view = this->endpoints.find(ended.endpoint);
    if (view != nullptr) {
        if (!ended.preempted)
            view->request_ended(now);
        if (result == AttemptResult::Completed)
            view->record_success();
        else if (result == AttemptResult::ConnectionRefused || result == AttemptResult::Failed
            || result == AttemptResult::BrokenAfterDelivery)
            view->record_failure(now);
    }
    if (result != AttemptResult::Completed)
        return;
    auto& class_estimates = this->estimates.at(ended.request.facts.request_class);
    auto const elapsed = now - ended.dispatched_at;
    if (view != nullptr)
        view->observe_slot_time(elapsed);
    // NOTE: The account was charged for the estimated duration at dispatch; this corrects it to the actual one.
    auto const correction = Core::to_seconds(elapsed) - Core::to_seconds(class_estimates.mean_duration());
    auto const weight = this->policy.account_weights.find(ended.request.facts.account);
    this->shares.charge(ended.request.tier, ended.request.facts.account, correction,
        weight == this->policy.account_weights.end() ? 1 : weight->second);
    class_estimates.observe_completion(elapsed);
}

Actions TrafficEngine::cancel(RequestId request, Instant now)
{
    Actions actions;
    if (!this->queue.remove(request))
        return actions;
    this->retries.erase(request);
    actions.emplace_back(Conclude { request, AttemptResult::CallerGone, Reason::CallerGone });
    this->dispatch_queued(actions, now);
    return actions;
}

Actions TrafficEngine::apply_report(EndpointId endpoint, LoadReport const& report, Instant now)
{
    Actions actions;
    auto* view = this->endpoints.find(endpoint);
    if (view == nullptr)
        return actions;
    view->apply_report(report, now);
    this->dispatch_queued(actions, now, endpoint);
    return actions;
}

Actions TrafficEngine::tick(Instant now)
{
    Actions actions;
    this->update_pool_load(now);
    for (auto const& expired : this->queue.remove_expired(now))
        this->refuse(expired, Reason::PatienceExpired, actions, now);
    if (!this->is_baseline)
        this->handle_late_requests(actions, now);
    this->dispatch_queued(actions, now);
    if (!this->is_baseline && this->policy.routing.preemption)
        this->preempt_for_urgent(actions, now);
    return actions;
}

void TrafficEngine::enqueue(QueuedRequest const& request, bool at_front)
{
    if (this->queue.size_of_tier(request.tier) == 0)
        this->shares.reset(request.tier);
    auto least_served = std::numeric_limits<double>::infinity();
    bool is_already_queued = false;
    this->queue.for_each_flow(request.tier, [&](Flow const& flow) {
        least_served = std::min(least_served, this->shares.served(request.tier, flow.account));
        is_already_queued |= flow.account == request.facts.account;
    });
    if (!is_already_queued && std::isfinite(least_served))
        this->shares.raise_to_least_served(request.tier, request.facts.account, least_served);
    if (at_front)
        this->queue.push_front(request);
    else
        this->queue.push_back(request);
}

void TrafficEngine::shed_lower_tier_request(TierId tier, Actions& actions, Instant now)
{
    auto const victim = this->queue.newest_below(tier);
    VERIFY(victim.has_value());
    auto const removed = this->queue.remove(*victim);
    VERIFY(removed.has_value());
    this->refuse(*removed, Reason::BacklogTooLong, actions, now);
}

void TrafficEngine::dispatch_queued(Actions& actions, Instant now, std::optional<EndpointId> suggested_endpoint)
{
    while (this->queue.size() > 0) {
        auto const choices
            = std::visit([&](auto const& chosen) { return chosen.next(this->order_query(now)); }, this->order);
        auto const placed = std::ranges::any_of(
            choices, [&](OrderChoice const& choice) { return this->place(choice, actions, now, suggested_endpoint); });
        if (!placed)
            return;
    }
}

bool TrafficEngine::place(
    OrderChoice const& choice, Actions& actions, Instant now, std::optional<EndpointId> suggested_endpoint)
{
    auto const* request = this->queue.find(choice.request);
    VERIFY(request != nullptr);
    auto limit = std::optional { choice.limit };
    if (!this->is_baseline)
        limit = this->limit_within_own_share(choice.limit);
    if (!limit)
        return false;
    // NOTE: Lower tiers respect the reports even within the share, since they must leave capacity for higher tiers.
    if (request->tier.value() > 0 && choice.reason != Reason::PlacedByFloor)
        limit = choice.limit;
    auto const retry = this->retries.find(choice.request);
    PlacementQuery const query { this->endpoints, request->facts, *limit,
        retry == this->retries.end() ? std::nullopt : retry->second.avoided_endpoint, suggested_endpoint,
        this->policy.failure_domain, this->estimates_of(request->facts).typical_first_token(), now };
    auto const endpoint = std::visit([&](auto& chosen) { return chosen.place(query, this->random); }, this->placement);
    if (!endpoint)
        return false;
    auto const removed = this->queue.remove(choice.request);
    VERIFY(removed.has_value());
    this->dispatch(*removed, *endpoint, choice.reason, actions, now);
    return true;
}

void TrafficEngine::dispatch(
    QueuedRequest const& request, PlacementChoice const& place, Reason reason, Actions& actions, Instant now)
{
    auto* view = this->endpoints.find(place.endpoint);
    VERIFY(view != nullptr && view->accepts_work(now));
    view->request_started(now);
    view->add_prefix(request.facts.prefix_hash);
    auto const retry = this->retries.find(request.facts.id);
    auto const attempt = retry == this->retries.end() ? 1 : retry->second.attempts + 1;
    DecisionInputs inputs;
    inputs.queued = static_cast<std::uint32_t>(this->queue.size());
    inputs.running = static_cast<std::uint32_t>(this->running.size());
    inputs.slack = slack_of(request, this->class_of(request.facts), this->estimates_of(request.facts), now);
    inputs.candidates = place.candidates;
    inputs.candidate_count = place.candidate_count;
    this->charge(request, reason);
    this->running.emplace(request.facts.id,
        Running { request, place.endpoint, now, attempt, reason == Reason::PlacedByFloor, false, false, false });
    actions.emplace_back(Dispatch { request.facts.id, place.endpoint, request.tier, reason, attempt, inputs });
}

void TrafficEngine::charge(QueuedRequest const& request, Reason reason)
{
    auto const seconds = Core::to_seconds(this->estimates_of(request.facts).mean_duration());
    auto const weight = this->policy.account_weights.find(request.facts.account);
    this->shares.charge(request.tier, request.facts.account, seconds,
        weight == this->policy.account_weights.end() ? 1 : weight->second);
    if (reason == Reason::PlacedByFloor)
        this->floors.spend(request.facts.request_class, seconds);
    for (auto const& [request_class, size] : this->queue.class_sizes()) {
        auto const floor = this->policy.classes.at(request_class).floor;
        if (size > 0 && floor > 0)
            this->floors.earn(
                request_class, floor, seconds, Core::to_seconds(this->estimates.at(request_class).mean_duration()));
    }
}

Duration TrafficEngine::predicted_wait(QueuedRequest const& request, Instant now) const
{
    auto const own_share = this->endpoints.total_window(now) / this->policy.routing.boxes;
    auto const slots = std::max({ 1.0, own_share, static_cast<double>(this->running.size()) });
    if (this->queue.size() == 0 && static_cast<double>(this->running.size()) < own_share)
        return Duration { 0 };
    double seconds_ahead = 0;
    std::map<AccountId, double> seconds_of_account;
    for (auto const tier : this->queue.tiers()) {
        if (tier > request.tier)
            break;
        this->queue.for_each_flow(tier, [&](Flow const& flow) {
            // NOTE: Late requests are placed after requests that can still meet their target, such as this one.
            if (tier == request.tier && flow.is_late && !request.is_late)
                return;
            auto const seconds = static_cast<double>(flow.requests.size())
                * Core::to_seconds(this->estimates.at(flow.request_class).mean_duration());
            if (tier < request.tier)
                seconds_ahead += seconds;
            else
                seconds_of_account[flow.account] += seconds;
        });
    }
    auto const own_seconds = seconds_of_account[request.facts.account]
        + Core::to_seconds(this->estimates_of(request.facts).mean_duration());
    // NOTE: Fair sharing lets no other account get more service than this account before this request is served.
    for (auto const& [account, seconds] : seconds_of_account)
        seconds_ahead += std::min(seconds, own_seconds);
    if (seconds_ahead == 0)
        return Duration { 0 };
    return Core::from_seconds(seconds_ahead / slots);
}

DecisionInputs TrafficEngine::inputs_for(QueuedRequest const& request, Instant now) const
{
    DecisionInputs inputs;
    inputs.queued = static_cast<std::uint32_t>(this->queue.size());
    inputs.running = static_cast<std::uint32_t>(this->running.size());
    inputs.predicted_wait = this->predicted_wait(request, now);
    inputs.slack = slack_of(request, this->class_of(request.facts), this->estimates_of(request.facts), now);
    return inputs;
}

PoolStatus TrafficEngine::status() const
{
    std::size_t leaving = 0;
    for (std::size_t index = 0; index < this->endpoints.size(); ++index)
        leaving += this->endpoints.view_at(index).leaving() ? 1 : 0;
    return { this->queue.size(), this->running.size(), leaving, this->queue.class_sizes(), this->lower_tier_sheds,
        this->urgent_refusals_beside_lower_work };
}

}
