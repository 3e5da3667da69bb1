#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/StoreConnection.h>
#include <LibLeader/LeaderElection.h>
#include <LibLeader/LeaderLog.h>
#include <LibMembership/BoxDirectory.h>
#include <platform/BoxEnvironment.h>
#include <platform/LeaderCalls.h>

#include <functional>

namespace Gateway {

/// Whether this box leads, which is one of all boxes at a time: stands for election, tells the others, writes to the
/// leader's log, and steps down.
///
/// The log in the store decides. Every append names the end of the log that this box knows, so a box that another one
/// followed can write nothing, and learns it by that.
class Leadership {
public:
    /// Sends bytes to the box at this address.
    using SendToBox = std::function<void(Routing::SocketAddress const& address, std::string const& bytes)>;
    /// Sends bytes to so many other boxes, others each time.
    using SendToSome = std::function<void(std::string const& bytes, std::size_t boxes)>;

    struct Ways {
        SendToBox to_box;
        SendToSome to_some;
        /// Whether this box hears from others at that moment.
        std::function<bool(Core::Instant now)> hears_others;
    };

    /// `own` is this box as others know it, `process` names this process to them; not 0.
    Leadership(GatewayState& state, Membership::BoxDirectory const& boxes, Membership::BoxRecord own,
        std::uint64_t process, Routing::SocketAddress store, Core::Duration lease, bool is_first_start, Ways ways);

    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> stand();
    [[nodiscard]] Task<void> announce();
    /// `told_at` is when the leader told it, or a moment after that.
    void hear(Leader::Announcement const& announcement, Core::Instant told_at);
    /// The last word of a leader that this box has, to be passed on to others; nothing without any.
    struct News {
        std::string bytes;
        Core::Instant told_at;
    };
    [[nodiscard]] std::optional<News> news(Core::Instant now) const;
    /// What another box passed on.
    void take_news(News const& news);
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }
    /// The box was suspended: another one may lead by now.
    void woke(Core::Instant now);
    /// The store has come back from a copy, which may lack this box's claim.
    void store_restored() { this->must_claim_again = true; }

    /// The last leader that announced itself; nothing if none did lately, or it stepped down.
    [[nodiscard]] std::optional<Leader::Announcement> leader(Core::Instant now) const;
    [[nodiscard]] bool leads() const { return this->own_token.has_value(); }
    /// Since when this box leads.
    [[nodiscard]] Core::Instant leads_since() const { return this->led_since; }
    /// This box as the platform knows the leader. Only while it leads.
    [[nodiscard]] Adapter::LeaderIdentity identity() const;
    [[nodiscard]] Leader::LeaderLog const& log() const { return this->leader_log; }
    /// The first usage window that this box may report: earlier ones are reported, or may have been.
    [[nodiscard]] std::uint64_t first_window() const { return this->first_own_window; }
    /// What the announcements tell of the first window that is not written down yet.
    void set_next_window(std::uint64_t window) { this->next_window = window; }

    /// Whether this box leads, looked up anew in the log if it stood still or was in doubt.
    [[nodiscard]] Task<bool> may_act();
    /// Writes down a usage report. True once the log holds one for the window, this one or an earlier one.
    [[nodiscard]] Task<bool> write_report(std::uint64_t window, Leader::AccountCounts const& counts);
    /// The platform refused a call since a later leader is there: this box leads no more, whatever the log says.
    [[nodiscard]] Task<void> was_superseded();
    /// Looks in the log whether this box still leads.
    [[nodiscard]] Task<void> look_who_leads();
    /// Another box may do better.
    void step_down(std::string_view why);

private:
    /// One task at a time calls the store and changes what is known of the log.
    [[nodiscard]] Task<void> acquire();
    void release() { this->is_busy = false; }

