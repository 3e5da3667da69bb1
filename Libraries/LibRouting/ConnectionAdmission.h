#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>

namespace Routing {

using Core::Duration;
using Core::Instant;

/// The work that waits at a box.
struct BoxBacklog {
    /// How long events that are ready wait until the box handles them, on average.
    Duration loop_lag { 0 };
    /// New client connections whose first request has not been sent to an endpoint yet.
    std::size_t starting_connections { 0 };

    bool operator==(BoxBacklog const&) const = default;
};

/// Decides which new client connections a box takes. No I/O.
///
/// A load balancer may send most new connections of a failure domain, or of several, to one box, many times what it can
/// serve. A request that was read and waits too long is lost, while a connection that is reset unread is opened again
/// at another box at once. So a box that falls behind takes only as many as it can read soon.
class ConnectionAdmission {
public:
    [[nodiscard]] bool may_take(BoxBacklog const& backlog, Instant now);

    /// A box whose events wait less than this on average takes all connections, also many that send nothing yet.
    static constexpr Duration usual_lag { std::chrono::milliseconds(5) };
    /// A box whose events wait longer than this falls behind.
    static constexpr Duration max_lag { std::chrono::milliseconds(20) };
    /// New connections that a box serves at a time, between the two and while it falls behind.
    static constexpr std::size_t max_starting = 8;
    static constexpr std::size_t max_starting_when_behind = 3;
    /// A connection is taken at least this often: a box that is ready may not refuse all clients.
    static constexpr Duration max_pause { std::chrono::milliseconds(500) };

private:
    Instant last_taken;
};

}
