#include <LibLeader/LeaderElection.h>

#include <algorithm>

namespace Leader {

bool LeaderElection::hear(Announcement const& announcement, Instant now)
{
    if (this->known && announcement.token < this->known->token)
        return false;
    this->known = announcement;
    this->heard_at = std::max(this->heard_at, now);
    this->claim_pause = first_claim_pause;
    return true;
}

void LeaderElection::won(Announcement const& own, Instant now)
{
    static_cast<void>(this->hear(own, now));
}

void LeaderElection::stepped_down(Instant now)
{
    // NOTE: Two leases, so that no other leader's time lies between two of this one's within a lease.
    this->stands_back_until = now + 2 * this->lease;
}

void LeaderElection::claim_failed(Instant now)
{
    this->stands_back_until = now + this->claim_pause;
    this->claim_pause = std::min(2 * this->claim_pause, longest_claim_pause);
}

bool LeaderElection::may_claim(std::size_t rank, Instant now) const
{
    if (now < this->stands_back_until)
        return false;
    bool const is_vacant = this->known && this->known->has_resigned;
    auto const patience = (is_vacant ? Duration { 0 } : this->lease) + static_cast<Duration::rep>(rank) * step;
    return now - this->heard_at >= patience;
}

}
