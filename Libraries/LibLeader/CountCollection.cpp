#include <LibLeader/CountCollection.h>

namespace Leader {

void CountCollection::begin_term(Instant since)
{
    this->term_began_at = since;
    this->listed_at.reset();
}

void CountCollection::boxes_listed(std::optional<Instant> asked_at, Instant now)
{
    if (!this->listed_at && asked_at && *asked_at >= this->term_began_at)
        this->listed_at = now;
}

bool CountCollection::is_complete(Instant now, Duration settling_time) const
{
    auto const begins_at = this->listed_at.value_or(this->term_began_at + max_list_wait);
    return now - begins_at >= settling_time;
}

}
