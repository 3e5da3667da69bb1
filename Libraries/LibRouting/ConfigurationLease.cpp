#include <LibRouting/ConfigurationLease.h>

#include <algorithm>

namespace Routing {

bool ConfigurationLease::offer(SharedConfiguration offered, Instant asked_at)
{
    bool const is_newer = !this->in_force || offered->version() > this->in_force->version();
    if (is_newer)
        this->in_force = std::move(offered);
    this->confirm(asked_at);
    return is_newer;
}

void ConfigurationLease::confirm(Instant asked_at)
{
    this->confirmed_at = std::max(this->confirmed_at, asked_at);
}

ConfigurationTrust ConfigurationLease::trust(Instant now) const
{
    if (!this->in_force)
        return ConfigurationTrust::Missing;
    auto const held = this->age(now);
    if (this->bounds.revoke_within
        && Core::to_seconds(held) > Core::to_seconds(*this->bounds.revoke_within) * share_of_revoke_bound)
        return ConfigurationTrust::Expired;
    bool const is_fresh = held <= this->bounds.apply_within + waiting_read && !this->is_superseded();
    return is_fresh ? ConfigurationTrust::Fresh : ConfigurationTrust::Aging;
}

}
