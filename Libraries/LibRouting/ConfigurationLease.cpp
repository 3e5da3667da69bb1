#include <LibRouting/ConfigurationLease.h>

#include <algorithm>

namespace Routing {

bool ConfigurationLease::offer(SharedConfiguration offered, std::optional<Instant> confirmed_at)
{
    bool const is_newer = !this->in_force || offered->version() > this->in_force->version();
    if (is_newer)
        this->put_in_force(std::move(offered));
    if (confirmed_at)
        this->confirm(*confirmed_at);
    return is_newer;
}

void ConfigurationLease::put_in_force(SharedConfiguration offered)
{
    this->in_force_known_since.reset();
    if (offered->version() == this->newest_known)
        this->in_force_known_since = this->newest_known_since;
    else if (offered->version() < this->newest_known)
        this->in_force_known_since = this->superseded_since;
    this->in_force = std::move(offered);
    if (this->is_superseded())
        this->superseded_since = this->newest_known_since;
}

void ConfigurationLease::confirm(Instant read_sent_at)
{
    this->last_confirmed_at = std::max(this->last_confirmed_at, read_sent_at);
    if (this->unconfirmed_since && read_sent_at >= *this->unconfirmed_since)
        this->unconfirmed_since.reset();
    // NOTE: The store's answer to a read that was sent after the notification overrides the reported version.
    if (this->in_force && read_sent_at >= this->newest_notified_at)
        this->newest_known = this->in_force->version();
}

void ConfigurationLease::note_version(std::uint64_t version, Instant notified_at, Instant known_since)
{
    if (version <= this->newest_known)
        return;
    auto const longest = Core::from_seconds(Core::to_seconds(this->bounds.apply_within) * max_notification_delay_share);
    auto const since = std::clamp(known_since, notified_at - longest, notified_at);
    if (!this->is_superseded())
        this->superseded_since = since;
    this->newest_known = version;
    this->newest_notified_at = notified_at;
    this->newest_known_since = since;
}

void ConfigurationLease::note_overdue_version(std::uint64_t version, Instant notified_at)
{
    if (version <= this->newest_known)
        return;
    this->newest_known = version;
    this->newest_notified_at = notified_at;
    this->newest_known_since = notified_at - this->bounds.apply_within - Duration { 1 };
    this->superseded_since = this->newest_known_since;
}

ConfigurationFreshness ConfigurationLease::freshness(Instant now) const
{
    if (!this->in_force)
        return ConfigurationFreshness::Missing;
    auto const held = this->age(now);
    if (this->bounds.revoke_within
        && Core::to_seconds(held) > Core::to_seconds(*this->bounds.revoke_within) * share_of_revoke_bound)
        return ConfigurationFreshness::Expired;
    if (this->unconfirmed_since && held > this->bounds.apply_within)
        return ConfigurationFreshness::Expired;
    // NOTE: The limit counts from when the first box on the way learned of the version, which is seldom long after the
    // store's acknowledgement. If it counted from the notification of this box, a box behind two relays would serve the
    // old version for too long. If it counted from the last confirmation, boxes would refuse requests during long
    // transfers that complete in time.
    if (this->is_superseded()) {
        bool const is_due = now - this->superseded_since > this->bounds.apply_within;
        return is_due ? ConfigurationFreshness::Expired : ConfigurationFreshness::Aging;
    }
    return held <= this->bounds.apply_within + max_read_wait ? ConfigurationFreshness::Fresh
                                                             : ConfigurationFreshness::Aging;
}

}
