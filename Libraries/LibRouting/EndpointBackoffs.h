#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <unordered_map>

namespace Routing {

using Core::Duration;
using Core::EndpointId;
using Core::Instant;

/// Endpoints that refused a request of this box and named a time to retry.
///
/// Until then they get no requests, even if no other endpoint is left. Afterwards one request at a time probes whether
/// the endpoint accepts requests again, so that it does not get all the traffic at once.
class EndpointBackoffs {
public:
    /// The endpoint asked for no requests for this long. Returns whether the backoff is a new one.
    bool start(EndpointId id, Duration backoff, Instant now);
    /// The endpoint accepted a request that was sent at this time.
    void request_accepted(EndpointId id, Instant sent_at);
    void forget(EndpointId id) { this->entries.erase(id); }

    [[nodiscard]] bool is_backed_off(EndpointId id, Instant now) const;
    /// Whether the endpoint may be chosen: it is not backed off, and no probe is running.
    [[nodiscard]] bool may_be_chosen(EndpointId id, Instant now) const;
    /// A request is about to be sent to the endpoint.
    void endpoint_chosen(EndpointId id, Instant now);
    /// When the endpoint may be chosen again.
    [[nodiscard]] Instant available_at(EndpointId id) const;

private:
    struct Entry {
        Instant until;
        Instant next_probe;
    };

    /// Time between probes. An endpoint that refuses a probe does so at once.
    static constexpr Duration probe_interval { std::chrono::milliseconds(250) };

    std::unordered_map<EndpointId, Entry> entries;
};

/// Time after which a client should retry if all endpoints of a service are backed off, the first of them for
/// `backoff`. `jitter`, from 0 to 1, spreads the retries. Less urgent clients, with a higher priority value, retry
/// later.
[[nodiscard]] Duration retry_after_backoff(Duration backoff, unsigned priority, double jitter);

}
