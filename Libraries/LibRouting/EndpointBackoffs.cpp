#include <LibRouting/EndpointBackoffs.h>

#include <algorithm>

namespace Routing {

bool EndpointBackoffs::start(EndpointId id, Duration backoff, Instant now)
{
    bool const was_backed_off = this->is_backed_off(id, now);
    auto& entry = this->entries[id];
    entry.until = std::max(entry.until, now + backoff);
    entry.next_probe = entry.until;
    return !was_backed_off;
}

void EndpointBackoffs::request_accepted(EndpointId id, Instant sent_at)
{
    auto const found = this->entries.find(id);
    // NOTE: Requests that were sent before the backoff began may still be answered.
    if (found != this->entries.end() && sent_at >= found->second.until)
        this->entries.erase(found);
}

bool EndpointBackoffs::is_backed_off(EndpointId id, Instant now) const
{
    auto const found = this->entries.find(id);
    return found != this->entries.end() && now < found->second.until;
}

bool EndpointBackoffs::may_be_chosen(EndpointId id, Instant now) const
{
    return now >= this->available_at(id);
}

void EndpointBackoffs::endpoint_chosen(EndpointId id, Instant now)
{
    auto const found = this->entries.find(id);
    if (found != this->entries.end())
        found->second.next_probe = now + probe_interval;
}

Instant EndpointBackoffs::available_at(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? Instant::min() : found->second.next_probe;
}

Duration retry_after_backoff(Duration backoff, unsigned priority, double jitter)
{
    /// Clients of one priority retry within this time, and those of the next priority after it.
    constexpr double spread_seconds = 0.5;
    constexpr unsigned max_distinct_priorities = 3;
    return backoff + Core::from_seconds(spread_seconds * (std::min(priority, max_distinct_priorities) + jitter));
}

}
