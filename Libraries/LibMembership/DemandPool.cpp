#include <LibMembership/DemandPool.h>

namespace Membership {

void DemandPool::take(std::string const& asker, std::map<std::string, Routing::WorkTotals> work, Instant now)
{
    std::erase_if(this->boxes, [now](auto const& entry) { return now - entry.second.at > memory; });
    this->boxes.insert_or_assign(asker, Heard { std::move(work), now });
}

std::map<std::string, Routing::WorkTotals> DemandPool::totals(Instant now) const
{
    std::map<std::string, Routing::WorkTotals> sums;
    for (auto const& [name, heard] : this->boxes) {
        if (now - heard.at > memory)
            continue;
        for (auto const& [service, totals] : heard.work) {
            auto& sum = sums[service];
            sum.answer_work += totals.answer_work;
            sum.prompt_work += totals.prompt_work;
        }
    }
    return sums;
}

}
