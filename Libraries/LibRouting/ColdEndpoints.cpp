#include <LibRouting/ColdEndpoints.h>

#include <algorithm>

namespace Routing {

double cold_limit(double cold_rate, ColdBounds const& bounds)
{
    // NOTE: A box may use its share of a slot at any moment of it, so any second may see the requests of two slots. The
    // slack is left to boxes that don't know yet that the endpoint is cold, or that know other boxes.
    constexpr double slots_per_second = 2;
    return std::min(cold_rate, cold_rate * bounds.rate_factor / slots_per_second);
}

void ColdEndpoints::update(KnownEndpoint const& endpoint, Duration cold_left, Instant now)
{
    if (cold_left > Duration { 0 })
        this->entries[endpoint.id].cold_until = now + cold_left;
    else if (auto const known = this->entries.find(endpoint.id); known != this->entries.end())
        known->second.cold_until = now;
}

void ColdEndpoints::assume_cold(KnownEndpoint const& endpoint, Duration duration, Instant now)
{
    this->entries[endpoint.id].assumed_until = now + duration;
}

bool ColdEndpoints::is_cold(EndpointId id, Instant now) const
{
    auto const known = this->entries.find(id);
    return known != this->entries.end() && now < std::max(known->second.cold_until, known->second.assumed_until);
}

bool ColdEndpoints::may_send(EndpointId id, SharedLimit const& limit, SendPriority rank, Instant now)
{
    return !this->is_cold(id, now) || this->entries.at(id).share.may_send(limit, rank);
}

bool ColdEndpoints::count_send(EndpointId id, SharedLimit const& limit, Instant now)
{
    if (!this->is_cold(id, now))
        return false;
    this->entries.at(id).share.count_send(limit);
    return true;
}

}
