#pragma once

#include <LibGateway/Leadership.h>
#include <LibLeader/LeaderMessages.h>

#include <set>

namespace Gateway {

/// Reports to the platform how many requests endpoints began, by client account and usage window.
///
/// Every box tells the leader its sums. The leader writes a window's report into the log before it sends it, and sends
/// what the log holds, also when another box wrote that: so there are never two reports of one window that differ.
class UsageReporter {
public:
    UsageReporter(GatewayState& state, Leadership& leadership, Membership::BoxDirectory const& boxes,
        std::uint64_t process, Adapter::LeaderSettings settings, Leadership::SendToBox send);

    /// Run until the event loop is stopped.
    [[nodiscard]] Task<void> send_counts();
    [[nodiscard]] Task<void> report();
    void receive(Leader::UsageMessage const& message);
    /// Tells the leader what this box has counted, once.
    void send_counts_now();
    void set_settings(Adapter::LeaderSettings changed);

private:
    /// Writes down the next window's report once all boxes have told what they counted in it.
    [[nodiscard]] Task<void> write_next(Core::Instant now);
    /// Sends what is written down and not yet taken by the platform.
    [[nodiscard]] Task<void> send_written(Core::Instant now);
    [[nodiscard]] Task<bool> send(std::uint64_t window, Leader::AccountCounts const& counts);
    void begin_term(Core::Instant now);
    /// Leaves out windows whose time is over.
    void skip_missed(Core::Instant now);
    void note_platform_call(bool is_answered, Core::Instant now);
    [[nodiscard]] Core::Duration send_interval() const;
    /// How long after a window's end, or after this box took the lead, all boxes have told what they counted.
    [[nodiscard]] Core::Duration settling_time() const;
    [[nodiscard]] bool is_over(std::uint64_t window, Core::Instant now) const;

    static constexpr Core::Duration check_interval { std::chrono::milliseconds(250) };
    /// What a box has counted since it last told is lost with it.
    static constexpr Core::Duration min_send_interval { std::chrono::milliseconds(800) };
    static constexpr Core::Duration max_send_interval { std::chrono::seconds(3) };
    /// So many boxes a second tell the leader at the most, some 100 bytes each, unless there are very many.
    static constexpr double max_messages_per_second = 100;
    /// For so long after a report was due the platform is tried again: it may still count.
    static constexpr Core::Duration max_report_delay { std::chrono::seconds(5) };
    /// A leader that the platform doesn't answer for so long lets another box try.
    static constexpr Core::Duration max_platform_outage { std::chrono::seconds(3) };
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(1500), std::chrono::milliseconds(1000) };

    GatewayState& state;
    Leadership& leadership;
    Membership::BoxDirectory const& boxes;
    std::uint64_t process;
    Adapter::LeaderSettings settings;
    Leadership::SendToBox send_to_box;
    HttpConnection connection;
    Leader::UsageLedger ledger;
    /// The term that the rest is of, by its token.
    std::uint64_t term { 0 };
    std::uint64_t next_window { 0 };
    /// Windows whose report the platform has taken.
    std::set<std::uint64_t> accepted_windows;
    std::optional<Core::Instant> platform_unreachable_since;
};

}
