/// Overload handling of the traffic engine: preemption, late requests and refusals.

#include <LibTraffic/TrafficEngine.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Traffic {

namespace {

/// A queued urgent request may preempt once its slack is at most its target divided by this number.
constexpr int preemption_margin_divisor = 3;
/// Attempts past this share of their mean duration are not preempted: the wasted work would outweigh the gain.
constexpr double max_preempted_progress = 0.5;
constexpr Duration min_retry_after { std::chrono::seconds(1) };
constexpr Duration max_retry_after { std::chrono::minutes(5) };

}

std::optional<RequestId> TrafficEngine::preemption_victim(TierId below) const
{
    if (!this->policy.routing.preemption)
        return {};
    Running const* victim = nullptr;
    for (auto const& [id, attempt] : this->running) {
        auto const is_preemptible = attempt.request.tier > below && !attempt.placed_by_floor
            && !attempt.partly_delivered && !attempt.preempted && this->class_of(attempt.request.facts).repeatable;
        if (!is_preemptible)
            continue;
        // NOTE: The sequence breaks ties, so that the choice does not depend on the order of the hash table.
        auto const rank
            = [](Running const& of) { return std::tuple(of.request.tier, of.dispatched_at, of.request.sequence); };
        if (victim == nullptr || rank(attempt) > rank(*victim))
            victim = &attempt;
    }
    if (victim == nullptr)
        return {};
    return victim->request.facts.id;
}

void TrafficEngine::preempt_for_urgent(Actions& actions, Instant now)
{
    while (true) {
        auto const tiers = this->queue.tiers();
        if (tiers.empty() || tiers.front().value() != 0)
            return;
        QueuedRequest const* urgent = nullptr;
        auto least_slack = Duration::max();
        this->queue.for_each_flow(tiers.front(), [&](Flow const& flow) {
            auto const& head = flow.requests.front();
            auto const slack = slack_of(head, this->class_of(head.facts), this->estimates_of(head.facts), now);
            if (slack.count() >= 0 && slack < least_slack) {
                least_slack = slack;
                urgent = &head;
            }
        });
        if (urgent == nullptr || least_slack > this->class_of(urgent->facts).target / preemption_margin_divisor)
            return;
        auto const victim = this->preemption_victim(urgent->tier);
        if (!victim)
            return;
        auto& preempted_attempt = this->running.at(*victim);
        auto const usual = this->estimates_of(preempted_attempt.request.facts).mean_duration();
        if (Core::to_seconds(now - preempted_attempt.dispatched_at) > max_preempted_progress * Core::to_seconds(usual))
            return;
        auto* view = this->endpoints.find(preempted_attempt.endpoint);
        VERIFY(view != nullptr);
        if (!view->accepts_work(now))
            return;
        preempted_attempt.preempted = true;
        view->request_ended(now);
        actions.emplace_back(Preempt { *victim, preempted_attempt.endpoint, Reason::PreemptedForUrgent });
        auto const request = this->queue.remove(urgent->facts.id);
        VERIFY(request.has_value());
        PlacementChoice place { preempted_attempt.endpoint, {}, 1 };
        place.candidates[0] = { preempted_attempt.endpoint, 0 };
        this->dispatch(*request, place, Reason::PreemptedForUrgent, actions, now);
    }
}

void TrafficEngine::handle_late_requests(Actions& actions, Instant now)
{
    std::vector<RequestId> late;
    std::vector<std::pair<RequestId, Reason>> to_refuse;
    for (auto const tier : this->queue.tiers()) {
        this->queue.for_each_flow(tier, [&](Flow const& flow) {
            auto const& settings = this->policy.classes.at(flow.request_class);
            auto const& class_estimates = this->estimates.at(flow.request_class);
            for (auto const& request : flow.requests) {
                auto const is_late = slack_of(request, settings, class_estimates, now).count() < 0;
                auto const outlasts_patience = now + class_estimates.median_duration() > request.patience_end;
                // NOTE: Requests of a flow are in order of arrival, so the following ones have more time left.
                if (!is_late && !outlasts_patience)
                    break;
                if (is_late && !settings.late_answer_useful)
                    to_refuse.emplace_back(request.facts.id, Reason::TargetOutOfReach);
                else if (outlasts_patience)
                    to_refuse.emplace_back(request.facts.id, Reason::PatienceExpired);
                else if (!flow.is_late)
                    late.push_back(request.facts.id);
                else
                    break;
            }
        });
    }
    for (auto const request : late)
        this->queue.mark_late(request);
    for (auto const& [id, reason] : to_refuse) {
        auto const removed = this->queue.remove(id);
        VERIFY(removed.has_value());
        this->refuse(*removed, reason, actions, now);
    }
}

void TrafficEngine::refuse(QueuedRequest const& request, Reason reason, Actions& actions, Instant now)
{
    auto inputs = this->inputs_for(request, now);
    auto const retry_after = std::clamp(inputs.predicted_wait, min_retry_after, max_retry_after);
    this->count_urgent_refusal(request);
    this->retries.erase(request.facts.id);
    actions.emplace_back(Refuse { request.facts.id, reason, retry_after, inputs });
}

void TrafficEngine::count_urgent_refusal(QueuedRequest const& request)
{
    if (request.tier.value() != 0)
        return;
    bool any_lower = false;
    bool any_beyond_floor = false;
    for (auto const& [id, attempt] : this->running) {
        any_lower |= attempt.request.tier > request.tier;
        any_beyond_floor |= attempt.request.tier > request.tier && !attempt.placed_by_floor;
    }
    this->urgent_refusals_beside_lower_work += any_lower ? 1 : 0;
    this->lower_tier_sheds += any_beyond_floor ? 1 : 0;
}

}
