#include <LibRouting/EndpointNotices.h>

#include <algorithm>

namespace Routing {

namespace {

/// The stricter combination of two conditions, for when it is unknown which of the two is valid.
EndpointCondition stricter_of(EndpointCondition const& first, EndpointCondition const& second)
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

std::optional<EndpointNotice> EndpointNotices::apply_answer(
    EndpointId id, EndpointInstance const& endpoint, EndpointCondition const& reported, Instant sent_at, Instant now)
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end()) {
        if (reported == EndpointCondition {})
            return {};
        return this->entries.emplace(id, Entry { { endpoint, 1, reported, now }, now }).first->second.notice;
    }
    auto& entry = known->second;
    auto const condition = sent_at >= entry.learned_at ? reported : stricter_of(reported, entry.notice.condition);
    // NOTE: By now other boxes assume that the draining process was replaced, so they need a new notice.
    bool const is_new_drain = reported.is_draining && !this->may_still_drain(entry.notice);
    if (reported.is_draining)
        entry.notice.reported_at = now;
    if (condition == entry.notice.condition && !is_new_drain)
        return {};
    entry.notice = { endpoint, entry.notice.version + 1, condition, now };
    entry.learned_at = now;
    return entry.notice;
}

bool EndpointNotices::apply(EndpointId id, EndpointNotice const& reported, Instant now)
{
    auto const [known, is_new] = this->entries.try_emplace(id, Entry { reported, now });
    if (is_new)
        return true;
    auto& entry = known->second;
    auto const version = entry.notice.version;
    auto const condition
        = reported.version == version ? stricter_of(reported.condition, entry.notice.condition) : reported.condition;
    if (reported.version < version || (reported.version == version && condition == entry.notice.condition))
        return false;
    entry.notice = reported;
    entry.notice.condition = condition;
    entry.learned_at = now;
    return true;
}

bool EndpointNotices::may_still_drain(EndpointNotice const& notice) const
{
    return !this->list.is_known_for(max_unlisted_drain, notice.reported_at);
}

bool EndpointNotices::is_draining(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found != this->entries.end() && found->second.notice.condition.is_draining
        && this->may_still_drain(found->second.notice);
}

SharedLimit EndpointNotices::shared_limit(Entry const& entry, SharedMicroseconds now) const
{
    return { *entry.notice.condition.limit.per_second, entry.notice.endpoint.incarnation, this->boxes, now };
}

bool EndpointNotices::may_send(EndpointId id, SendPriority rank, SharedMicroseconds now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.notice.condition.limit.per_second)
        return true;
    auto& entry = found->second;
    return entry.share.may_send(this->shared_limit(entry, now), rank);
}

bool EndpointNotices::count_send(EndpointId id, SharedMicroseconds now)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end() || !found->second.notice.condition.limit.per_second)
        return false;
    auto& entry = found->second;
    entry.share.count_send(this->shared_limit(entry, now));
    return true;
}

RateLimit EndpointNotices::limit_of(EndpointId id) const
{
    auto const found = this->entries.find(id);
    return found == this->entries.end() ? RateLimit {} : found->second.notice.condition.limit;
}

std::size_t EndpointNotices::limited_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [](auto const& known) { return known.second.notice.condition.limit.per_second.has_value(); }));
}

std::vector<EndpointNotice> EndpointNotices::active(Instant now) const
{
    std::vector<EndpointNotice> notices;
    for (auto const& [id, entry] : this->entries) {
        if (entry.notice.condition != EndpointCondition {} || now - entry.learned_at <= resend_after_end)
            notices.push_back(entry.notice);
    }
    return notices;
}

Duration retry_after_limit(Duration slot, unsigned priority, double jitter)
{
    /// Least urgent requests wait this many times as long as the most urgent ones.
    constexpr unsigned max_factor = 4;
    auto const factor = std::min(priority + 1, max_factor);
    return Core::from_seconds(Core::to_seconds(slot) * factor * (0.5 + jitter));
}

}
