#pragma once

#include <LibRouting/Configuration.h>
#include <LibRouting/RateSchedule.h>

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

/// This box's part of a service's retry budget. Each box counts its own requests and uses an equal part of the shared
/// slack; boxes need to know only how many they are.
class RetryBudget {
public:
    explicit RetryBudget(RetryBounds bounds)
        : bounds(bounds)
    {
    }

    void request_sent(Instant now);
    /// Counts a retry if the budget allows it, and returns whether it does.
    [[nodiscard]] bool try_spend(BoxGroup const& boxes, Instant now);

private:
    /// Fraction of the ratio that is used. Requests and their retries may fall into different windows.
    static constexpr double used_ratio_share = 0.85;
    /// Fraction of the slack that all boxes use together. The rest is for boxes that know of fewer boxes than there
    /// are.
    static constexpr double used_slack_share = 0.8;
    /// The slack is divided among at least this many boxes, since a box that has just started may know of none.
    static constexpr std::size_t min_boxes = 20;

    void forget_before(Instant cutoff);
    /// Retries allowed in the window that ends now.
    [[nodiscard]] unsigned allowance(BoxGroup const& boxes, Instant now) const;

    RetryBounds bounds;
    std::deque<Instant> requests;
    std::deque<Instant> retries;
};

}
