#include <LibMembership/DemandPool.h>

namespace Membership {

void DemandPool::update(std::string const& requester, std::map<std::string, Routing::WorkTotals> work, Instant now)
{
    std::erase_if(this->boxes, [now](auto const& entry) { return now - entry.second.at > retention; });
    this->boxes.insert_or_assign(requester, Demand { std::move(work), now });
}

std::map<std::string, Routing::WorkTotals> DemandPool::totals(Instant now) const
{
    std::map<std::string, Routing::WorkTotals> sums;
    for (auto const& [name, demand] : this->boxes) {
        if (now - demand.at > retention)
            continue;
        for (auto const& [service, totals] : demand.work) {
            auto& sum = sums[service];
            sum.answer_work += totals.answer_work;
            sum.prompt_work += totals.prompt_work;
        }
    }
    return sums;
}

}
