#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/HttpConnection.h>
#include <LibLeader/LeaderElection.h>
#include <LibLeader/LeaderLog.h>
#include <LibMembership/BoxDirectory.h>
#include <platform/BoxEnvironment.h>
#include <platform/LeaderCalls.h>

#include <functional>

namespace Gateway {

/// Elects one box as leader: claims the leadership, announces it to the other boxes, writes to the leader log, and
/// steps down.
///
/// The leader log in the store decides who leads. Every append names the end of the log that this box has seen, so the
/// append of a superseded leader fails, which is how the box finds out that it was superseded.
class Leadership {
public:
    /// Sends bytes to the box at this address.
    using SendToBox = std::function<void(Routing::SocketAddress const& address, std::string const& bytes)>;
    /// Sends bytes to this many other boxes, different ones each time.
    using SendToSome = std::function<void(std::string const& bytes, std::size_t boxes)>;

    struct Transport {
        SendToBox to_box;
        SendToSome to_some;
        /// Whether this box has received anything from other boxes recently.
        std::function<bool(Core::Instant now)> has_recent_contact;
    };

    /// `own` is the record of this box. `process` identifies this process to other boxes and must not be 0.
    Leadership(GatewayState& state, Membership::BoxDirectory const& boxes, Membership::BoxRecord own,
        std::uint64_t process, Routing::SocketAddress store, Core::Duration lease, bool is_first_start,
        Transport transport);

    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> run_election();
    [[nodiscard]] Task<void> announce();
    /// `sent_at` is when the leader sent the announcement, or a moment after that.
    void receive(Leader::Announcement const& announcement, Core::Instant sent_at);
    /// The newest announcement that this box has sent or received, which relays pass on.
    struct RelayedAnnouncement {
        std::string bytes;
        Core::Instant sent_at;
    };
    [[nodiscard]] std::optional<RelayedAnnouncement> announcement_to_relay(Core::Instant now) const;
    /// Handles an announcement passed on by another box.
    void receive_relayed(RelayedAnnouncement const& relayed);
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }
    /// To be called when the box resumes after a suspension, during which another box may have become leader.
    void after_suspension(Core::Instant now);
    /// The store was restored from an older copy, which may lack this box's claim.
    void store_restored() { this->must_reclaim = true; }

    /// The last leader that announced itself; empty if that was too long ago or it has stepped down.
    [[nodiscard]] std::optional<Leader::Announcement> leader(Core::Instant now) const;
    [[nodiscard]] bool is_leader() const { return this->own_token.has_value(); }
    /// Since when this box has been leader.
    [[nodiscard]] Core::Instant leader_since() const { return this->became_leader_at; }
    /// How this box identifies itself to the platform. Only valid while it is leader.
    [[nodiscard]] Adapter::LeaderIdentity identity() const;
    [[nodiscard]] Leader::LeaderLog const& log() const { return this->leader_log; }
    /// The first usage window that this box may report; earlier ones are reported, or may have been.
    [[nodiscard]] std::uint64_t first_window() const { return this->first_own_window; }
    /// Sets the first window whose report is not in the log yet, as sent with announcements.
    void set_next_window(std::uint64_t window) { this->next_window = window; }

    /// Whether this box may act as leader. Checks the log first if another box may have become leader meanwhile.
    [[nodiscard]] Task<bool> may_act();
    /// Appends a usage report to the log. True if the log now contains a report for the window, this one or an earlier
    /// one.
    [[nodiscard]] Task<bool> write_report(std::uint64_t window, Leader::AccountCounts const& counts);
    /// To be called when the platform refused a call because of a higher token: ends this box's leadership whatever the
    /// log contains.
    [[nodiscard]] Task<void> was_superseded();
    /// Checks in the log whether this box is still leader.
    [[nodiscard]] Task<void> check_leader();
    /// Gives up the leadership so that another box can take over.
    void step_down(std::string_view reason);

private:
    /// Locks the store connection and the log for one task at a time.
    [[nodiscard]] Task<void> acquire();
    void release() { this->is_busy = false; }

