#pragma once

#include <LibTraffic/Order.h>

namespace Traffic {

/// What an admission policy may look at.
struct AdmissionQuery {
    QueuedRequest const& request;
    Settings::ClassSettings const& settings;
    ClassEstimates const& estimates;
    std::size_t queued { 0 };
    /// Predicted time until the request would be placed.
    Duration predicted_wait { 0 };
    Instant now;
};

/// Lets everything in until the queue is full. Goes with the baselines.
class BoundedAdmission {
public:
    [[nodiscard]] std::optional<Reason> refusal_reason(AdmissionQuery const& query) const;
};

/// Refuses at once what could only be answered too late: after the target where a late answer is worth nothing,
/// after the caller's patience otherwise.
class PredictiveAdmission {
public:
    [[nodiscard]] std::optional<Reason> refusal_reason(AdmissionQuery const& query) const;
};

using AdmissionPolicy = std::variant<BoundedAdmission, PredictiveAdmission>;

/// Requests that one pool keeps waiting on one box at the most.
inline constexpr std::size_t max_queue_length = 4096;

}
