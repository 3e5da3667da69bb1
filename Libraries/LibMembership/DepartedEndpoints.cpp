#include <LibMembership/DepartedEndpoints.h>

namespace Membership {

void DepartedEndpoints::add(Routing::EndpointInstance const& instance, Instant now, Departure departure)
{
    auto& entry = this->departures[instance];
    // NOTE: A draining endpoint's entry is removed in the end, which doesn't take back what it announced.
    if (entry.departure != Departure::Announced)
        entry.departure = departure;
    entry.at = now;
    if (this->departures.size() <= this->max_entries)
        return;
    std::erase_if(this->departures, [now](auto const& known) { return now - known.second.at > retention; });
    if (this->departures.size() > this->max_entries)
        this->departures.erase(
            std::ranges::min_element(this->departures, {}, [](auto const& known) { return known.second.at; }));
}

void DepartedEndpoints::remove_from(std::vector<Routing::EndpointRecord>& records, Instant now) const
{
    std::erase_if(records, [&](auto const& record) {
        auto const found = this->departures.find(Routing::instance_of(record));
        return found != this->departures.end() && now - found->second.at <= retention;
    });
}

void DepartedEndpoints::store_restored()
{
    for (auto& [instance, entry] : this->departures) {
        if (entry.departure == Departure::Unlisted)
            entry.departure = Departure::Lapsed;
    }
}

std::optional<Departure> DepartedEndpoints::contradicted_by(Routing::EndpointRecord const& record, Instant now) const
{
    auto const found = this->departures.find(Routing::instance_of(record));
    if (found == this->departures.end())
        return {};
    auto const& [at, departure] = found->second;
    bool const is_contradicted = (departure == Departure::Announced && !record.draining && now - at <= retention)
        || (departure == Departure::Unlisted && now - at <= max_late_write_effect);
    return is_contradicted ? std::optional(departure) : std::nullopt;
}

}
