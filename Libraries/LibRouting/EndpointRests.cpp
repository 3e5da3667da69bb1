#include <LibRouting/EndpointRests.h>

#include <algorithm>

namespace Routing {

bool EndpointRests::asked(EndpointId id, Duration rest, Instant now)
{
    bool const was_resting = this->is_resting(id, now);
    auto& entry = this->entries[id];
    entry.until = std::max(entry.until, now + rest);
    entry.next_try = entry.until;
    return !was_resting;
}

void EndpointRests::accepted(EndpointId id, Instant sent_at)
{
    auto const found = this->entries.find(id);
    // NOTE: What was sent before the rest was asked for may be answered during it.
    if (found != this->entries.end() && sent_at >= found->second.until)
        this->entries.erase(found);
}

bool EndpointRests::is_resting(EndpointId id, Instant now) const
{
    auto const found = this->entries.find(id);
    return found != this->entries.end() && now < found->second.until;
}

bool EndpointRests::may_be_chosen(EndpointId id, Instant now) const
{
    return now >= this->free_at(id);
}

void EndpointRests::chosen(EndpointId id, Instant now)
{
    auto const found = this->entries.find(id);
    if (found != this->entries.end())
        found->second.next_try = now + try_interval;
}

Instant EndpointRests::free_at(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? Instant::min() : found->second.next_try;
}

Duration come_back_after_rest(Duration rest, unsigned priority, double drawn)
{
    /// Clients of one priority come back within this time of one another, and those of the next after it.
    constexpr double spread_seconds = 0.5;
    constexpr unsigned most_told_apart = 3;
    return rest + Core::from_seconds(spread_seconds * (std::min(priority, most_told_apart) + drawn));
}

}
