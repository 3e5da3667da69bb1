#include <LibTraffic/Order.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Traffic {

namespace {

constexpr WindowLimit full_window { 1, 1, false };

std::optional<OrderChoice> first_queued(RequestQueue const& queue, std::vector<TierId> const& tiers)
{
    QueuedRequest const* first = nullptr;
    for (auto const tier : tiers) {
        queue.for_each_flow(tier, [&](Flow const& flow) {
            auto const& head = flow.requests.front();
            if (first == nullptr || head.sequence < first->sequence)
                first = &head;
        });
    }
    if (first == nullptr)
        return {};
    return OrderChoice { first->facts.id, full_window, Reason::PlacedByBaseline };
}

/// How many requests may queue at one endpoint so that the last one still meets its target. Only the endpoint's own
/// queue is shared by all boxes, so urgent requests queue there rather than on a box.
double endpoint_queue_depth(OrderQuery const& query, ClassId request_class)
{
    constexpr double share_of_slack = 0.5;
    constexpr double max_depth = 4;
    auto const& estimates = query.estimates.at(request_class);
    auto const slack
        = Core::to_seconds(query.policy.classes.at(request_class).target - estimates.high_time_to_target());
    auto const seconds_per_place = Core::to_seconds(estimates.mean_duration()) / std::max(1.0, query.mean_window);
    if (seconds_per_place <= 0)
        return 1;
    return std::clamp(std::floor(share_of_slack * slack / seconds_per_place), 1.0, max_depth);
}

std::vector<OrderChoice> at_most_one(std::optional<OrderChoice> const& choice)
{
    return choice ? std::vector { *choice } : std::vector<OrderChoice> {};
}

}

Duration slack_of(
    QueuedRequest const& request, Settings::ClassSettings const& settings, ClassEstimates const& estimates, Instant now)
{
    auto const time_to_target
        = settings.late_answer_useful ? estimates.typical_time_to_target() : estimates.high_time_to_target();
    return request.facts.arrived + settings.target - time_to_target - now;
}

std::vector<OrderChoice> FifoOrder::next(OrderQuery const& query) const
{
    return at_most_one(first_queued(query.queue, query.queue.tiers()));
}

std::vector<OrderChoice> StrictOrder::next(OrderQuery const& query) const
{
    auto tiers = query.queue.tiers();
    if (tiers.empty())
        return {};
    tiers.resize(1);
    return at_most_one(first_queued(query.queue, tiers));
}

std::vector<OrderChoice> DeadlineOrder::next(OrderQuery const& query) const
{
    std::vector<OrderChoice> choices;
    if (auto const choice = this->next_by_floor(query))
        choices.push_back(*choice);
    for (auto const tier : query.queue.tiers()) {
        auto const choice = this->next_of_tier(query, tier);
        if (!choice)
            continue;
        choices.push_back(*choice);
        // NOTE: If no endpoint has capacity for this tier, none has for a lower tier, whose limits are stricter.
        break;
    }
    return choices;
}

std::optional<OrderChoice> DeadlineOrder::next_by_floor(OrderQuery const& query) const
{
    for (auto const& entry : query.queue.class_sizes()) {
        auto const request_class = entry.first;
        auto const size = entry.second;
        auto const& settings = query.policy.classes.at(request_class);
        if (size == 0 || settings.floor == 0
            || !query.floors.is_due(request_class, Core::to_seconds(query.estimates.at(request_class).mean_duration())))
            continue;
        QueuedRequest const* first = nullptr;
        query.queue.for_each_flow(settings.tier, [&](Flow const& flow) {
            if (flow.request_class != request_class)
                return;
            if (first == nullptr || flow.requests.front().sequence < first->sequence)
                first = &flow.requests.front();
        });
        if (first != nullptr)
            return OrderChoice { first->facts.id, full_window, Reason::PlacedByFloor };
    }
    return {};
}

std::optional<OrderChoice> DeadlineOrder::next_of_tier(OrderQuery const& query, TierId tier) const
{
    auto least_served = std::numeric_limits<double>::infinity();
    query.queue.for_each_flow(tier,
        [&](Flow const& flow) { least_served = std::min(least_served, query.shares.served(tier, flow.account)); });
    QueuedRequest const* in_time = nullptr;
    QueuedRequest const* late = nullptr;
    auto least_slack = Duration::max();
    query.queue.for_each_flow(tier, [&](Flow const& flow) {
        auto const& estimates = query.estimates.at(flow.request_class);
        auto const quantum = quantum_requests * Core::to_seconds(estimates.mean_duration());
        if (query.shares.served(tier, flow.account) > least_served + quantum)
            return;
        auto const& head = flow.requests.front();
        if (flow.is_late) {
            if (late == nullptr || head.patience_end < late->patience_end)
                late = &head;
            return;
        }
        auto const slack = slack_of(head, query.policy.classes.at(flow.request_class), estimates, query.now);
        if (in_time == nullptr || slack < least_slack) {
            least_slack = slack;
            in_time = &head;
        }
    });
    auto const* chosen = in_time != nullptr ? in_time : late;
    if (chosen == nullptr)
        return {};
    auto limit = query.limits[std::min<std::size_t>(tier.value(), tier_count - 1)];
    if (tier.value() == 0)
        limit.extra_requests = endpoint_queue_depth(query, chosen->facts.request_class);
    return OrderChoice { chosen->facts.id, limit, Reason::PlacedInTierOrder };
}

}
