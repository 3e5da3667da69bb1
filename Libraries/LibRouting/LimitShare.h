#pragma once

#include <LibRouting/RateSchedule.h>

namespace Routing {

/// Priority of a request for the limited capacity of an endpoint.
enum class SendPriority {
    High,
    Low,
};

/// A rate limit that all boxes share at one endpoint, and the current time.
struct SharedLimit {
    /// Requests per second from all boxes together.
    double per_second { 0 };
    std::string_view endpoint;
    BoxGroup const& boxes;
    SharedMicroseconds now { 0 };
};

/// What this box has left of its share of a rate limit in the current slot.
class LimitShare {
public:
    /// Whether this box may send a request of this priority now. In the first half of a slot, as many requests are
    /// reserved for high priority as asked in the slot before.
    [[nodiscard]] bool may_send(SharedLimit const& limit, SendPriority rank);
    /// Counts a request against the share.
    void count_send(SharedLimit const& limit);

private:
    /// Starts a new slot if the current time lies in another one.
    void enter_slot(SharedLimit const& limit);

    std::uint64_t slot { 0 };
    unsigned remaining { 0 };
    /// Requests of high priority that asked in this slot and in the one before.
    unsigned high_requests { 0 };
    unsigned previous_high_requests { 0 };
};

}
