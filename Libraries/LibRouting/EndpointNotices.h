#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/RateLimit.h>
#include <LibRouting/RateSchedule.h>

#include <unordered_map>

namespace Routing {

/// What an endpoint says of itself in its answers, as boxes tell it each other.
struct EndpointNotice {
    EndpointLife endpoint;
    /// One higher with each change that a box sees in an answer. Of two notices the higher one is the newer, however
    /// late it comes.
    std::uint64_t version { 0 };
    RateLimit limit;

    bool operator==(EndpointNotice const&) const = default;
};

/// Which requests of a service get what little its endpoints take first.
enum class SendRank {
    First,
    Later,
};

/// What endpoints say they take, and whether this box may send to them now.
///
/// A box that sees a change in an answer tells the others, so that a box keeps to a limit before the endpoint has ever
/// answered it. A limit holds until an answer to a request that was sent under it names none, or another one: an answer
/// that was on its way earlier may be of before. A process that starts anew gets an id of its own where it tells its
/// life; where it doesn't, its first answers say that it has no limit.
class EndpointNotices {
public:
    void set_boxes(BoxGroup changed);
    /// Takes what an answer said of the request that was sent at `sent_at`. The notice to tell others, if it changed.
    [[nodiscard]] std::optional<EndpointNotice> answered(
        EndpointId id, EndpointLife const& endpoint, RateLimit const& told, Instant sent_at, Instant now);
    /// Takes what another box told; true if it is newer than what is known.
    bool take(EndpointId id, EndpointNotice const& told, Instant now);
    void forget(EndpointId id) { this->entries.erase(id); }

    /// Whether the endpoint may get a request of this rank from this box now, by its limit. In the first half of a slot
    /// as much is kept for the first rank as asked in the slot before.
    [[nodiscard]] bool may_send(EndpointId id, SendRank rank, SharedMicroseconds now);
    /// Counts a request against this box's part of the endpoint's limit. False for one without a limit.
    bool count_send(EndpointId id, SharedMicroseconds now);
    /// The limit in force; empty for none.
    [[nodiscard]] RateLimit limit_of(EndpointId id) const;
    /// Endpoints that have a limit.
    [[nodiscard]] std::size_t limited() const;
    /// What boxes that missed a change have to be told.
    [[nodiscard]] std::vector<EndpointNotice> worth_telling(Instant now) const;

private:
    struct Entry {
        EndpointNotice notice;
        Instant learned_at;
        /// This box's part in a slot, and what is left of it.
        std::uint64_t slot { 0 };
        unsigned left { 0 };
        /// Requests of the first rank that asked in the slot and in the one before.
        unsigned asked_first { 0 };
        unsigned asked_first_before { 0 };
    };

    /// The end of a limit is told on for so long: several rounds of all boxes.
    static constexpr Duration told_after_end { std::chrono::seconds(30) };

    /// Brings what is left of this box's part up to the slot of this moment.
    void enter_slot(Entry& entry, SharedMicroseconds now) const;

    BoxGroup boxes;
    std::unordered_map<EndpointId, Entry> entries;
};

/// When a client may come back for whom no endpoint of a service had room under its limit. `slot` is the longest slot
/// of those endpoints; `drawn`, from 0 to 1, spreads the clients, and less urgent ones (a higher priority) come later.
[[nodiscard]] Duration come_back_after_limit(Duration slot, unsigned priority, double drawn);

}
