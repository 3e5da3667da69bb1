#pragma once

#include <LibCore/Ids.h>
#include <LibRouting/DecayingSum.h>
#include <LibRouting/EndpointPace.h>
#include <LibRouting/PromptCacheEstimate.h>
#include <LibRouting/Workload.h>
#include <LibTraffic/EndpointHealth.h>

#include <map>

namespace Routing {

using Core::RequestId;

/// Load that an endpoint reports in its answers.
struct ReportedLoad {
    int running { 0 };
    int waiting { 0 };
    int slots { 1 };
    /// How long work takes there at this moment, in percent of the usual time; empty if the endpoint doesn't say.
    std::optional<int> work_time_percent {};

    bool operator==(ReportedLoad const&) const = default;
};

/// Expected times of a request at an endpoint.
struct ExpectedTimes {
    /// Time in which the engine reads the prompt.
    Duration prefill { 0 };
    /// Time from the start to the first piece of the answer.
    Duration first_piece { 0 };

    bool operator==(ExpectedTimes const&) const = default;
};

/// Estimated load and health of an endpoint. The estimate starts from the requests of this box and is corrected by the
/// endpoint's reports and by late first tokens, which show the load from other boxes.
class EndpointLoad {
public:
    void started(RequestId request, Workload const& workload, ExpectedTimes const& expected, Instant now);
    /// The first piece of the answer arrived `lateness` later than predicted.
    void answered(RequestId request, Duration lateness, Instant now);
    /// Returns how long the request was at the endpoint; unset if it is not known.
    std::optional<Duration> ended(RequestId request, Instant now);
    void succeeded();
    void failed(Instant now);
    /// The endpoint refused a request because it was full.
    void shed(Instant now);
    void update_reported_load(ReportedLoad const& reported, Instant now);
    /// Replaces what another box reported of its load on this endpoint, as of `at`.
    void apply_peer(std::uint64_t box, Duration backlog, unsigned running, Instant at);
    /// Removes the load of another box.
    void forget_peer(std::uint64_t box) { this->peers.erase(box); }

    [[nodiscard]] bool takes_work(Instant now) const;
    /// How long a new prompt waits until the engine begins to read it.
    [[nodiscard]] Duration prefill_backlog(Instant now) const;
    /// The part of prefill_backlog() that comes from requests of this box.
    [[nodiscard]] Duration own_backlog() const;
    /// How much longer than expected the endpoint has been silent; zero if it answers in time.
    [[nodiscard]] Duration overdue(Instant now) const;
    /// Estimated number of requests of all boxes at the endpoint.
    [[nodiscard]] double running(Instant now) const;
    /// Requests of this box at the endpoint.
    [[nodiscard]] std::size_t own_running() const { return this->own_requests.size(); }
    /// Fraction of recent requests that failed.
    [[nodiscard]] double failure_share(Instant now) const;
    [[nodiscard]] PromptCacheEstimate const& prompt_cache() const { return this->cached_prompts; }
    /// How long work takes at the endpoint's process.
    [[nodiscard]] EndpointPace const& pace() const { return this->work_pace; }
    [[nodiscard]] EndpointPace& pace() { return this->work_pace; }

private:
    struct OwnRequest {
        ExpectedTimes expected;
        Instant started;
        bool answer_begun { false };
    };
    struct PeerLoad {
        Duration backlog { 0 };
        unsigned running { 0 };
        Instant at;
    };
    /// How long a report of another box is valid: slightly longer than the longest report interval.
    static constexpr Duration peer_retention { std::chrono::milliseconds(2500) };

    /// Half-life of a reported load: engines run a request for one or two seconds.
    static constexpr Duration report_half_life { std::chrono::seconds(1) };
    /// Half-life of the lateness of first tokens: about as long as a backlog lasts.
    static constexpr Duration lateness_half_life { std::chrono::milliseconds(400) };
    static constexpr Duration failure_half_life { std::chrono::seconds(4) };
    /// An answer is overdue after twice its expected time plus this margin, which covers the long tail of short calls.
    static constexpr Duration overdue_margin { std::chrono::milliseconds(60) };
    /// Time for which an endpoint that was full gets no requests: a few service times. Each further refusal doubles the
    /// pause, and each completed request halves the number of refusals that count.
    static constexpr Duration shed_pause { std::chrono::milliseconds(60) };
    /// Limits the pause to 1.9 s, so that a recovered endpoint is soon used again.
    static constexpr unsigned max_doublings = 6;

    std::map<RequestId, OwnRequest> own_requests;
    /// When the endpoint last began an answer to this box.
    Instant last_answer;
    DecayingSum lateness_seconds { lateness_half_life };
    std::map<std::uint64_t, PeerLoad> peers;
    DecayingSum peers_running { report_half_life };
    DecayingSum failures { failure_half_life };
    DecayingSum attempts { failure_half_life };
    Instant full_until;
    unsigned shed_count { 0 };
    Traffic::EndpointHealth health;
    PromptCacheEstimate cached_prompts;
    EndpointPace work_pace;
};

}
