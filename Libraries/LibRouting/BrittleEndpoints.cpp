#include <LibRouting/BrittleEndpoints.h>

#include <algorithm>
#include <cmath>

namespace Routing {

void BrittleEndpoints::apply_answer(EndpointId id, std::string const& service, std::optional<double> max_rejections)
{
    if (max_rejections) {
        this->entries[id].max_rejections = max_rejections;
        this->brittle_services.insert(service);
        return;
    }
    this->brittle_services.erase(service);
    if (auto const known = this->entries.find(id); known != this->entries.end())
        known->second.max_rejections.reset();
}

bool BrittleEndpoints::rejected(EndpointId id, double max_rejections, Instant at)
{
    auto& entry = this->entries[id];
    bool const is_news = !entry.rejected_at || at - *entry.rejected_at >= news_interval;
    entry.rejected_at = std::max(at, entry.rejected_at.value_or(at));
    entry.max_rejections_then = max_rejections;
    return is_news;
}

bool BrittleEndpoints::is_brittle(EndpointId id, std::string const& service) const
{
    auto const known = this->entries.find(id);
    bool const has_reported = known != this->entries.end() && known->second.max_rejections.has_value();
    return has_reported || this->brittle_services.contains(service);
}

std::optional<double> BrittleEndpoints::limit_of(EndpointId id, Instant now) const
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end() || !known->second.rejected_at)
        return {};
    auto const doublings = static_cast<int>((now - *known->second.rejected_at) / doubling_time);
    if (doublings >= max_doublings)
        return {};
    auto const first = std::max(min_limit, known->second.max_rejections_then * first_share);
    return std::ldexp(first, std::max(doublings, 0));
}

void BrittleEndpoints::count_own_rejection(EndpointId id, Instant at)
{
    auto& entry = this->entries[id];
    if (!entry.own_rejected_at || at - entry.own_rejections_since >= rejection_window) {
        entry.own_rejections_since = at;
        entry.own_rejections = 0;
    }
    entry.own_rejected_at = at;
    ++entry.own_rejections;
}

bool BrittleEndpoints::is_paused(EndpointId id, std::size_t boxes, Instant now) const
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end() || !known->second.own_rejected_at)
        return false;
    auto const& entry = known->second;
    // NOTE: Boxes don't tell each other the number of rejections, so each assumes that the others have as many.
    auto const by_all = static_cast<double>(entry.own_rejections) * static_cast<double>(boxes);
    bool const is_rest_used_up = by_all > entry.max_rejections_then * (1 - first_share);
    return is_rest_used_up && now - *entry.own_rejected_at < rejection_window;
}

bool BrittleEndpoints::may_send(EndpointId id, SharedLimit const& limit, SendPriority rank)
{
    return this->entries[id].share.may_send(limit, rank);
}

void BrittleEndpoints::count_send(EndpointId id, SharedLimit const& limit)
{
    this->entries[id].share.count_send(limit);
}

}
