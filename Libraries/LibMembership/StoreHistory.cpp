#include <LibMembership/StoreHistory.h>

namespace Membership {

StoreHistory::Relation StoreHistory::observe(std::uint64_t era, std::optional<Instant> era_began_at, Instant now)
{
    if (era == 0)
        return Relation::SameHistory;
    if (era < this->known_era)
        return Relation::EarlierHistory;
    bool const is_later = this->known_era != 0 && era > this->known_era;
    bool const is_first_report = is_later || this->known_era == 0 || !this->began_at;
    this->known_era = era;
    if (is_later)
        this->began_at = era_began_at.value_or(now);
    else if (is_first_report)
        this->began_at = era_began_at;
    return is_later ? Relation::LaterHistory : Relation::SameHistory;
}

}
