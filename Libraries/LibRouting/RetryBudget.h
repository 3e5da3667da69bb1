#pragma once

#include <LibRouting/Configuration.h>

#include <deque>

namespace Routing {

/// The budget for sending requests to a second endpoint, which all boxes share for each service.
struct RetryBounds {
    /// Repeats allowed for each request in a window.
    double ratio { 0.2 };
    Duration window { std::chrono::seconds(10) };
    /// Repeats allowed in a window beyond the ratio, for all boxes together.
    double slack { 0 };

    bool operator==(RetryBounds const&) const = default;
};

/// This box's part of the budget of one service. Boxes do not talk: each counts its own requests and leaves most of
/// the shared slack alone.
class RetryBudget {
public:
    explicit RetryBudget(RetryBounds bounds)
        : bounds(bounds)
    {
    }

    void request_sent(Instant now);
    /// Counts a repeat if the budget has room for it.
    [[nodiscard]] bool try_spend(Instant now);

private:
    /// Part of the ratio that is used. Requests and their repeats may fall into different windows.
    static constexpr double used_ratio_share = 0.85;
    /// Part of the slack that one box may use. A hundred boxes stay inside it.
    static constexpr double own_slack_share = 0.04;

    void forget_before(Instant cutoff);

    RetryBounds bounds;
    std::deque<Instant> requests;
    std::deque<Instant> retries;
};

}
