#include <LibMembership/DepartedEndpoints.h>

#include <algorithm>

namespace Membership {

void DepartedEndpoints::add(Routing::EndpointInstance const& instance, Instant now)
{
    this->departures.insert_or_assign(instance, now);
    if (this->departures.size() <= max_entries)
        return;
    std::erase_if(this->departures, [now](auto const& departure) { return now - departure.second > retention; });
    if (this->departures.size() > max_entries)
        this->departures.erase(
            std::ranges::min_element(this->departures, {}, [](auto const& departure) { return departure.second; }));
}

void DepartedEndpoints::remove_from(std::vector<Routing::EndpointRecord>& records, Instant now) const
{
    std::erase_if(records, [&](auto const& record) {
        auto const found = this->departures.find(Routing::instance_of(record));
        return found != this->departures.end() && now - found->second <= retention;
    });
}

}
