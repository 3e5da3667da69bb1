#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/RequestFingerprint.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Routing {

/// One run of a request that ended with the process of its endpoint.
struct CrashReport {
    RequestFingerprint request;
    EndpointInstance endpoint;
    /// This crash, and those of the request that were known when the run began.
    unsigned count { 1 };

    bool operator==(CrashReport const&) const = default;
};

/// When an endpoint's answer to this box was asked for, and on what.
struct AnswerTiming {
    /// When the connection came up.
    Instant connected_at;
    Instant sent_at;

    bool operator==(AnswerTiming const&) const = default;
};

/// What is held against a request.
struct CrashStatus {
    /// Crashes, each of a run that began when the one before was known.
    unsigned crashes { 0 };
    /// How long the request is still refused; nothing if it may run.
    std::optional<Duration> refused_for;
    /// A run of it is under way that shows whether it may run: no other one begins until then.
    bool is_probed { false };

    bool operator==(CrashStatus const&) const = default;
};

/// Requests under which endpoints crashed, as far as this box saw it or was told (pure).
///
/// Answers the load of a client whose request ends every endpoint that runs it and who comes back with it: each return
/// costs an endpoint and all other answers on it. From the third crash on the request is refused.
///
/// All requests at an endpoint go down with it, and nearly all of them are harmless. So crashes count one after
/// another: only a run that began when the crash before was known raises the count. A popular request that was under a
/// hundred endpoints of a lost rack counts one. A run that ends well clears its request. An endpoint that answers on a
/// connection older than its crash takes the crash back, so that a box that is cut off can't get requests refused; any
/// other answer may come from a process that was started since, which many endpoints don't tell.
///
/// Copies of a request come at many boxes at the same time, and each takes an endpoint with it before a crash is known.
/// So once it has crashed one, a single run at a time is the probe that decides: others are told when to come back.
class CrashLedger {
public:
    /// What take() made of a report.
    enum class Outcome {
        New,
        Known,
        /// A run of the request has ended well since; whoever told this has not heard of it.
        Cleared,
    };

    [[nodiscard]] CrashStatus status(RequestFingerprint request, Instant now) const;
    /// A run of a request under which endpoints crashed began or is still under way, here or at another box.
    void renew_probe(RequestFingerprint request, Instant now);
    /// That run showed nothing, or what it showed has been taken.
    void end_probe(RequestFingerprint request) { this->probes.erase(request); }
    /// A run of the request ended with its endpoint, `age` ago.
    Outcome apply(CrashReport const& report, Duration age, Instant now);
    /// A run of the request ended well, here or at another box. True if anything was held against it.
    bool clear(RequestFingerprint request, Instant now);
    /// The endpoint answered. True if that shows that it did not crash, though it was said to.
    bool endpoint_answered(EndpointInstance const& endpoint, AnswerTiming const& evidence);
    /// Takes back what was held against requests for this endpoint's crash. True if there was anything.
    bool retract(EndpointInstance const& endpoint);
    /// The last crash of each request that is refused now.
    [[nodiscard]] std::vector<CrashReport> refused(Instant now) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }
    [[nodiscard]] std::size_t probe_count() const { return this->probes.size(); }
    [[nodiscard]] std::size_t crashed_endpoints() const { return this->crashed.size(); }
    /// Forgets what is old.
    void expire(Instant now);

    /// From so many crashes on a request is refused. Two can be bad luck: the client of an answer that was lost with
    /// its endpoint tries once more, and may meet the harmful request again.
    static constexpr unsigned refusal_threshold = 3;
    /// How long a request is refused after its last crash. Then one run decides anew, since the endpoints may have been
    /// repaired: a client that never stops costs an endpoint each ten minutes in place of one a second.
    static constexpr Duration quarantine { std::chrono::minutes(10) };
    /// A probe of which nothing was heard for so long is over: the box that ran it may be gone.
    static constexpr Duration probe_lease { std::chrono::milliseconds(3500) };
    /// Crashes are forgotten after this.
    static constexpr Duration retention { std::chrono::hours(1) };
    /// Requests that are remembered. A crash leaves as many as ran at the endpoint, 64 at the largest engines, so these
    /// are 32 crashes within the hour. When there are more, those with the fewest crashes go first: a caller who makes
    /// up requests can't push out one that has crashed twice.
    static constexpr std::size_t max_requests = 2048;

private:
    struct Entry {
        unsigned crashes { 0 };
        /// Of the crashes, the last one behind.
        std::vector<EndpointInstance> endpoints;
        Instant last_crash;
        std::optional<Instant> cleared_at;
    };
    struct Probe {
        Instant until;
        unsigned crashes_before { 0 };
    };
    using Entries = std::unordered_map<RequestFingerprint, Entry>;

    /// For so long reports that were sent before a run ended well may still arrive.
    static constexpr Duration late_report_window { std::chrono::seconds(60) };

    [[nodiscard]] static unsigned crashes_of(Entry const& entry, Instant now);
    /// Another crash is known than when the request's probe began: that probe is over.
    void end_earlier_probe(RequestFingerprint request, unsigned crashes);
    void note_crashed_endpoint(EndpointInstance const& endpoint, Instant crashed_at, Instant now);
    void make_room();

    Entries entries;
    std::unordered_map<RequestFingerprint, Probe> probes;
    /// The last crash of an endpoint.
    struct KnownCrash {
        Instant at;
        /// Since when this box knows.
        Instant known_since;
    };

    /// Endpoints that are said to have crashed. As many as there are requests, at most.
    std::map<EndpointInstance, KnownCrash> crashed;
};

}
