#pragma once

#include <LibRouting/CrashSuspect.h>
#include <LibRouting/EndpointDirectory.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Routing {

/// What else a run had that crashed an endpoint under a prompt part.
struct CrashCircumstances {
    /// Hash of the client account. Unset for a request, whose account is part of it, and for runs of several accounts.
    std::optional<std::uint64_t> account;
    /// Shortened hashes of the other prompt parts that may be shared, `max_companions` at most.
    std::vector<std::uint32_t> companions;

    bool operator==(CrashCircumstances const&) const = default;

    static constexpr std::size_t max_companions = 6;
};

/// A run of a request during which the process of its endpoint crashed.
struct CrashReport {
    CrashSuspect suspect;
    EndpointInstance endpoint;
    /// This crash and the crashes of the suspect that were known when the run began.
    unsigned count { 1 };
    CrashCircumstances circumstances {};

    bool operator==(CrashReport const&) const = default;
};

/// When the connection and the request of an endpoint's answer began.
struct AnswerTiming {
    Instant connected_at;
    Instant sent_at;

    bool operator==(AnswerTiming const&) const = default;
};

/// What is known of a suspect's crashes.
struct CrashStatus {
    /// Crashes that count: each occurred in a run that began when the previous crash was known.
    unsigned crashes { 0 };
    /// How much longer the request is refused; unset if it may run.
    std::optional<Duration> refused_for;
    /// Whether a probe is running, which decides whether the request may run. No other run may begin until it ends.
    bool is_probed { false };

    bool operator==(CrashStatus const&) const = default;
};

/// What the crashes of all its suspects mean for a request.
struct RequestCrashes {
    /// For each suspect the crashes that count: the request first, then its prompt parts in their order.
    std::vector<unsigned> known;
    /// How much longer the request is refused, and for which suspect; unset if it may run.
    std::optional<Duration> refused_for;
    CrashSuspect refused_suspect {};
    /// Whether a probe of a suspect is running, or it is the turn of other boxes to run one, so that the request may
    /// not run now.
    bool is_probed { false };
    /// The suspects that a run of the request would be the probe of.
    std::vector<CrashSuspect> to_probe;

    bool operator==(RequestCrashes const&) const = default;
};

/// Counts endpoint crashes for each request and each prompt part, and refuses requests that crash endpoints. No I/O.
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
///
/// Requests that differ may share a prompt part that crashes endpoints. Parts are counted as requests are, with these
/// differences. Nearly all parts under a crash are harmless and in much use, so they are held back only from the second
/// crash on, and until an answer that began after the crash has gone beyond its beginning. A part is blamed only for
/// requests that have all that its crashes had in common, the account and other parts: sound requests that share a
/// system prompt with harmful ones run on, and clear it. The first refusals are short, so that a wrong one ends soon.
///
/// Requests with a suspect part may come at many boxes at the same moment, before any could tell the others of a probe.
/// So boxes take turns: at any time only one in a few may begin one, and which ones changes all the time.
class CrashLedger {
public:
    /// `seed` differs from box to box.
    explicit CrashLedger(std::uint64_t seed = 0)
        : seed(seed)
    {
    }

    /// The effect of a report on the ledger.
    enum class Outcome {
        New,
        /// The crash is known, but not that this run was among those that it ended.
        FurtherRun,
        Known,
        /// A run of the request has succeeded since; the reporting box does not know that yet.
        Cleared,
    };

