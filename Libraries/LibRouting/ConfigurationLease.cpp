#include <LibRouting/ConfigurationLease.h>

#include <algorithm>

namespace Routing {

bool ConfigurationLease::offer(SharedConfiguration offered, std::optional<Instant> vouched_at)
{
    bool const is_newer = !this->in_force || offered->version() > this->in_force->version();
    if (is_newer)
        this->in_force = std::move(offered);
    if (is_newer && this->is_superseded())
        this->superseded_since = this->newest_told_at;
    if (vouched_at)
        this->confirm(*vouched_at);
    return is_newer;
}

void ConfigurationLease::confirm(Instant asked_at)
{
    this->confirmed_at = std::max(this->confirmed_at, asked_at);
    // NOTE: What the store says later than this box was told of a newer version is the truth, whoever told it.
    if (this->in_force && asked_at >= this->newest_told_at)
        this->newest_known = this->in_force->version();
}

void ConfigurationLease::note_version(std::uint64_t version, Instant told_at)
{
    if (version <= this->newest_known)
        return;
    if (!this->is_superseded())
        this->superseded_since = told_at;
    this->newest_known = version;
    this->newest_told_at = told_at;
}

ConfigurationTrust ConfigurationLease::trust(Instant now) const
{
    if (!this->in_force)
        return ConfigurationTrust::Missing;
    auto const held = this->age(now);
    if (this->bounds.revoke_within
        && Core::to_seconds(held) > Core::to_seconds(*this->bounds.revoke_within) * share_of_revoke_bound)
        return ConfigurationTrust::Expired;
    // NOTE: Counted from when this box was told, which is seldom later than the acknowledgement of a large version.
    // Counted from the last confirmation, boxes refused during transfers of 1.5 s that came in time.
    if (this->is_superseded()) {
        bool const is_due = now - this->superseded_since > this->bounds.apply_within;
        return is_due ? ConfigurationTrust::Expired : ConfigurationTrust::Aging;
    }
    return held <= this->bounds.apply_within + waiting_read ? ConfigurationTrust::Fresh : ConfigurationTrust::Aging;
}

}
