#include <LibLeader/LeaderElection.h>

#include <algorithm>

namespace Leader {

bool LeaderElection::receive(Announcement const& announcement, Instant now)
{
    if (this->last_announcement && announcement.token < this->last_announcement->token)
        return false;
    this->last_announcement = announcement;
    this->silent_since = std::max(this->silent_since, now);
    this->claim_pause = first_claim_pause;
    return true;
}

void LeaderElection::claim_succeeded(Announcement const& own, Instant now)
{
    static_cast<void>(this->receive(own, now));
}

void LeaderElection::stepped_down(Instant now)
{
    // NOTE: Two leases, so that the shared time does not change from this leader to another and back within a lease.
    this->claims_blocked_until = now + 2 * this->lease;
}

void LeaderElection::claim_failed(Instant now)
{
    this->claims_blocked_until = now + this->claim_pause;
    this->claim_pause = std::min(2 * this->claim_pause, max_claim_pause);
}

bool LeaderElection::may_claim(std::size_t rank, Instant now) const
{
    if (now < this->claims_blocked_until)
        return false;
    bool const is_vacant = this->last_announcement && this->last_announcement->has_resigned;
    auto const delay = (is_vacant ? Duration { 0 } : this->lease) + static_cast<Duration::rep>(rank) * rank_delay;
    return now - this->silent_since >= delay;
}

}
