#pragma once

#include <LibRouting/Configuration.h>

#include <deque>

namespace Routing {

/// Limits of the retry budget of a service, which all boxes share.
struct RetryBounds {
    /// Retries allowed per request in a window.
    double ratio { 0.2 };
    Duration window { std::chrono::seconds(10) };
    /// Additional retries allowed in a window, for all boxes together.
    double slack { 0 };

    bool operator==(RetryBounds const&) const = default;
};

/// This box's part of a service's retry budget. Boxes do not communicate: each counts its own requests and uses only a
/// small part of the shared slack.
class RetryBudget {
public:
    explicit RetryBudget(RetryBounds bounds)
        : bounds(bounds)
    {
    }

    void request_sent(Instant now);
    /// Counts a retry if the budget allows it, and returns whether it does.
    [[nodiscard]] bool try_spend(Instant now);

private:
    /// Fraction of the ratio that is used. Requests and their retries may fall into different windows.
    static constexpr double used_ratio_share = 0.85;
    /// Fraction of the slack that one box may use. The retries of a hundred boxes stay within the whole budget.
    static constexpr double own_slack_share = 0.04;

    void forget_before(Instant cutoff);

    RetryBounds bounds;
    std::deque<Instant> requests;
    std::deque<Instant> retries;
};

}
