#pragma once

#include <LibCore/Ids.h>
#include <LibRouting/PacedShare.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Routing {

using Core::EndpointId;
using Core::Instant;

/// What a box knows of the room at an endpoint.
struct EndpointRoom {
    std::string_view incarnation;
    unsigned slots { 0 };
    /// Estimated number of requests of all boxes there.
    double running { 0 };
    /// Requests of this box there.
    std::size_t own_running { 0 };
    /// Average time for which a request occupies a slot.
    Duration slot_time { std::chrono::seconds(1) };

    bool operator==(EndpointRoom const&) const = default;
};

/// Endpoints that fail if they have to reject too many requests within a second, as they report.
///
/// Most slots of such an endpoint are divided among the boxes, so that the requests in these are not rejected, however
/// many boxes there are and however little they hear of each other. The other slots are for requests beyond the own
/// slots. A limit on their rate, for all boxes together, follows from the rejections that the endpoint bears and from
/// the slots that are known to be free.
///
/// Boxes tell each other of rejections. If an endpoint has several in a second, the limit falls and then doubles every
/// second up to its former value; if it has half of what it bears, nobody sends it anything for the rest of the second.
/// An endpoint that has had much room for some time is not limited.
class BrittleEndpoints {
public:
    /// An answer of an endpoint of `service` reported how many requests it can reject in a second; unset if it reported
    /// nothing.
    void apply_answer(std::string const& service, std::optional<double> max_rejections, Instant now);
    /// An endpoint of the service reported to this box or to another one that it is brittle.
    void note_service(std::string const& service, double max_rejections, Instant now);
    /// The endpoint rejected a request of this box or of another one. Returns whether it is endangered, since it had to
    /// reject several within a second.
    bool rejected(EndpointId id, double max_rejections, Instant at);
    /// Counts a rejection of a request of this box, which rejected() doesn't tell from those of other boxes.
    void count_own_rejection(EndpointId id, Instant at);
    void forget(EndpointId id) { this->entries.erase(id); }

    /// Whether the latest answer of any endpoint of the service reported that it is brittle: many requests may reach an
    /// endpoint before its own first answer arrives.
    [[nodiscard]] bool is_brittle(std::string const& service) const;
    /// The limit for all boxes together on requests beyond their own slots, in requests per second.
    [[nodiscard]] double limit_of(
        EndpointId id, std::string const& service, EndpointRoom const& room, Instant now) const;
    /// Whether so many slots are free, and have been for some time, that any box may use any of them.
    [[nodiscard]] bool has_room_for_all(
        EndpointId id, std::string const& service, EndpointRoom const& room, Instant now) const;
    /// Whether the endpoint had to reject so many requests within the last second that nobody sends it any.
    [[nodiscard]] bool is_paused(EndpointId id, Instant now) const;
    /// Whether one of this box's own slots of a brittle endpoint is free.
    [[nodiscard]] bool has_own_slot(EndpointId id, EndpointRoom const& room, BoxGroup const& boxes, Instant now);
    /// The boxes changed, and with them how the slots are divided.
    void forget_own_slots();
    /// Whether this box may send a request beyond its own slots now, by its share of the limit.
    [[nodiscard]] bool may_send(EndpointId id, SharedLimit const& limit, SendPriority rank);
    /// Counts a request against this box's share of the limit.
    void count_send(EndpointId id, SharedLimit const& limit);

private:
    [[nodiscard]] double max_rejections_of(std::string const& service) const;
    /// How often the limit has doubled since the endpoint was last endangered.
    [[nodiscard]] int doublings_since_danger(EndpointId id, Instant now) const;
    /// How many of an endpoint's slots are divided among the boxes.
    [[nodiscard]] static unsigned divided_slots(unsigned slots);
    [[nodiscard]] static unsigned own_slots_of(EndpointRoom const& room, BoxGroup const& boxes);

    struct Entry {
        /// What the endpoint could reject when it last rejected a request.
        double max_rejections { 0 };
        /// Recent rejections of all boxes, in order of time.
        std::deque<Instant> rejections {};
        /// When the rejections of a second last endangered the endpoint.
        std::optional<Instant> endangered_at {};
        /// The latest rejection of a request of this box.
        std::optional<Instant> own_rejected_at {};
        PacedShare share {};
        /// This box's own slots; unset until they are needed.
        std::optional<unsigned> own_slots {};
    };

    struct BrittleService {
        /// As reported by the latest answer.
        double max_rejections { 0 };
        /// When this box first knew.
        Instant since;
    };

    /// Endpoints count the rejections of a second.
    static constexpr Duration rejection_window { std::chrono::seconds(1) };
    /// Fraction of the slots that are divided among the boxes.
    static constexpr double divided_share = 0.75;
    /// The greatest limit as a multiple of the rejections that the endpoint bears.
    static constexpr double most_rejections_share = 2;
    /// Fraction of the rejections of a second that endangers the endpoint.
    static constexpr double endangering_share = 0.25;
    /// Fraction of the rejections of a second at which the endpoint gets no requests. The rest is for those on their
    /// way.
    static constexpr double pausing_share = 0.5;
    static constexpr Duration doubling_time { std::chrono::seconds(1) };
    /// The limit reaches its maximum after this many doublings.
    static constexpr int max_doublings = 3;
    /// Fraction of the slots that may be in use beyond the first limit. The rest is for requests that boxes don't know
    /// of.
    static constexpr double usable_share = 0.8;
    /// An endpoint with at most this fraction of its slots in use has room for the requests that boxes send before they
    /// hear of each other's.
    static constexpr double roomy_share = 0.35;
    /// How long the service must have been brittle, and the endpoint not endangered, until it counts as roomy. Queues
    /// become short some seconds after endpoints say that they are brittle, and only then rejections show a lack of
    /// room.
    static constexpr Duration calm_time { std::chrono::seconds(10) };
    /// An endpoint that can't reject any request gets one now and then.
    static constexpr double min_limit = 0.5;

    std::unordered_map<EndpointId, Entry> entries;
    /// Services whose latest answer reported that its endpoint is brittle.
    std::unordered_map<std::string, BrittleService> services;
};

}
