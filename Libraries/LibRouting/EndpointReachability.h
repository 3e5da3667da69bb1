#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <vector>

namespace Routing {

using Core::Duration;
using Core::EndpointId;
using Core::Instant;

/// Whether this box can open connections to endpoints.
///
/// An endpoint that can't be connected to has probably ended. A box that fails at several endpoints in a row, and
/// connects to none in between, is itself cut off from them. Only new connections count: open ones may work on while
/// new ones are refused, and an endpoint that doesn't answer for a while is no evidence at all.
///
/// A device on the way may accept a connection and reset it later. So one that has carried no answer counts only after
/// it has stayed open for confirmation_time(), which grows with the time that such resets take.
class EndpointReachability {
public:
    /// A new connection that broke, with the time at which the attempt to open it began.
    struct BrokenConnection {
        Instant began;
        Instant opened_at;
        Instant broken_at;

        auto operator<=>(BrokenConnection const&) const = default;
    };

    enum class Change {
        None,
        /// The box is cut off from now on.
        CutOff,
        /// The box is no longer cut off.
        Restored,
    };

    /// A connection to an endpoint that was opened at `opened_at` works. Those opened before the last failed attempt
    /// began don't show that another one would succeed.
    [[nodiscard]] Change connected(Instant opened_at);
    /// A connection to an endpoint that was opened at `opened_at` carried an answer.
    [[nodiscard]] Change answered(Instant opened_at);
    /// A connection attempt that began at `began` failed. `endpoint_count` is the number of endpoints that this box may
    /// send to.
    [[nodiscard]] Change connect_failed(EndpointId endpoint, Instant began, std::size_t endpoint_count);

    /// A connection broke before it carried any answer, which counts as a failed attempt to connect.
    [[nodiscard]] Change new_connection_broke(
        EndpointId endpoint, BrokenConnection const& broken, std::size_t endpoint_count);

    /// How long a new connection has to stay open to count as one that works. While the box is cut off, the longest
    /// time: to take it for reachable too early costs requests, and too late only a detour.
    [[nodiscard]] Duration confirmation_time() const { return this->cut_off ? max_confirmation : this->confirmation; }
    [[nodiscard]] bool is_cut_off() const { return this->cut_off; }
    /// Whether a connection was established after `begin`.
    [[nodiscard]] bool has_connected_since(Instant begin) const { return this->last_connected >= begin; }
    /// The endpoints at which attempts have failed since the last established connection.
    [[nodiscard]] std::vector<EndpointId> const& failed_endpoints() const { return this->failed; }

private:
    /// Endpoints that must fail in a row. With half of all endpoints down, one series in 64 is this long by chance, and
    /// the next established connection ends it.
    static constexpr std::size_t min_failed_endpoints = 6;

    /// A reset takes a round trip, which is a few milliseconds.
    static constexpr Duration min_confirmation { std::chrono::milliseconds(20) };
    /// A connection that breaks later than half of this says more about its endpoint than about the way.
    static constexpr Duration max_confirmation { std::chrono::milliseconds(500) };

    Instant last_connected { Instant::min() };
    /// When the latest of the attempts began that have failed in a row.
    Instant last_failed_attempt { Instant::min() };
    std::vector<EndpointId> failed;
    bool cut_off { false };
    Duration confirmation { min_confirmation };
};

}
