#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace Routing {

using Core::Duration;
using Core::Instant;

/// Since when, and up to when, this box has known the list of endpoints without a gap.
class ListConfirmations {
public:
    /// The list was up to date at this time.
    void confirm(Instant confirmed_at)
    {
        if (!this->last || confirmed_at - *this->last > max_gap)
            this->known_since = confirmed_at;
        this->last = std::max(confirmed_at, this->last.value_or(confirmed_at));
    }
    /// The list may be outdated, as after the store was restored from a copy.
    void mark_uncertain() { this->last.reset(); }
    /// Whether the list has been known for this long after `event`. What the event changed is listed by then.
    [[nodiscard]] bool is_known_for(Duration duration, Instant event) const
    {
        return this->last && *this->last - std::max(event, this->known_since) >= duration;
    }

    /// Whether the list was up to date at a moment that is no longer ago than this.
    [[nodiscard]] bool is_recent(Duration max_age, Instant now) const
    {
        return this->last && now - *this->last <= max_age;
    }

private:
    /// If two confirmations are further apart, the list was unknown in between.
    static constexpr Duration max_gap { std::chrono::seconds(2) };

    std::optional<Instant> last;
    Instant known_since;
};

}
