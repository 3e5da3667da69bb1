#pragma once

#include <LibTraffic/ClassEstimates.h>
#include <LibTraffic/DemandMeter.h>
#include <LibTraffic/FairShares.h>
#include <LibTraffic/RequestQueue.h>

#include <optional>

namespace Traffic {

/// Input of an order policy.
struct OrderQuery {
    RequestQueue const& queue;
    std::map<ClassId, ClassEstimates> const& estimates;
    PoolPolicy const& policy;
    FairShares const& shares;
    FloorLedger const& floors;
    TierLimits const& limits;
    /// Mean concurrency window of the endpoints.
    double mean_window { 1 };
    Instant now;
};

/// The request to place next, and the limit on its use of an endpoint's window.
struct OrderChoice {
    RequestId request;
    WindowLimit limit;
    Reason reason { Reason::PlacedInTierOrder };
};

/// Time until the latest start that still meets the target. If late answers are useless, the attempt is assumed to be
/// slow, to avoid work for late answers; otherwise typical, to avoid treating a request as late too early.
[[nodiscard]] Duration slack_of(QueuedRequest const& request, Settings::ClassSettings const& settings,
    ClassEstimates const& estimates, Instant now);

/// Baseline: first come, first served over all tiers.
class FifoOrder {
public:
    [[nodiscard]] std::vector<OrderChoice> next(OrderQuery const& query) const;
};

/// Baseline: most urgent tier first, first come, first served within a tier.
class StrictOrder {
public:
    [[nodiscard]] std::vector<OrderChoice> next(OrderQuery const& query) const;
};

/// Floors first, then tiers in order. Within a tier, the request with the least slack among the accounts that are not
/// too far ahead of the least served one; requests that can no longer meet their target come last.
class DeadlineOrder {
public:
    /// Choices in the order to try them; each one is tried only if no endpoint can take the one before.
    [[nodiscard]] std::vector<OrderChoice> next(OrderQuery const& query) const;

private:
    [[nodiscard]] std::optional<OrderChoice> next_by_floor(OrderQuery const& query) const;
    [[nodiscard]] std::optional<OrderChoice> next_of_tier(OrderQuery const& query, TierId tier) const;

    /// How far an account may be ahead of the least served one, in requests of the class.
    static constexpr double quantum_requests = 4.0;
};

using OrderPolicy = std::variant<FifoOrder, StrictOrder, DeadlineOrder>;

}
