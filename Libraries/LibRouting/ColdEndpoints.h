#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/LimitShare.h>

#include <unordered_map>

namespace Routing {

/// How many requests cold endpoints may get within any second, from all boxes together.
struct ColdBounds {
    /// Of their service's cold rate.
    double rate_factor { 1 };

    bool operator==(ColdBounds const&) const = default;
};

/// The rate limit of a cold endpoint whose service has this cold rate, in requests per second.
[[nodiscard]] double cold_limit(double cold_rate, ColdBounds const& bounds);

/// Endpoints that are cold: for some time after a start or an interruption they can only run few requests, and collapse
/// under more. The boxes share their limited rate as they share the limits that endpoints report.
class ColdEndpoints {
public:
    /// The endpoint's entry, read by now, says that it stays cold for `cold_left`; 0 if it is not cold.
    void update(KnownEndpoint const& endpoint, Duration cold_left, Instant now);
    /// The endpoint may have become cold without its entry saying so yet.
    void assume_cold(KnownEndpoint const& endpoint, Duration duration, Instant now);
    void forget(EndpointId id) { this->entries.erase(id); }

    [[nodiscard]] bool is_cold(EndpointId id, Instant now) const;
    /// Whether this box may send a request to the endpoint now. Always true for an endpoint that is not cold.
    [[nodiscard]] bool may_send(EndpointId id, SharedLimit const& limit, SendPriority rank, Instant now);
    /// Counts a request against this box's share. Returns false if the endpoint is not cold.
    bool count_send(EndpointId id, SharedLimit const& limit, Instant now);

private:
    struct Entry {
        /// By the endpoint's entry.
        Instant cold_until;
        Instant assumed_until;
        LimitShare share {};
    };

    std::unordered_map<EndpointId, Entry> entries;
};

}
