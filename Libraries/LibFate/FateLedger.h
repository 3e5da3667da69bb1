#pragma once

#include <LibFate/FateTypes.h>

#include <deque>
#include <map>
#include <unordered_map>

template <> struct std::hash<Fate::Key> {
    std::size_t operator()(Fate::Key const& key) const noexcept { return static_cast<std::size_t>(key.low); }
};

namespace Fate {

/// Bounds on the clocks and memories of the protocol, in milliseconds.
struct FateLimits {
    /// How far any two clocks may differ. Keys from further in the future are refused.
    std::int64_t max_clock_skew { 10'000 };
    /// Age up to which a key may be used. Less than the log's retention.
    std::int64_t max_key_age { 24LL * 3600 * 1000 };
    /// Answers longer than this are not kept for replays, in bytes.
    std::size_t max_kept_body_bytes { 4096 };
    /// Bytes of answers kept in all.
    std::size_t max_kept_bytes { 64U << 20U };

    bool operator==(FateLimits const&) const = default;
};

/// A request that asks to run a key.
struct KeyRequest {
    Key key;
    std::int64_t created_milliseconds { 0 };
    std::uint64_t fingerprint { 0 };

    bool operator==(KeyRequest const&) const = default;
};

/// Nobody has the key yet: append this claim and wait for it to be read back.
struct MustClaim {
    Claim claim;
    bool operator==(MustClaim const&) const = default;
};
/// Another attempt holds the key; its end may still be read from the log.
struct HeldByOther {
    Claimant holder;
    bool operator==(HeldByOther const&) const = default;
};
/// The key ran and its answer is here.
struct Replay {
    Settled settled;
    bool operator==(Replay const&) const = default;
};
/// The request gets this answer now.
struct Rejection {
    Core::Outcome outcome { Core::Outcome::Unknown };
    Core::Reason reason { Core::Reason::None };
    bool operator==(Rejection const&) const = default;
};
using Verdict = std::variant<MustClaim, HeldByOther, Replay, Rejection>;

enum class ClaimState {
    /// Appended or about to be; not read back.
    Waiting,
    /// Read back as the first: may be sent, once.
    Won,
    /// Another Claim or a Void was first.
    Lost,
    /// Sent to an endpoint.
    Sent,
};

/// The fates of all keys, as the order of the log gives them, and this process's own claims.
///
/// Pure: records and requests go in, verdicts come out; who calls appends what it is told to. Safety rests on three
/// rules kept here: a claim may be sent only when it has been read back as the first record of its key, only once, and
/// never after it was given up on.
class FateLedger {
public:
    FateLedger(Incarnation own_incarnation, FateLimits const& limits)
        : own_incarnation(own_incarnation)
        , limits(limits)
    {
    }

    /// What is known of the key; nothing when it would have to be claimed.
    [[nodiscard]] std::optional<Verdict> check(KeyRequest const& request, std::int64_t now_milliseconds) const;
    /// As peek(), and makes a claim when there has to be one.
    [[nodiscard]] Verdict check_or_claim(KeyRequest const& request, std::int64_t now_milliseconds);
    /// What a held key has come to since, without claiming it.
    [[nodiscard]] Verdict current_verdict(Key const& key) const;

    /// Takes in one record at its place in the log. Places may come in any order, each any number of times. Returns the
    /// records that must now be appended: own claims that turned up after they were given up on are settled not-run.
    /// `appended_milliseconds` is the stamp of the batch that the record came in.
    [[nodiscard]] std::vector<Record> apply(
        Core::Offset offset, Record const& record, std::int64_t appended_milliseconds);

    [[nodiscard]] ClaimState state_of(Claim const& claim) const;
    /// Allows the one sending of a claim. False when the claim has not won, was sent before or was given up on.
    [[nodiscard]] bool try_send(Claim const& claim);
    /// Whether somebody still waits for the claim. One that nobody waits for need not be appended.
    [[nodiscard]] bool is_wanted(Claim const& claim) const;
    /// The caller waits no longer. From now on the claim is never sent. Returns what must be appended, if anything.
    [[nodiscard]] std::optional<Record> give_up(Claim const& claim);

    /// Every record that was appended after this time has been applied.
    void set_history_start(std::int64_t milliseconds) { this->history_start = milliseconds; }
    /// Drops keys that are too old to be asked for.
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
    /// Own claims under way by key, so that two requests here share one.
    std::unordered_map<Key, Claim> pending_claims;
    /// Settlements that were read before the claim they belong to.
    std::unordered_map<Key, std::vector<EarlySettlement>> early_settlements;
    std::deque<Key> kept_bodies;
    std::size_t kept_bytes { 0 };
};

}
