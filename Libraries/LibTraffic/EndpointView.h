#pragma once

#include <LibTraffic/ClassEstimates.h>
#include <LibTraffic/EndpointHealth.h>
#include <LibTraffic/TrafficTypes.h>

#include <deque>
#include <list>
#include <unordered_map>

namespace Traffic {

/// Limit on the use of an endpoint's concurrency window.
struct WindowLimit {
    /// Share of the window.
    double share { 1 };
    /// Requests beyond the share that may queue at the endpoint, so that its next free slot is used at once.
    double extra_requests { 0 };
    /// Whether to assume that each peer has started as many requests as this box since the last report. For lower
    /// tiers, which must leave capacity free; for urgent work the assumption would leave slots unused.
    bool assumes_peer_growth { false };

    bool operator==(WindowLimit const&) const = default;
};

/// This box's view of one endpoint: its load, concurrency window and health.
///
/// Load reports are outdated, so a report is corrected by the requests that this box started and finished since it was
/// measured. The reported load of the peers decays towards its mean as the report ages, over the time that a request
/// takes. Otherwise all boxes would send to an endpoint that was idle a while ago.
class EndpointView {
public:
    EndpointView(Settings::EndpointSettings const& settings, int boxes);

    void set_settings(Settings::EndpointSettings const& settings, int boxes);
    void request_started(Instant now);
    void request_ended(Instant now);
    void apply_report(LoadReport const& report, Instant now);
    void set_leaving(bool leaving) { this->is_leaving = leaving; }
    /// `ratio` is the observed time to the first token divided by the typical time of the class.
    void observe_first_token(double ratio);
    /// Adds a sample of the time that a completed request occupied its slot.
    void observe_slot_time(Duration held) { this->slot_seconds.add(Core::to_seconds(held)); }
    void record_success() { this->health.record_success(); }
    void record_failure(Instant now) { this->health.record_failure(now); }
    void add_prefix(std::uint64_t prefix_hash);

    /// Whether new work may be placed here: the endpoint is not leaving and not ejected, or is due for a probe.
    [[nodiscard]] bool accepts_work(Instant now) const;
    /// Estimated number of requests of all boxes that run or queue at the endpoint.
    [[nodiscard]] double estimated_running(Instant now, bool assumes_peer_growth = false) const;
    [[nodiscard]] bool has_capacity(WindowLimit const& limit, Instant now) const;
    [[nodiscard]] double window() const { return this->current_window; }
    [[nodiscard]] int own_running() const { return this->own_running_count; }
    [[nodiscard]] double slowness() const { return this->first_token_ratio.value(); }
    [[nodiscard]] bool has_prefix(std::uint64_t prefix_hash) const { return this->prefixes.contains(prefix_hash); }
    [[nodiscard]] bool leaving() const { return this->is_leaving; }
    [[nodiscard]] bool is_ejected(Instant now) const { return this->health.is_ejected(now); }
    [[nodiscard]] Settings::EndpointSettings const& settings() const { return this->endpoint_settings; }

private:
    struct OwnChange {
        Instant at;
        int running_after { 0 };
    };

    [[nodiscard]] double peers_at_report() const;
    [[nodiscard]] int own_running_at(Instant at) const;
    void drop_changes_before(Instant at);

    /// Older reports are ignored.
    static constexpr Duration report_lifetime { std::chrono::seconds(15) };
    static constexpr std::size_t max_prefixes = 64;
    static constexpr double initial_slot_seconds = 1.0;
    static constexpr double congested_ratio = 3.0;
    static constexpr double window_decrease = 0.95;
    static constexpr double window_increase = 0.05;

    Settings::EndpointSettings endpoint_settings;
    int boxes { 1 };
    int reported_slots { 1 };
    double current_window { 1 };
    int own_running_count { 0 };
    std::deque<OwnChange> changes;
    LoadReport last_report;
    bool has_report { false };
    bool is_leaving { false };
    EndpointHealth health;
    MovingMean first_token_ratio { 1.0 };
    MovingMean slot_seconds { initial_slot_seconds };
    MovingMean mean_peers_running { 0 };
    std::list<std::uint64_t> prefix_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> prefixes;
};

}
