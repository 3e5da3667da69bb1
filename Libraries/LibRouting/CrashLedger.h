#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/CrashSuspect.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Routing {

/// A run of a request during which the process of its endpoint crashed.
struct CrashReport {
    CrashSuspect suspect;
    EndpointInstance endpoint;
    /// This crash and the crashes of the request that were known when the run began.
    unsigned count { 1 };

    bool operator==(CrashReport const&) const = default;
};

/// When the connection and the request of an endpoint's answer began.
struct AnswerTiming {
    Instant connected_at;
    Instant sent_at;

    bool operator==(AnswerTiming const&) const = default;
};

/// What is known of a request's crashes.
struct CrashStatus {
    /// Crashes that count: each occurred in a run that began when the previous crash was known.
    unsigned crashes { 0 };
    /// How much longer the request is refused; unset if it may run.
    std::optional<Duration> refused_for;
    /// Whether a probe is running, which decides whether the request may run. No other run may begin until it ends.
    bool is_probed { false };

    bool operator==(CrashStatus const&) const = default;
};

/// Counts endpoint crashes for each request and refuses requests that crash endpoints. No I/O.
///
/// A client that resends a request that crashes every endpoint running it would cost an endpoint and all other answers
/// on it each time. So the request is refused from the third crash on.
///
/// When an endpoint crashes, all requests running there are affected, and nearly all of them are harmless. So a crash
/// counts only if its run began when the previous crash was known: a popular request that was running on a hundred
/// endpoints of a failed rack counts one crash. A successful run clears the request. An endpoint that answers on a
/// connection older than its crash has not crashed, and the crash is retracted, so that a box that is cut off can't get
/// requests refused. Any other answer may come from a new process, since many endpoints don't report when they started.
///
/// Copies of a request can arrive at many boxes at once, and each could crash an endpoint before the first crash is
/// known. So after the first crash a single run at a time is the probe, and clients with other copies are told when to
/// retry.
class CrashLedger {
public:
    /// The effect of a report on the ledger.
    enum class Outcome {
        New,
        Known,
        /// A run of the request has succeeded since; the reporting box does not know that yet.
        Cleared,
    };

    [[nodiscard]] CrashStatus status(CrashSuspect request, Instant now) const;
    /// A probe of the request has begun or is still running, here or at another box.
    void renew_probe(CrashSuspect request, Instant now);
    /// The probe ended without a result, or its result has been applied.
    void end_probe(CrashSuspect request) { this->probes.erase(request); }
    /// The endpoint crashed `age` ago while it ran the request.
    Outcome apply(CrashReport const& report, Duration age, Instant now);
    /// A run of the request succeeded, here or at another box. Returns whether the request had any crashes.
    bool clear(CrashSuspect request, Instant now);
    /// The endpoint answered. Returns whether that disproves its reported crash, which is then retracted.
    bool endpoint_answered(EndpointInstance const& endpoint, AnswerTiming const& evidence);
    /// Removes this endpoint's crash from the counts of all requests. Returns whether the crash was known.
    bool retract(EndpointInstance const& endpoint);
    /// The last crash of each request that is refused now.
    [[nodiscard]] std::vector<CrashReport> refused(Instant now) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }
    [[nodiscard]] std::size_t probe_count() const { return this->probes.size(); }
    [[nodiscard]] std::size_t crashed_endpoints() const { return this->crashed.size(); }
    /// Removes crashes and probes that are too old.
    void expire(Instant now);

    /// Number of crashes from which a request is refused. Two can be a coincidence: a client whose answer was lost in a
    /// crash tries again, and may share an endpoint with the harmful request once more.
    static constexpr unsigned refusal_threshold = 3;
    /// How long a request is refused after its last crash. Then a single run decides, since the endpoints may have been
    /// fixed: a client that never stops costs one endpoint in ten minutes instead of one each second.
    static constexpr Duration quarantine { std::chrono::minutes(10) };
    /// A probe that is not renewed for this long is considered over: the box that ran it may be gone.
    static constexpr Duration probe_lease { std::chrono::milliseconds(3500) };
    /// How long crashes are kept.
    static constexpr Duration retention { std::chrono::hours(1) };
    /// Requests that are kept. A crash affects up to 64 requests, the slots of the largest engines, so this is enough
    /// for 32 crashes within `retention`. When there are more, requests with the fewest crashes are evicted first, so
    /// that a client that makes up requests can't evict one that has crashed twice.
    static constexpr std::size_t max_requests = 2048;

private:
    struct Entry {
        unsigned crashes { 0 };
        /// The endpoints that crashed, in the order of the crashes.
        std::vector<EndpointInstance> endpoints;
        Instant last_crash;
        std::optional<Instant> cleared_at;
    };
    struct Probe {
        Instant until;
        unsigned crashes_before { 0 };
    };
    using Entries = std::unordered_map<CrashSuspect, Entry>;

    /// How long reports that were sent before a successful run may still arrive.
    static constexpr Duration late_report_window { std::chrono::seconds(60) };

    [[nodiscard]] static unsigned crashes_of(Entry const& entry, Instant now);
    /// Ends the request's probe if a crash became known since the probe began.
    void end_earlier_probe(CrashSuspect request, unsigned crashes);
    void note_crashed_endpoint(EndpointInstance const& endpoint, Instant crashed_at, Instant now);
    void make_room();

    Entries entries;
    std::unordered_map<CrashSuspect, Probe> probes;
    /// The last crash of an endpoint.
    struct KnownCrash {
        Instant at;
        /// When this box learned of the crash.
        Instant known_since;
    };

    /// Endpoints that were reported as crashed, `max_requests` at most.
    std::map<EndpointInstance, KnownCrash> crashed;
};

}
