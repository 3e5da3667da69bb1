#include <LibTraffic/FairShares.h>

#include <algorithm>

namespace Traffic {

void FairShares::raise_to_least_served(TierId tier, AccountId account, double least_served)
{
    auto& served = this->served_seconds[{ tier, account }];
    served = std::max(served, least_served);
}

void FairShares::reset(TierId tier)
{
    std::erase_if(this->served_seconds, [&](auto const& entry) { return entry.first.first == tier; });
}

void FairShares::charge(TierId tier, AccountId account, double seconds, double weight)
{
    this->served_seconds[{ tier, account }] += seconds / weight;
}

double FairShares::served(TierId tier, AccountId account) const
{
    auto const found = this->served_seconds.find({ tier, account });
    return found == this->served_seconds.end() ? 0 : found->second;
}

void FloorLedger::earn(ClassId earning_class, double floor, double seconds, double mean_seconds)
{
    auto& credit = this->credit_seconds[earning_class];
    credit = std::min(credit + floor * seconds, max_saved_requests * mean_seconds);
}

bool FloorLedger::is_due(ClassId request_class, double mean_seconds) const
{
    auto const found = this->credit_seconds.find(request_class);
    return found != this->credit_seconds.end() && found->second >= mean_seconds;
}

void FloorLedger::spend(ClassId request_class, double seconds)
{
    this->credit_seconds[request_class] -= seconds;
}

void RetryBudget::add_request(double share)
{
    this->tokens = std::min(this->tokens + share, max_tokens);
}

bool RetryBudget::try_spend()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

}
