#include <LibMembership/StoreHistory.h>

namespace Membership {

StoreHistory::Heard StoreHistory::hear(std::uint64_t era, std::optional<Instant> risen_at, Instant now)
{
    if (era == 0)
        return Heard::SameHistory;
    if (era < this->known_era)
        return Heard::EarlierHistory;
    bool const is_later = this->known_era != 0 && era > this->known_era;
    bool const is_news = is_later || this->known_era == 0 || !this->risen;
    this->known_era = era;
    if (is_later)
        this->risen = risen_at.value_or(now);
    else if (is_news)
        this->risen = risen_at;
    return is_later ? Heard::LaterHistory : Heard::SameHistory;
}

}
