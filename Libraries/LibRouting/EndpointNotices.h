#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/LimitShare.h>
#include <LibRouting/ListConfirmations.h>
#include <LibRouting/RateLimit.h>

#include <unordered_map>

namespace Routing {

/// State that an endpoint reports in an answer.
struct EndpointCondition {
    RateLimit limit;
    /// The endpoint is about to stop and accepts no new requests.
    bool is_draining { false };

    bool operator==(EndpointCondition const&) const = default;
};

/// An endpoint's condition as boxes report it to each other.
struct EndpointNotice {
    EndpointInstance endpoint;
    /// Incremented with each change that a box sees in an answer. The notice with the higher version is the newer one,
    /// in whatever order notices arrive.
    std::uint64_t version { 0 };
    EndpointCondition condition;
    /// When the endpoint last reported this condition, as far as known.
    Instant reported_at {};

    bool operator==(EndpointNotice const&) const = default;
};

/// A request that an endpoint rejected which can't reject many, as boxes report it to each other.
struct EndpointRejection {
    EndpointInstance endpoint;
    /// How many requests it can reject within a second without failing.
    double max_rejections { 0 };
    Instant at {};

    bool operator==(EndpointRejection const&) const = default;
};

/// Conditions that endpoints report in their answers, and whether this box may send to an endpoint now.
///
/// A box that sees a change sends a notice to the other boxes, so that they know the condition before the endpoint has
/// answered them. A condition holds until an answer to a request that was sent while the condition was known differs
/// from it: answers to earlier requests may be outdated.
///
/// A restarted endpoint has a new id here if its entry has a start time or was removed in between. Otherwise its first
/// answers lift an old limit. A draining endpoint gets no requests and so gives no answers; the endpoint list decides,
/// since a draining endpoint is soon listed as draining or removed.
class EndpointNotices {
public:
    void set_boxes(BoxGroup changed);
    [[nodiscard]] BoxGroup const& box_group() const { return this->boxes; }
    /// Applies the condition in an answer to a request that was sent at `sent_at`. Returns the notice to send to other
    /// boxes if the condition changed.
    [[nodiscard]] std::optional<EndpointNotice> apply_answer(EndpointId id, EndpointInstance const& endpoint,
        EndpointCondition const& reported, Instant sent_at, Instant now);
    /// Applies a notice of another box. Returns whether it is newer than the known one.
    bool apply(EndpointId id, EndpointNotice const& reported, Instant now);
    void forget(EndpointId id) { this->entries.erase(id); }
    /// The endpoint list was up to date at this time.
    void confirm_list(Instant confirmed_at) { this->list.confirm(confirmed_at); }
    /// The endpoint list may be outdated, as after the store was restored from a copy.
    void mark_list_uncertain() { this->list.mark_uncertain(); }
    [[nodiscard]] ListConfirmations const& list_confirmations() const { return this->list; }

    [[nodiscard]] bool is_draining(EndpointId id) const;
    /// Whether the endpoint's limit allows this box to send a request of this priority now, as LimitShare::may_send.
    [[nodiscard]] bool may_send(EndpointId id, SendPriority rank, SharedMicroseconds now);
    /// Counts a request against this box's share of the endpoint's limit. Returns false if the endpoint has no limit.
    bool count_send(EndpointId id, SharedMicroseconds now);
    /// The limit in force; unset for none.
    [[nodiscard]] RateLimit limit_of(EndpointId id) const;
    /// Endpoints that have a limit.
    [[nodiscard]] std::size_t limited_count() const;
    /// Notices to resend, for boxes that missed a change.
    [[nodiscard]] std::vector<EndpointNotice> active(Instant now) const;

private:
    struct Entry {
        EndpointNotice notice;
        /// When this box received the notice or the answer.
        Instant learned_at;
        LimitShare share {};
    };

    /// How long the end of a limit is resent: several rounds of all boxes.
    static constexpr Duration resend_after_end { std::chrono::seconds(30) };
    /// An endpoint that is listed as not draining for this long after it reported that it drains is another process.
    /// Longer than an entry takes to lapse and a delayed write to the store to complete.
    static constexpr Duration max_unlisted_drain { std::chrono::seconds(15) };

    /// The limit of an entry that has one.
    [[nodiscard]] SharedLimit shared_limit(Entry const& entry, SharedMicroseconds now) const;
    /// Whether the endpoint may still be the draining process that the notice is about.
    [[nodiscard]] bool may_still_drain(EndpointNotice const& notice) const;

    BoxGroup boxes;
    std::unordered_map<EndpointId, Entry> entries;
    ListConfirmations list;
};

/// Time after which a client should retry if all endpoints of a service are at their limit. `slot` is the longest slot
/// of these endpoints. `jitter`, from 0 to 1, spreads the retries. Less urgent clients, with a higher priority value,
/// retry later.
[[nodiscard]] Duration retry_after_limit(Duration slot, unsigned priority, double jitter);

}
