#include <LibMembership/RelaySearch.h>

#include <LibCore/Verify.h>
#include <algorithm>
#include <random>

namespace Membership {

RelaySearch::RelaySearch(BoxRecord const& own, std::uint64_t seed)
    : own_name(own.name)
    , has_narrow_link(!BoxDirectory::has_wide_link(own))
    , random(seed)
{
}

RelaySearch::Step RelaySearch::next(Instant now) const
{
    if (this->is_leading)
        return Lead {};
    if (this->relay)
        return Follow { *this->relay };
    if (this->may_claim)
        return Claim {};
    if (now < this->reads_at)
        return Wait { this->reads_at - now };
    return ReadRecord {};
}

void RelaySearch::record_read(std::optional<BoxRecord> const& found, Instant now)
{
    this->failures = 0;
    if (found && found->name == this->own_name) {
        this->is_leading = true;
        return;
    }
    if (found && !this->lost_relays.contains(found->name)) {
        this->relay = found;
        this->follows_since = now;
        this->claims_at.reset();
        return;
    }
    if (!this->claims_at) {
        auto const extra = this->has_narrow_link ? narrow_claim_delay : Duration { 0 };
        this->claims_at = now + extra + this->random_up_to(max_claim_delay);
    }
    this->may_claim = now >= *this->claims_at;
    this->reads_at = *this->claims_at;
}

void RelaySearch::read_failed(Instant now)
{
    /// Enough to get from the first limit to the highest one; limits the shift.
    constexpr unsigned max_doublings = 10;
    auto const limit = std::min(first_pause_limit * (1U << std::min(this->failures++, max_doublings)), max_pause_limit);
    this->may_claim = false;
    this->reads_at = now + this->random_up_to(limit);
}

void RelaySearch::claim_failed(Instant now)
{
    this->may_claim = false;
    this->reads_at = now;
}

std::optional<RelaySearch::RelayLoss> RelaySearch::loss(RelayState const& state, Instant now) const
{
    if (!this->relay)
        return std::nullopt;
    if (state.silent_since && now - *state.silent_since >= max_relay_silence)
        return RelayLoss::DoesNotRespond;
    if (now - this->follows_since < max_list_wait)
        return std::nullopt;
    if (!state.has_sent_list)
        return RelayLoss::SentNoList;
    return state.has_recent_data ? std::nullopt : std::optional(RelayLoss::HasOutdatedData);
}

void RelaySearch::relay_lost(std::string const& name, Instant now)
{
    this->lost_relays.insert(name);
    this->relay.reset();
    this->reads_at = now;
}

Duration RelaySearch::random_up_to(Duration limit)
{
    return Duration { std::uniform_int_distribution<Duration::rep>(0, limit.count())(this->random) };
}

std::string_view to_string(RelaySearch::RelayLoss loss)
{
    switch (loss) {
    case RelaySearch::RelayLoss::DoesNotRespond:
        return "does not respond";
    case RelaySearch::RelayLoss::SentNoList:
        return "has sent no list of boxes";
    case RelaySearch::RelayLoss::HasOutdatedData:
        return "has no recent data";
    }
    VERIFY(false);
}

}
