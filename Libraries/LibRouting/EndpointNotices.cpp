#include <LibRouting/EndpointNotices.h>

#include <algorithm>

namespace Routing {

namespace {

/// What holds if either may.
EndpointCondition worse_of(EndpointCondition const& first, EndpointCondition const& second)
{
    auto const& limit = first.limit.per_second;
    bool const is_tighter = limit && (!second.limit.per_second || *limit < *second.limit.per_second);
    return { is_tighter ? first.limit : second.limit, first.is_draining || second.is_draining };
}

}

void EndpointNotices::set_boxes(BoxGroup changed)
{
    this->boxes = std::move(changed);
}

std::optional<EndpointNotice> EndpointNotices::answered(
    EndpointId id, EndpointLife const& endpoint, EndpointCondition const& told, Instant sent_at, Instant now)
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end()) {
        if (told == EndpointCondition {})
            return {};
        return this->entries.emplace(id, Entry { { endpoint, 1, told, now }, now }).first->second.notice;
    }
    auto& entry = known->second;
    auto const condition = sent_at >= entry.learned_at ? told : worse_of(told, entry.notice.condition);
    // NOTE: Other boxes take it for another process by now, too.
    bool const drains_after_all = told.is_draining && !this->may_still_drain(entry.notice);
    if (told.is_draining)
        entry.notice.told_at = now;
    if (condition == entry.notice.condition && !drains_after_all)
        return {};
    entry.notice = { endpoint, entry.notice.version + 1, condition, now };
    entry.learned_at = now;
    return entry.notice;
}

bool EndpointNotices::take(EndpointId id, EndpointNotice const& told, Instant now)
{
    auto const [known, is_new] = this->entries.try_emplace(id, Entry { told, now });
    if (is_new)
        return true;
    auto& entry = known->second;
    auto const version = entry.notice.version;
    auto const condition = told.version == version ? worse_of(told.condition, entry.notice.condition) : told.condition;
    if (told.version < version || (told.version == version && condition == entry.notice.condition))
        return false;
    entry.notice = told;
    entry.notice.condition = condition;
    entry.learned_at = now;
    return true;
}

void EndpointNotices::list_confirmed(Instant vouched_at)
{
    if (!this->list_confirmed_at || vouched_at - *this->list_confirmed_at > longest_list_gap)
        this->list_known_since = vouched_at;
    this->list_confirmed_at = std::max(vouched_at, this->list_confirmed_at.value_or(vouched_at));
}

bool EndpointNotices::may_still_drain(EndpointNotice const& notice) const
{
    if (!this->list_confirmed_at)
        return true;
    return *this->list_confirmed_at - std::max(notice.told_at, this->list_known_since) < longest_unlisted_drain;
}

bool EndpointNotices::is_draining(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found != this->entries.end() && found->second.notice.condition.is_draining
        && this->may_still_drain(found->second.notice);
}

void EndpointNotices::enter_slot(Entry& entry, SharedMicroseconds now) const
{
    RateSchedule const schedule(*entry.notice.condition.limit.per_second);
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
    if (found == this->entries.end() || !found->second.notice.condition.limit.per_second)
        return true;
    auto& entry = found->second;
    this->enter_slot(entry, now);
    if (rank == SendRank::First) {
        ++entry.asked_first;
        return entry.left > 0;
    }
    bool const is_late = RateSchedule(*entry.notice.condition.limit.per_second).is_late_in_slot(now);
    return entry.left > (is_late ? 0 : entry.asked_first_before);
}

bool EndpointNotices::count_send(EndpointId id, SharedMicroseconds now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.notice.condition.limit.per_second)
        return false;
    auto& entry = found->second;
    this->enter_slot(entry, now);
    entry.left -= std::min(entry.left, 1U);
    return true;
}

RateLimit EndpointNotices::limit_of(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? RateLimit {} : found->second.notice.condition.limit;
}

std::size_t EndpointNotices::limited() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [](auto const& known) { return known.second.notice.condition.limit.per_second.has_value(); }));
}

std::vector<EndpointNotice> EndpointNotices::worth_telling(Instant now) const
{
    std::vector<EndpointNotice> notices;
    for (auto const& [id, entry] : this->entries) {
        if (entry.notice.condition != EndpointCondition {} || now - entry.learned_at <= told_after_end)
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
