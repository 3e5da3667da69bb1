#pragma once

#include <LibTraffic/Order.h>

namespace Traffic {

/// Input of an admission policy.
struct AdmissionQuery {
    QueuedRequest const& request;
    Settings::ClassSettings const& settings;
    ClassEstimates const& estimates;
    std::size_t queued { 0 };
    /// Predicted time until the request is placed.
    Duration predicted_wait { 0 };
    Instant now;
};

/// Admits requests until the queue is full. Used with the baseline policies.
class BoundedAdmission {
public:
    [[nodiscard]] std::optional<Reason> refusal_reason(AdmissionQuery const& query) const;
};

/// Refuses requests that are predicted to be answered too late: after the target if a late answer is useless, otherwise
/// after the client's patience.
class PredictiveAdmission {
public:
    [[nodiscard]] std::optional<Reason> refusal_reason(AdmissionQuery const& query) const;
};

using AdmissionPolicy = std::variant<BoundedAdmission, PredictiveAdmission>;

/// Maximum number of queued requests per pool and box.
inline constexpr std::size_t max_queue_length = 4096;

}