    /// Reports that this box knows and the log lacks are written with the claim.
    [[nodiscard]] Task<void> claim(std::map<std::uint64_t, Leader::AccountCounts> const& known_reports);
    /// Whether the log tells of a leader that this box has not heard yet, which then gets time to be heard.
    [[nodiscard]] bool gives_unheard_leader_time();
    /// Takes note of the time, and whether this box stood still since the last call.
    void note_time(Core::Instant now);
    /// Reads the whole log; false if the store gave no answer that can be used.
    [[nodiscard]] Task<bool> read_log();
    /// Reads the log and finds out whether this box still leads.
    [[nodiscard]] Task<void> look_again();
    enum class Appended {
        Done,
        /// Another box has written since.
        EndMoved,
        /// It may be done, now or later.
        Unknown,
    };
    [[nodiscard]] Task<Appended> append(std::vector<Leader::LogRecord> const& records);
    void take_lead();
    void lose_lead(std::string_view why);
    [[nodiscard]] bool may_stand(Core::Instant now) const;
    /// Steps down once this box has heard no other one for a lease: it would report what it counted itself for all.
    void step_down_if_cut_off(Core::Instant now);
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] Leader::Announcement announcement(Core::Instant now) const;
    void tell(Core::Instant now);
    void note_store(bool is_answered, Core::Instant now);

    /// How often this box looks whether it may claim, or still leads.
    static constexpr Core::Duration tick { std::chrono::milliseconds(200) };
    /// A leader tells the others this often; six times within a lease of 3 s.
    static constexpr Core::Duration announce_interval { std::chrono::milliseconds(500) };
    /// The first boxes of the order are told each time, since they would claim first; of the others some each time.
    static constexpr std::size_t boxes_told_always = 6;
    static constexpr std::size_t boxes_told_in_turn = 24;
    /// A leader whose own calls of the store fail for so long tells the others no more, so that one that reaches the
    /// store follows it.
    static constexpr Core::Duration longest_store_loss { std::chrono::seconds(2) };
    /// Between two looks at the clock; a box that stood still for longer looks whether it still leads before it acts.
    static constexpr Core::Duration standstill { std::chrono::milliseconds(800) };
    /// A box that has just come back in touch listens for so long before it claims: where the store was away for all,
    /// the leader is back as soon.
    static constexpr Core::Duration listening_time { std::chrono::milliseconds(800) };
    /// Word of a leader is good for so long.
    static constexpr Core::Duration announcement_memory { std::chrono::seconds(12) };
    /// InterruptibleTimer after a failed read of the log by a leader in doubt, doubled up to the longest.
    static constexpr Core::Duration first_look_pause { std::chrono::milliseconds(200) };
    static constexpr Core::Duration longest_look_pause { std::chrono::milliseconds(800) };
    /// The store usually takes 4 ms, and up to 60 times as long when it is slow.
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(700), std::chrono::milliseconds(1000) };

    GatewayState& state;
    Membership::BoxDirectory const& boxes;
    std::string box_name;
    Routing::SocketAddress own_address;
    std::uint64_t process;
    StoreConnection connection;
    Ways ways;
    Leader::LeaderElection election;
    std::optional<Core::Instant> heard_at;
    Leader::LeaderLog leader_log;
    /// Nothing while this box doesn't lead.
    std::optional<Leader::FencingToken> own_token;
    /// The platform refused this token: no claim that gave it is of use.
    std::optional<Leader::FencingToken> refused_token;
    Core::Instant led_since;
    Core::Instant ticked_at;
    std::optional<Core::Instant> store_lost_since;
    /// Since when this box has been in touch with the store and the others; nothing while it is not.
    std::optional<Core::Instant> in_touch_since;
    /// When other boxes were last heard, or this box took the lead.
    Core::Instant others_heard_at;
    Core::Duration lease;
    std::uint64_t first_own_window { 0 };
    std::uint64_t next_window { 0 };
    /// Whether this box has to read the log before it acts as leader.
    bool is_in_doubt { false };
    bool must_claim_again { false };
    bool is_busy { false };
    Core::Instant look_at;
    Core::Duration look_pause { first_look_pause };
};

}
