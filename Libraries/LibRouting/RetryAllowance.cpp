#include <LibRouting/RetryAllowance.h>

namespace Routing {

void RetryAllowance::request_sent(Instant now)
{
    this->forget_before(now - this->bounds.window);
    this->requests.push_back(now);
}

bool RetryAllowance::try_spend(Instant now)
{
    this->forget_before(now - this->bounds.window);
    auto const allowed = static_cast<double>(this->requests.size()) * this->bounds.ratio * share_of_ratio
        + this->bounds.slack * share_of_slack;
    if (static_cast<double>(this->repeats.size()) + 1 > allowed)
        return false;
    this->repeats.push_back(now);
    return true;
}

void RetryAllowance::forget_before(Instant cutoff)
{
    while (!this->requests.empty() && this->requests.front() < cutoff)
        this->requests.pop_front();
    while (!this->repeats.empty() && this->repeats.front() < cutoff)
        this->repeats.pop_front();
}

}
