#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Routing {

void RetryBudget::request_sent(Instant now)
{
    this->forget_before(now - this->bounds.window);
    this->requests.push_back(now);
}

bool RetryBudget::try_spend(BoxGroup const& boxes, Instant now)
{
    this->forget_before(now - this->bounds.window);
    if (this->retries.size() >= this->allowance(boxes, now))
        return false;
    this->retries.push_back(now);
    return true;
}

unsigned RetryBudget::allowance(BoxGroup const& boxes, Instant now) const
{
    auto const sharers = static_cast<double>(std::max(boxes.size(), min_boxes));
    auto const exact = static_cast<double>(this->requests.size()) * this->bounds.ratio * used_ratio_share
        + this->bounds.slack * used_slack_share / sharers;
    // NOTE: Many boxes are allowed a fraction of a retry each. Another part of them gets a whole one in each window, so
    // that the sum is what the fractions add up to.
    auto const window = static_cast<std::uint64_t>(now.time_since_epoch() / this->bounds.window);
    auto const rounding = static_cast<double>(boxes.rank(window)) / static_cast<double>(boxes.size());
    return static_cast<unsigned>(exact + rounding);
}

void RetryBudget::forget_before(Instant cutoff)
{
    while (!this->requests.empty() && this->requests.front() < cutoff)
        this->requests.pop_front();
    while (!this->retries.empty() && this->retries.front() < cutoff)
        this->retries.pop_front();
}

}
