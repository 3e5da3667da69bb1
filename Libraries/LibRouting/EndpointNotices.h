#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/RateLimit.h>
#include <LibRouting/RateSchedule.h>

#include <unordered_map>

namespace Routing {

/// What an endpoint says of itself in an answer.
struct EndpointCondition {
    RateLimit limit;
    /// It is about to end, and takes no new requests.
    bool is_draining { false };

    bool operator==(EndpointCondition const&) const = default;
};

/// What an endpoint says of itself in its answers, as boxes tell it each other.
struct EndpointNotice {
    EndpointInstance endpoint;
    /// One higher with each change that a box sees in an answer. Of two notices the higher one is the newer, however
    /// late it comes.
    std::uint64_t version { 0 };
    EndpointCondition condition;
    /// When the endpoint last said so, as far as is known.
    Instant reported_at {};

    bool operator==(EndpointNotice const&) const = default;
};

/// Which requests of a service get what little its endpoints take first.
enum class SendPriority {
    High,
    Low,
};

/// What endpoints say of themselves in their answers, and whether this box may send to them now.
///
/// A box that sees a change in an answer tells the others, so that they act on it before the endpoint has ever answered
/// them. What was said holds until an answer to a request that was sent when it was known says otherwise: an answer
/// that was on its way earlier may be of before. A process that starts anew gets an id of its own here where its entry
/// tells its life, or went in between. Where neither is so, its first answers lift a limit. One that leaves is asked
/// nothing more, so the list of endpoints decides: it is listed as leaving, or not at all, soon after the list can be
/// read again.
class EndpointNotices {
public:
    void set_boxes(BoxGroup changed);
    /// Takes what an answer to a request that was sent at `sent_at` said. The notice to tell others, if it changed.
    [[nodiscard]] std::optional<EndpointNotice> apply_answer(EndpointId id, EndpointInstance const& endpoint,
        EndpointCondition const& reported, Instant sent_at, Instant now);
    /// Takes what another box told; true if it is newer than what is known.
    bool apply(EndpointId id, EndpointNotice const& reported, Instant now);
    void forget(EndpointId id) { this->entries.erase(id); }
    /// The list of endpoints is known as of that moment.
    void confirm_list(Instant confirmed_at);
    /// The list may hold what was so earlier, as after the store came back from a copy.
    void mark_list_uncertain() { this->list_confirmed_at.reset(); }

    /// Whether the endpoint is about to end.
    [[nodiscard]] bool is_draining(EndpointId id) const;
    /// Whether the endpoint may get a request of this rank from this box now, by its limit. In the first half of a slot
    /// as much is kept for the first rank as asked in the slot before.
    [[nodiscard]] bool may_send(EndpointId id, SendPriority rank, SharedMicroseconds now);
    /// Counts a request against this box's part of the endpoint's limit. False for one without a limit.
    bool count_send(EndpointId id, SharedMicroseconds now);
    /// The limit in force; empty for none.
    [[nodiscard]] RateLimit limit_of(EndpointId id) const;
    /// Endpoints that have a limit.
    [[nodiscard]] std::size_t limited_count() const;
    /// What boxes that missed a change have to be told.
    [[nodiscard]] std::vector<EndpointNotice> active(Instant now) const;

private:
    struct Entry {
        EndpointNotice notice;
        /// When this box learnt what the notice says.
        Instant learned_at;
        /// This box's part in a slot, and what is left of it.
        std::uint64_t slot { 0 };
        unsigned remaining { 0 };
        /// Requests of the first rank that asked in the slot and in the one before.
        unsigned high_requests { 0 };
        unsigned previous_high_requests { 0 };
    };

    /// The end of a limit is told on for so long: several rounds of all boxes.
    static constexpr Duration resend_after_end { std::chrono::seconds(30) };
    /// An endpoint that is listed as usual for so long after it said that it leaves is another process. Longer than an
    /// entry takes to lapse and a late write to the store to be done.
    static constexpr Duration max_unlisted_drain { std::chrono::seconds(15) };
    /// Between two moments further apart for which the list is known, it is taken to be unknown.
    static constexpr Duration max_list_gap { std::chrono::seconds(2) };

    /// Brings what is left of this box's part up to the slot of this moment.
    void enter_slot(Entry& entry, SharedMicroseconds now) const;
    /// Whether the endpoint that says that it leaves may still be the process that said so.
    [[nodiscard]] bool may_still_drain(EndpointNotice const& notice) const;

    BoxGroup boxes;
    std::unordered_map<EndpointId, Entry> entries;
    std::optional<Instant> list_confirmed_at;
    /// Since when the list was known without a gap.
    Instant list_known_since;
};

/// When a client may come back for whom no endpoint of a service had room under its limit. `slot` is the longest slot
/// of those endpoints; `drawn`, from 0 to 1, spreads the clients, and less urgent ones (a higher priority) come later.
[[nodiscard]] Duration retry_after_limit(Duration slot, unsigned priority, double jitter);

}
