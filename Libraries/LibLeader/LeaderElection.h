#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EndpointDirectory.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// What a leader tells the other boxes.
struct Announcement {
    /// Its fencing token, as a number.
    std::uint64_t token { 0 };
    std::string box;
    /// The first usage window that is not written down yet.
    std::uint64_t next_window { 0 };
    /// Unix microseconds that all boxes go by, and of how many boxes' clocks this is the median.
    std::uint64_t unix_microseconds { 0 };
    unsigned clocks { 0 };
    bool has_resigned { false };
    /// Where the leader takes datagrams: one that has just come is in nobody's list of boxes yet.
    Routing::SocketAddress address {};

    bool operator==(Announcement const&) const = default;
};

/// Decides when a box may claim the lead.
///
/// A leader tells the others that it leads. A box that hears of none for a whole lease may claim, the first box of the
/// common order first and each later one a step after. The store's log decides between two that claim; this class only
/// keeps claims rare, and the lead from going back and forth within a lease.
class LeaderElection {
public:
    explicit LeaderElection(Duration lease)
        : lease(lease)
    {
    }

    void set_lease(Duration new_lease) { this->lease = new_lease; }
    /// Silence counts from here: a leader may be there that this box has not heard yet. Not where all boxes start for
    /// the first time: there is none, and a claim waits only until the boxes know each other.
    void started(Instant now, bool is_first_start = false)
    {
        this->silent_since = is_first_start ? now + first_discovery_time - this->lease : now;
    }
    /// The box was suspended: others may have taken the lead meanwhile.
    void after_suspension(Instant now) { this->silent_since = now; }
    /// False for word of an earlier leader than the one known.
    bool receive(Announcement const& announcement, Instant now);
    /// This box took the lead.
    void claim_succeeded(Announcement const& own, Instant now);
    /// This box led and does no longer, of its own will or not.
    void stepped_down(Instant now);
    /// This box could not claim.
    void claim_failed(Instant now);

    /// Whether the box at this place of the common order may claim now.
    [[nodiscard]] bool may_claim(std::size_t rank, Instant now) const;
    /// The last leader heard of.
    [[nodiscard]] std::optional<Announcement> const& leader() const { return this->last_announcement; }

private:
    /// After all boxes started: within this time each has read the list of all.
    static constexpr Duration first_discovery_time { std::chrono::milliseconds(1300) };
    /// From one box of the order to the next: a claim takes two calls of the store.
    static constexpr Duration rank_delay { std::chrono::milliseconds(300) };
    static constexpr Duration first_claim_pause { std::chrono::seconds(1) };
    static constexpr Duration max_claim_pause { std::chrono::seconds(8) };

    Duration lease;
    std::optional<Announcement> last_announcement;
    Instant silent_since;
    /// Not before this moment: after a failed claim, or after this box led.
    Instant claims_blocked_until;
    Duration claim_pause { first_claim_pause };
};

}
