#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EndpointDirectory.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// The state that the leader sends to the other boxes.
struct Announcement {
    /// The leader's fencing token, as a number.
    std::uint64_t token { 0 };
    std::string box;
    /// The first usage window without a stored report.
    std::uint64_t next_window { 0 };
    /// Shared time in Unix microseconds, and the number of boxes' clocks of which it is the median.
    std::uint64_t unix_microseconds { 0 };
    unsigned clocks { 0 };
    bool has_resigned { false };
    /// Where the leader receives datagrams: a box that has just started is in no other box's list yet.
    Routing::SocketAddress address {};

    bool operator==(Announcement const&) const = default;
};

/// Decides when a box may claim leadership.
///
/// The leader sends announcements. A box that receives none for a whole lease may claim leadership; the first box of
/// the common order claims first and each later one after a further delay. The store's log decides between two claims;
/// this class only keeps claims rare and prevents two leaders from alternating within a lease.
class LeaderElection {
public:
    explicit LeaderElection(Duration lease)
        : lease(lease)
    {
    }

    void set_lease(Duration new_lease) { this->lease = new_lease; }
    /// Starts the lease: a leader may exist whose announcement has not arrived yet. On the first start of all boxes
    /// there is no leader, so a claim only waits until the boxes have discovered each other.
    void started(Instant now, bool is_first_start = false)
    {
        this->silent_since = is_first_start ? now + first_discovery_time - this->lease : now;
    }
    /// This box was suspended: another one may have become leader meanwhile.
    void after_suspension(Instant now) { this->silent_since = now; }
    /// Stores the announcement. False for one of an earlier leader than the last.
    bool receive(Announcement const& announcement, Instant now);
    /// This box became the leader.
    void claim_succeeded(Announcement const& own, Instant now);
    /// This box stopped being the leader, by resigning or otherwise.
    void stepped_down(Instant now);
    /// This box's claim was not stored.
    void claim_failed(Instant now);

    /// Whether the box at this position of the common order may claim now.
    [[nodiscard]] bool may_claim(std::size_t rank, Instant now) const;
    /// The announcement of the latest known leader.
    [[nodiscard]] std::optional<Announcement> const& leader() const { return this->last_announcement; }

private:
    /// Time after the first start of all boxes within which each has read the list of boxes.
    static constexpr Duration first_discovery_time { std::chrono::milliseconds(1300) };
    /// Delay from one box of the order to the next: a claim takes two calls to the store.
    static constexpr Duration rank_delay { std::chrono::milliseconds(300) };
    static constexpr Duration first_claim_pause { std::chrono::seconds(1) };
    static constexpr Duration max_claim_pause { std::chrono::seconds(8) };

    Duration lease;
    std::optional<Announcement> last_announcement;
    Instant silent_since;
    /// Claims are not allowed before this moment: set after a failed claim and when leadership ends.
    Instant claims_blocked_until;
    Duration claim_pause { first_claim_pause };
};

}
