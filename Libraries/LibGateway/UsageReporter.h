#pragma once

#include <LibGateway/Leadership.h>
#include <LibLeader/CountCollection.h>
#include <LibLeader/LeaderMessages.h>

#include <set>

namespace Gateway {

/// Reports to the platform how many requests endpoints started, by client account and usage window.
///
/// Every box sends its counts to the leader. The leader appends a window's report to the leader log before it sends it,
/// and sends the report that the log contains, also one appended by another box. So two reports of one window never
/// differ.
class UsageReporter {
public:
    /// How a new leader gets the list of boxes anew.
    struct BoxList {
        /// Has the list read from the store soon.
        std::function<void()> read_again;
        /// When the last read that succeeded began; empty without any.
        std::function<std::optional<Core::Instant>()> read_at;
    };

    UsageReporter(GatewayState& state, Leadership& leadership, Membership::BoxDirectory const& boxes, BoxList box_list,
        std::uint64_t process, Adapter::LeaderSettings settings, Leadership::SendToBox send);

    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> send_counts();
    [[nodiscard]] Task<void> report();
    void receive(Leader::UsageMessage const& message);
    /// Sends this box's counts to the leader once.
    void send_counts_now();
    void set_settings(Adapter::LeaderSettings changed);

private:
    /// Appends the next window's report to the log once all boxes have sent their counts for the window.
    [[nodiscard]] Task<void> write_next(Core::Instant now);
    /// Sends the reports in the log that the platform has not accepted yet.
    [[nodiscard]] Task<void> send_written(Core::Instant now);
    [[nodiscard]] Task<bool> send(std::uint64_t window, Leader::AccountCounts const& counts);
    void begin_term(Core::Instant now);
    /// Skips windows whose reports are too late.
    void skip_missed(Core::Instant now);
    void note_platform_call(bool is_answered, Core::Instant now);
    [[nodiscard]] Core::Duration send_interval() const;
    /// How long after a window's end, or after a new leader has read the list of boxes, all boxes have sent their
    /// counts.
    [[nodiscard]] Core::Duration settling_time() const;
    [[nodiscard]] bool is_over(std::uint64_t window, Core::Instant now) const;

    static constexpr Core::Duration check_interval { std::chrono::milliseconds(250) };
    /// A box that crashes loses the counts since its last message.
    static constexpr Core::Duration min_send_interval { std::chrono::milliseconds(800) };
    static constexpr Core::Duration max_send_interval { std::chrono::seconds(3) };
    /// Limits the messages to the leader, about 100 bytes each, by longer intervals; not beyond the longest interval,
    /// where there are very many boxes.
    static constexpr double max_messages_per_second = 100;
    /// A report is retried for this long after it was due, since the platform may still accept it.
    static constexpr Core::Duration max_report_delay { std::chrono::seconds(5) };
    /// A leader that gets no answer from the platform for this long steps down, so that another box can try.
    static constexpr Core::Duration max_platform_outage { std::chrono::seconds(3) };
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(1500), std::chrono::milliseconds(1000) };

    GatewayState& state;
    Leadership& leadership;
    Membership::BoxDirectory const& boxes;
    BoxList box_list;
    std::uint64_t process;
    Adapter::LeaderSettings settings;
    Leadership::SendToBox send_to_box;
    HttpConnection connection;
    Leader::UsageLedger ledger;
    Leader::CountCollection collection;
    /// The token of the term to which the members below belong.
    std::uint64_t term { 0 };
    std::uint64_t next_window { 0 };
    /// Windows whose report the platform has accepted.
    std::set<std::uint64_t> accepted_windows;
    std::optional<Core::Instant> platform_unreachable_since;
};

}
