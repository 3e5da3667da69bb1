#include <LibRouting/EndpointNotices.h>

#include <algorithm>

namespace Routing {

namespace {

/// Whether the first limit leaves less than the second one.
bool is_tighter(RateLimit const& first, RateLimit const& second)
{
    return first.per_second && (!second.per_second || *first.per_second < *second.per_second);
}

}

void EndpointNotices::set_boxes(BoxGroup changed)
{
    this->boxes = std::move(changed);
}

std::optional<EndpointNotice> EndpointNotices::answered(
    EndpointId id, EndpointLife const& endpoint, RateLimit const& told, Instant sent_at, Instant now)
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end()) {
        if (!told.per_second)
            return {};
        return this->entries.emplace(id, Entry { { endpoint, 1, told }, now }).first->second.notice;
    }
    auto& entry = known->second;
    if (entry.notice.limit == told)
        return {};
    bool const was_sent_under_it = sent_at >= entry.learned_at;
    if (!was_sent_under_it && !is_tighter(told, entry.notice.limit))
        return {};
    entry.notice = { endpoint, entry.notice.version + 1, told };
    entry.learned_at = now;
    return entry.notice;
}

bool EndpointNotices::take(EndpointId id, EndpointNotice const& told, Instant now)
{
    auto const [known, is_new] = this->entries.try_emplace(id, Entry { told, now });
    if (is_new)
        return true;
    auto& entry = known->second;
    bool const is_newer = told.version > entry.notice.version
        || (told.version == entry.notice.version && is_tighter(told.limit, entry.notice.limit));
    if (!is_newer)
        return false;
    entry.notice = told;
    entry.learned_at = now;
    return true;
}

void EndpointNotices::enter_slot(Entry& entry, SharedMicroseconds now) const
{
    RateSchedule const schedule(*entry.notice.limit.per_second);
    auto const slot = schedule.slot_at(now);
    if (slot == entry.slot)
        return;
    entry.asked_first_before = slot == entry.slot + 1 ? entry.asked_first : 0;
    entry.asked_first = 0;
    entry.slot = slot;
    entry.left = schedule.requests_of(slot, entry.notice.endpoint.incarnation, this->boxes);
}

bool EndpointNotices::may_send(EndpointId id, SendRank rank, SharedMicroseconds now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.notice.limit.per_second)
        return true;
    auto& entry = found->second;
    this->enter_slot(entry, now);
    if (rank == SendRank::First) {
        ++entry.asked_first;
        return entry.left > 0;
    }
    bool const is_late = RateSchedule(*entry.notice.limit.per_second).is_late_in_slot(now);
    return entry.left > (is_late ? 0 : entry.asked_first_before);
}

bool EndpointNotices::count_send(EndpointId id, SharedMicroseconds now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.notice.limit.per_second)
        return false;
    auto& entry = found->second;
    this->enter_slot(entry, now);
    entry.left -= std::min(entry.left, 1U);
    return true;
}

RateLimit EndpointNotices::limit_of(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? RateLimit {} : found->second.notice.limit;
}

std::size_t EndpointNotices::limited() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [](auto const& known) { return known.second.notice.limit.per_second.has_value(); }));
}

std::vector<EndpointNotice> EndpointNotices::worth_telling(Instant now) const
{
    std::vector<EndpointNotice> notices;
    for (auto const& [id, entry] : this->entries) {
        if (entry.notice.limit.per_second || now - entry.learned_at <= told_after_end)
            notices.push_back(entry.notice);
    }
    return notices;
}

Duration come_back_after_limit(Duration slot, unsigned priority, double drawn)
{
    /// Least urgent requests come back after so many times what the most urgent ones wait.
    constexpr unsigned most_times = 4;
    auto const times = std::min(priority + 1, most_times);
    return Core::from_seconds(Core::to_seconds(slot) * times * (0.5 + drawn));
}

}
