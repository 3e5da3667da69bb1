#pragma once

#include <LibCore/Ids.h>
#include <LibRouting/DecayingSum.h>
#include <LibRouting/PromptCacheEstimate.h>
#include <LibRouting/Workload.h>
#include <LibTraffic/EndpointHealth.h>

#include <map>

namespace Routing {

using Core::RequestId;

/// Load that an endpoint tells in its answers.
struct ReportedLoad {
    int running { 0 };
    int waiting { 0 };
    int slots { 1 };

    bool operator==(ReportedLoad const&) const = default;
};

/// How long a request is expected to take at an endpoint.
struct ExpectedTimes {
    /// How long the engine reads the prompt.
    Duration prefill { 0 };
    /// When the first piece of the answer comes, from the start.
    Duration first_piece { 0 };

    bool operator==(ExpectedTimes const&) const = default;
};

/// What this box believes of an endpoint's load and health: what it sent there itself, corrected by what the endpoint
/// tells and by how late its first tokens come, which shows what other boxes sent.
class EndpointLoad {
public:
    void started(RequestId request, Workload const& workload, ExpectedTimes const& expected, Instant now);
    /// The first piece of the answer came; `lateness` is how much later than predicted.
    void answered(RequestId request, Duration lateness, Instant now);
    void ended(RequestId request);
    void succeeded();
    void failed(Instant now);
    /// The endpoint said that it had no room.
    void shed(Instant now);
    void update_reported_load(ReportedLoad const& reported, Instant now);
    /// Another box has so much work here, as of `at`, in place of what it told before.
    void apply_peer(std::uint64_t box, Duration backlog, unsigned running, Instant at);
    /// Another box has nothing here any more.
    void forget_peer(std::uint64_t box) { this->peers.erase(box); }

    [[nodiscard]] bool takes_work(Instant now) const;
    /// How long a new prompt waits until the engine begins to read it.
    [[nodiscard]] Duration prefill_backlog(Instant now) const;
    /// The part of it that this box sent.
    [[nodiscard]] Duration own_backlog() const;
    /// How long the endpoint has been silent beyond what was expected; zero for one that answers in time.
    [[nodiscard]] Duration overdue(Instant now) const;
    /// Requests believed to be there, of all boxes.
    [[nodiscard]] double running(Instant now) const;
    /// Requests of this box whose answer has begun, or is about to.
    [[nodiscard]] std::size_t own_running() const { return this->own_requests.size(); }
    /// Part of the recent requests that failed.
    [[nodiscard]] double failure_share(Instant now) const;
    [[nodiscard]] PromptCacheEstimate const& prompt_cache() const { return this->cached_prompts; }

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
    /// What another box told counts this long: a little longer than the longest time between its reports.
    static constexpr Duration peer_retention { std::chrono::milliseconds(2500) };

    /// How long what one answer told of an endpoint stays of use: engines run a request for one or two seconds.
    static constexpr Duration report_half_life { std::chrono::seconds(1) };
    /// How long the lateness of one first token says something of the next: about as long as a backlog lasts.
    static constexpr Duration lateness_half_life { std::chrono::milliseconds(400) };
    static constexpr Duration failure_half_life { std::chrono::seconds(4) };
    /// An answer is overdue after twice its expected time and this, which covers a long tail of short calls.
    static constexpr Duration overdue_margin { std::chrono::milliseconds(60) };
    /// An endpoint that was full is left alone this long: a few requests' service times. Twice as long with each
    /// further request that it turns away, and half of these are forgotten with each that it serves.
    static constexpr Duration shed_pause { std::chrono::milliseconds(60) };
    /// Up to 1.9 s, so that one that is well again is not missed for long.
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
};

}
