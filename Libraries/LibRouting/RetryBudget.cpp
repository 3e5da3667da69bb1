#include <LibRouting/RetryBudget.h>

namespace Routing {

void RetryBudget::request_sent(Instant now)
{
    this->forget_before(now - this->bounds.window);
    this->requests.push_back(now);
}

bool RetryBudget::try_spend(Instant now)
{
    this->forget_before(now - this->bounds.window);
    auto const allowed = static_cast<double>(this->requests.size()) * this->bounds.ratio * used_ratio_share
        + this->bounds.slack * own_slack_share;
    if (static_cast<double>(this->retries.size()) + 1 > allowed)
        return false;
    this->retries.push_back(now);
    return true;
}

void RetryBudget::forget_before(Instant cutoff)
{
    while (!this->requests.empty() && this->requests.front() < cutoff)
        this->requests.pop_front();
    while (!this->retries.empty() && this->retries.front() < cutoff)
        this->retries.pop_front();
}

}
