#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <unordered_map>

namespace Routing {

using Core::Duration;
using Core::EndpointId;
using Core::Instant;

/// Endpoints that turned a request of this box away and said for how long they want nothing from it.
///
/// Such a time is kept in any case, also where no other endpoint is left. After it one request at a time tries whether
/// the endpoint takes work again, so that it isn't met by all that was sent elsewhere meanwhile.
class EndpointRests {
public:
    /// The endpoint wants nothing for so long. True if it was not resting before.
    bool asked(EndpointId id, Duration rest, Instant now);
    /// The endpoint took a request that was sent at that moment.
    void accepted(EndpointId id, Instant sent_at);
    void forget(EndpointId id) { this->entries.erase(id); }

    [[nodiscard]] bool is_resting(EndpointId id, Instant now) const;
    /// Whether the endpoint may be chosen: it is not resting, and no try whether it takes work again is under way.
    [[nodiscard]] bool may_be_chosen(EndpointId id, Instant now) const;
    /// A request goes there.
    void chosen(EndpointId id, Instant now);
    /// When the endpoint may be chosen again.
    [[nodiscard]] Instant free_at(EndpointId id) const;

private:
    struct Entry {
        Instant until;
        /// When the next try may begin.
        Instant next_try;
    };

    /// A try shows within this time whether the endpoint takes requests: it turns them away at once.
    static constexpr Duration try_interval { std::chrono::milliseconds(250) };

    std::unordered_map<EndpointId, Entry> entries;
};

/// When a client may come back for whom all endpoints of a service rest. `rest` is what is left of the first that ends;
/// `drawn`, from 0 to 1, spreads the clients, and less urgent ones (a higher priority) come later.
[[nodiscard]] Duration come_back_after_rest(Duration rest, unsigned priority, double drawn);

}
