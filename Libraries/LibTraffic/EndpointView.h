#pragma once

#include <LibTraffic/ClassEstimates.h>
#include <LibTraffic/EndpointHealth.h>
#include <LibTraffic/TrafficTypes.h>

#include <deque>
#include <list>
#include <unordered_map>

namespace Traffic {

/// How far a request may fill an endpoint's window.
struct WindowLimit {
    /// Share of the window.
    double share { 1 };
    /// Requests beyond the share that may wait at the endpoint, so that its next free slot is taken at once.
    double extra_requests { 0 };
    /// Whether to assume that each peer has started as much as this box since the report. Careful, so for work that
    /// must leave room; it would leave slots empty if urgent work did it too.
    bool assumes_peer_growth { false };

    bool operator==(WindowLimit const&) const = default;
};

/// What this box believes of one endpoint: its load, its window, its health.
///
/// Reports are late. A report is corrected by what this box started and finished there since it was true. What it says
/// of the peers fades towards their usual number as the report grows older than a request lasts, else all boxes would
/// send to the endpoint that was empty a while ago.
class EndpointView {
public:
    EndpointView(Settings::EndpointSettings const& settings, int boxes);

    void set_settings(Settings::EndpointSettings const& settings, int boxes);
    void request_started(Instant now);
    void request_ended(Instant now);
    void apply_report(LoadReport const& report, Instant now);
    void set_leaving(bool leaving) { this->is_leaving = leaving; }
    /// `ratio` is the observed time to the first token over the typical one of its class.
    void observe_first_token(double ratio);
    /// How long a whole request held its slot.
    void observe_slot_time(Duration held) { this->slot_seconds.add(Core::to_seconds(held)); }
    void record_success() { this->health.record_success(); }
    void record_failure(Instant now) { this->health.record_failure(now); }
    void add_prefix(std::uint64_t prefix_hash);

    /// Whether new work may be placed here at all: not leaving and not ejected, or due for a probe.
    [[nodiscard]] bool accepts_work(Instant now) const;
    /// Requests believed to be running or queued there, by all boxes together.
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

    /// A report older than this says nothing any more.
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
