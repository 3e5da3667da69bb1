#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <unordered_map>

namespace Routing {

using Core::Duration;
using Core::EndpointId;
using Core::Instant;

/// Endpoints that turned a request of this box away and said when it may come back.
///
/// Until then they get nothing, also where no other endpoint is left. Afterwards one request at a time probes whether
/// the endpoint takes work again, so that it isn't met by all that was sent elsewhere meanwhile.
class EndpointBackoffs {
public:
    /// The endpoint wants nothing for so long. True if it was not left alone before.
    bool start(EndpointId id, Duration backoff, Instant now);
    /// The endpoint took a request that was sent at that moment.
    void request_accepted(EndpointId id, Instant sent_at);
    void forget(EndpointId id) { this->entries.erase(id); }

    [[nodiscard]] bool is_backed_off(EndpointId id, Instant now) const;
    /// Whether the endpoint may be chosen: it may get requests, and no probe is under way.
    [[nodiscard]] bool may_be_chosen(EndpointId id, Instant now) const;
    /// A request goes there.
    void endpoint_chosen(EndpointId id, Instant now);
    /// When the endpoint may be chosen again.
    [[nodiscard]] Instant available_at(EndpointId id) const;

private:
    struct Entry {
        Instant until;
        Instant next_probe;
    };

    /// A probe shows within this time whether the endpoint takes requests: it turns them away at once.
    static constexpr Duration probe_interval { std::chrono::milliseconds(250) };

    std::unordered_map<EndpointId, Entry> entries;
};

/// When a client may come back for whom this box may send to no endpoint of a service until `backoff` is over. `drawn`,
/// from 0 to 1, spreads the clients, and less urgent ones (a higher priority) come later.
[[nodiscard]] Duration retry_after_backoff(Duration backoff, unsigned priority, double jitter);

}
