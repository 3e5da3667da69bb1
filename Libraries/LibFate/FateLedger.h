#pragma once

#include <LibFate/FateTypes.h>

#include <deque>
#include <map>
#include <unordered_map>

template <> struct std::hash<Fate::Key> {
    std::size_t operator()(Fate::Key const& key) const noexcept { return static_cast<std::size_t>(key.low); }
};

namespace Fate {

/// Time and size limits of the protocol. Times are in milliseconds.
struct FateLimits {
    /// Maximum difference between any two clocks. Keys from further in the future are rejected.
    std::int64_t max_clock_skew { 10'000 };
    /// Maximum age of a usable key. Must be less than the log's retention.
    std::int64_t max_key_age { 24LL * 3600 * 1000 };
    /// Longer answers are not kept for replay.
    std::size_t max_kept_body_bytes { 4096 };
    /// Limit on the total size of kept answers.
    std::size_t max_kept_bytes { 64U << 20U };

    bool operator==(FateLimits const&) const = default;
};

/// A request to run under an idempotency key.
struct KeyRequest {
    Key key;
    std::int64_t created_milliseconds { 0 };
    std::uint64_t fingerprint { 0 };

    bool operator==(KeyRequest const&) const = default;
};

/// The key is unclaimed: append this claim and wait until it is read back.
struct MustClaim {
    Claim claim;
    bool operator==(MustClaim const&) const = default;
};
/// Another attempt holds the key; its result may still follow in the log.
struct HeldByOther {
    Claimant holder;
    bool operator==(HeldByOther const&) const = default;
};
/// The request has run and its answer is kept.
struct Replay {
    Settled settled;
    bool operator==(Replay const&) const = default;
};
/// No run is started; the client gets this outcome.
struct Rejection {
    Core::Outcome outcome { Core::Outcome::Unknown };
    Core::Reason reason { Core::Reason::None };
    bool operator==(Rejection const&) const = default;
};
using Verdict = std::variant<MustClaim, HeldByOther, Replay, Rejection>;

enum class ClaimState {
    /// Appended, or about to be, and not read back yet.
    Waiting,
    /// Read back as the first record of its key: may be sent once.
    Won,
    /// Another Claim or a Void came first.
    Lost,
    /// Sent to an endpoint.
    Sent,
};

/// The fates of all keys, as decided by the order of the log, and this process's own claims.
///
/// Does no I/O: takes records and requests, returns verdicts and the records to append. Safety rests on three rules: a
/// claim may be sent only after it was read back as the first record of its key, only once, and never after give_up().
class FateLedger {
public:
    FateLedger(Incarnation own_incarnation, FateLimits const& limits)
        : own_incarnation(own_incarnation)
        , limits(limits)
    {
    }

    /// Returns the verdict on a key, or nothing if the key must be claimed first.
    [[nodiscard]] std::optional<Verdict> check(KeyRequest const& request, std::int64_t now_milliseconds) const;
    /// Like check(), but creates a claim if one is needed.
    [[nodiscard]] Verdict check_or_claim(KeyRequest const& request, std::int64_t now_milliseconds);
    /// Returns the current verdict on a held key without claiming it.
    [[nodiscard]] Verdict current_verdict(Key const& key) const;

    /// Applies one record of the log. Offsets may be applied in any order and repeatedly. Returns the records to
    /// append: own claims that are read back after give_up() are settled as not run. `appended_milliseconds` is the
    /// timestamp of the record's batch.
    [[nodiscard]] std::vector<Record> apply(
        Core::Offset offset, Record const& record, std::int64_t appended_milliseconds);

    [[nodiscard]] ClaimState state_of(Claim const& claim) const;
    /// Permits the single sending of a claim. False if the claim has not won, was already sent or was given up.
    [[nodiscard]] bool try_send(Claim const& claim);
    /// Whether a request still waits for the claim. Otherwise the claim need not be appended.
    [[nodiscard]] bool is_wanted(Claim const& claim) const;
    /// Gives up the claim: from now on it is never sent. Returns a record to append, if needed.
    [[nodiscard]] std::optional<Record> give_up(Claim const& claim);

    /// States that every record appended after this time has been applied.
    void set_history_start(std::int64_t milliseconds) { this->history_start = milliseconds; }
    /// Removes keys that are too old to be used.
    void remove_expired(std::int64_t now_milliseconds);

    [[nodiscard]] std::size_t size() const { return this->fates.size(); }

private:
    struct KeyFate {
        Core::Offset deciding_offset;
        std::optional<Claim> claim;
        bool is_void { false };
        std::optional<Settled> settled;
        std::int64_t appended_milliseconds { 0 };
    };
    struct OwnClaim {
        bool given_up { false };
        bool sent { false };
        std::int64_t created_milliseconds { 0 };
    };
    struct EarlySettlement {
        Settled settled;
        std::int64_t appended_milliseconds { 0 };
    };

    [[nodiscard]] Verdict verdict_for(KeyFate const& fate) const;
    void apply_decision(
        Core::Offset offset, Key const& key, std::optional<Claim> const& claim, std::int64_t appended_milliseconds);
    void apply_settled(EarlySettlement const& settlement);
    void evict_bodies();
    [[nodiscard]] bool is_winner(Claim const& claim) const;

    Incarnation own_incarnation;
    FateLimits limits;
    std::uint64_t next_sequence { 1 };
    std::optional<std::int64_t> history_start;
    std::unordered_map<Key, KeyFate> fates;
    std::map<std::uint64_t, OwnClaim> own_claims;
    /// Own claims in progress by key, so that two requests on this box share one claim.
    std::unordered_map<Key, Claim> pending_claims;
    /// Settlements that were read before their claim.
    std::unordered_map<Key, std::vector<EarlySettlement>> early_settlements;
    std::deque<Key> kept_bodies;
    std::size_t kept_bytes { 0 };
};

}