    [[nodiscard]] CrashStatus status(CrashSuspect suspect, Instant now) const;
    [[nodiscard]] RequestCrashes request_crashes(CrashSuspects const& suspects, Instant now) const;
    /// The reports of a crash during a run of the request; `known` as in RequestCrashes, from when the run began.
    [[nodiscard]] static std::vector<CrashReport> reports_of(
        CrashSuspects const& suspects, std::vector<unsigned> const& known, EndpointInstance const& endpoint);
    /// A probe of the suspect has begun or is still running, here or at another box.
    void renew_probe(CrashSuspect suspect, Instant now);
    /// The probe ended without a result, or its result has been applied.
    void end_probe(CrashSuspect suspect) { this->probes.erase(suspect); }
    /// The endpoint crashed `age` ago while it ran a request with the suspect.
    Outcome apply(CrashReport const& report, Duration age, Instant now);
    /// A run with the suspect succeeded, here or at another box. Returns whether the suspect had any crashes.
    bool clear(CrashSuspect suspect, Instant now);
    /// Whether an answer that began at this time, to a request of this account, shows that the prompt part is harmless
    /// although endpoints crashed under it.
    [[nodiscard]] bool is_disproved(CrashSuspect prompt_part, std::uint64_t account, Instant answer_began) const;
    /// The endpoint answered. Returns whether that disproves its reported crash, which is then retracted.
    bool endpoint_answered(EndpointInstance const& endpoint, AnswerTiming const& evidence);
    /// Removes this endpoint's crash from the counts of all requests. Returns whether the crash was known.
    bool retract(EndpointInstance const& endpoint);
    /// The last crash of each suspect that is refused now, or is a prompt part and was.
    [[nodiscard]] std::vector<CrashReport> refused(Instant now) const;
    /// How long ago the last crash of the suspect was; 0 if it has none.
    [[nodiscard]] Duration crash_age(CrashSuspect suspect, Instant now) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }
    [[nodiscard]] std::size_t probe_count() const { return this->probes.size(); }
    [[nodiscard]] std::size_t crashed_endpoints() const { return this->crashed.size(); }
    /// Removes crashes and probes that are too old.
    void expire(Instant now);

    /// The largest number of crashes that is counted; from then on the quarantine holds.
    [[nodiscard]] static unsigned max_crashes(CrashSuspect::Kind kind)
    {
        return kind == CrashSuspect::Kind::Request ? refusal_threshold : part_quarantine_threshold;
    }

    /// Number of crashes from which a request is refused. Two can be a coincidence: a client whose answer was lost in a
    /// crash tries again, and may share an endpoint with the harmful request once more.
    static constexpr unsigned refusal_threshold = 3;
    /// Number of crashes from which only one run at a time may have a prompt part. One is no sign, since all requests
    /// of the endpoint went down, and they are sent again at once.
    static constexpr unsigned part_probe_threshold = 2;
    /// Number of crashes from which the quarantine holds for a prompt part.
    static constexpr unsigned part_quarantine_threshold = 5;
    /// How long a prompt part is refused after its third and its fourth crash.
    static constexpr Duration part_third_refusal { std::chrono::milliseconds(300) };
    static constexpr Duration part_fourth_refusal { std::chrono::seconds(1) };
    /// How long a request is refused after its last crash. Then a single run decides, since the endpoints may have been
    /// fixed: a client that never stops costs one endpoint in ten minutes instead of one each second.
    static constexpr Duration quarantine { std::chrono::minutes(10) };
    /// A probe that is not renewed for this long is considered over: the box that ran it may be gone.
    static constexpr Duration probe_lease { std::chrono::milliseconds(3500) };
    /// How long crashes are kept.
    static constexpr Duration retention { std::chrono::hours(1) };
    /// Suspects that are kept. A crash affects up to 64 requests, the slots of the largest engines, each with a few
    /// parts. When there are more, suspects with the fewest crashes are evicted first, so that a client that makes up
    /// requests and parts can't evict one that has crashed twice.
    static constexpr std::size_t max_requests = 2048;

private:
    /// The runs with a prompt part that one crash ended.
    struct PartCrash {
        EndpointInstance endpoint;
        Instant at;
        /// Empty for any.
        std::vector<std::uint64_t> accounts;
        /// Of all runs together: only one of them caused the crash.
        std::vector<std::uint32_t> companions;
    };
    struct Entry {
        unsigned crashes { 0 };
        /// The endpoints that crashed, in the order of the crashes.
        std::vector<EndpointInstance> endpoints;
        Instant last_crash;
        std::optional<Instant> cleared_at;
        /// For a prompt part the last crashes since it was cleared, also those that don't count.
        std::vector<PartCrash> part_crashes;
    };
    struct Probe {
        Instant until;
        unsigned crashes_before { 0 };
    };
    using Entries = std::unordered_map<CrashSuspect, Entry>;

    /// Reports of an endpoint's crash that are no further apart are of the same crash.
    static constexpr Duration same_crash_window { std::chrono::seconds(1) };
    /// Crashes of a prompt part that are compared, and what is kept of the runs of each.
    static constexpr std::size_t max_part_crashes = 8;
    static constexpr std::size_t max_kept_companions = 16;
    /// How long a turn to begin a probe lasts: longer than an update takes to all boxes.
    static constexpr Duration turn_length { std::chrono::milliseconds(200) };
    /// One box in so many has its turn.
    static constexpr std::uint64_t boxes_per_turn = 4;
    /// How long reports that were sent before a successful run may still arrive.
    static constexpr Duration late_report_window { std::chrono::seconds(60) };

    [[nodiscard]] static unsigned crashes_of(CrashSuspect suspect, Entry const& entry, Instant now);
    /// Whether this box may begin a probe of the prompt part now.
    [[nodiscard]] bool is_own_turn(CrashSuspect prompt_part, Instant now) const;
    /// How long after its last crash a suspect is refused.
    [[nodiscard]] static Duration refusal_after(CrashSuspect::Kind kind, unsigned crashes);
    [[nodiscard]] bool is_probed(CrashSuspect suspect, Instant now) const;
    /// Whether the request has all that the crashes under its prompt part had in common.
    [[nodiscard]] bool is_blamed(CrashSuspect prompt_part, CrashSuspects const& suspects) const;
    /// What the crashes under a prompt part have in common.
    [[nodiscard]] static CrashCircumstances in_common(Entry const& entry);
    /// Whether a crash under a prompt part may be due to the account.
    [[nodiscard]] static bool may_be_due_to(Entry const& entry, std::uint64_t account);
    /// Returns whether this adds anything to what is known.
    static bool add_run(Entry& entry, CrashReport const& report, Instant crashed_at);
    /// Ends the suspect's probe if a crash became known since the probe began.
    void end_earlier_probe(CrashSuspect suspect, unsigned crashes);
    void note_crashed_endpoint(EndpointInstance const& endpoint, Instant crashed_at, Instant now);
    void make_room();

    std::uint64_t seed;
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