    /// Appends a claim, together with those of `known_reports` that the log lacks.
    [[nodiscard]] Task<void> claim(std::map<std::uint64_t, Leader::AccountCounts> const& known_reports);
    /// Whether the log names a leader whose announcements have not arrived yet. This box then waits for a lease before
    /// it claims.
    [[nodiscard]] bool defers_to_new_leader();
    /// Detects that this process stood still since the last call.
    void check_for_stall(Core::Instant now);
    /// Reads the whole log. False if the store gave no usable answer.
    [[nodiscard]] Task<bool> read_log();
    /// Reads the log and checks whether this box is still leader.
    [[nodiscard]] Task<void> recheck_log();
    enum class Appended {
        Done,
        /// Another box has appended to the log.
        EndMoved,
        /// The record may be appended, now or later.
        Unknown,
    };
    [[nodiscard]] Task<Appended> append(std::vector<Leader::LogRecord> const& records);
    void become_leader();
    void end_leadership(std::string_view reason);
    [[nodiscard]] bool may_run_for_leader(Core::Instant now) const;
    /// Steps down if this box has received nothing from other boxes for a lease: its usage reports would then contain
    /// only its own counts.
    void step_down_if_cut_off(Core::Instant now);
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] Leader::Announcement announcement(Core::Instant now) const;
    void send_announcement(Core::Instant now);
    void note_store_call(bool is_answered, Core::Instant now);

    /// How often this box checks whether it may claim the leadership, or is still leader.
    static constexpr Core::Duration check_interval { std::chrono::milliseconds(200) };
    /// Six announcements fit into a lease of 3 s.
    static constexpr Core::Duration announce_interval { std::chrono::milliseconds(500) };
    /// The boxes that would claim first get every announcement; the others take turns.
    static constexpr std::size_t boxes_announced_always = 6;
    static constexpr std::size_t boxes_announced_in_turn = 24;
    /// A leader whose store calls fail for this long stops its announcements, so that a box that reaches the store can
    /// take over.
    static constexpr Core::Duration max_store_outage { std::chrono::seconds(2) };
    /// A process that stood still for longer checks the log before it acts as leader.
    static constexpr Core::Duration stall_threshold { std::chrono::milliseconds(800) };
    /// A box that is back in contact waits for this long before it claims: if the outage was everybody's, the old
    /// leader's announcements arrive within this time.
    static constexpr Core::Duration claim_delay { std::chrono::milliseconds(800) };
    /// How long an announcement is valid.
    static constexpr Core::Duration announcement_lifetime { std::chrono::seconds(12) };
    /// Pause after a failed read of the log, doubled after each failure up to the maximum.
    static constexpr Core::Duration min_check_pause { std::chrono::milliseconds(200) };
    static constexpr Core::Duration max_check_pause { std::chrono::milliseconds(800) };
    /// The store usually answers within 4 ms; when it is slow, it takes up to 60 times as long.
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(700), std::chrono::milliseconds(1000) };

    GatewayState& state;
    Membership::BoxDirectory const& boxes;
    std::string box_name;
    Routing::SocketAddress own_address;
    std::uint64_t process;
    HttpConnection connection;
    Transport transport;
    Leader::LeaderElection election;
    std::optional<Core::Instant> announcement_received_at;
    Leader::LeaderLog leader_log;
    /// Empty while this box is not leader.
    std::optional<Leader::FencingToken> own_token;
    /// A token that the platform refused. A claim with this token is useless.
    std::optional<Leader::FencingToken> refused_token;
    Core::Instant became_leader_at;
    Core::Instant checked_at;
    std::optional<Core::Instant> store_unreachable_since;
    /// Since when this box has been in contact with the store and with other boxes; empty while it is not.
    std::optional<Core::Instant> in_touch_since;
    /// When this box last received something from other boxes, or became leader.
    Core::Instant last_contact_at;
    Core::Duration lease;
    std::uint64_t first_own_window { 0 };
    std::uint64_t next_window { 0 };
    /// Whether this box has to read the log before it acts as leader.
    bool must_read_log { false };
    bool must_reclaim { false };
    bool is_busy { false };
    Core::Instant next_check_at;
    Core::Duration check_pause { min_check_pause };
};

}
