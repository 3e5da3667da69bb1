#pragma once

#include <LibCore/Ids.h>
#include <LibRouting/LimitShare.h>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Routing {

using Core::EndpointId;
using Core::Instant;

/// Endpoints that fail if they have to reject too many requests within a second, as they report.
///
/// A rejection shows that such an endpoint is full. Boxes tell each other of it, and from then on all of them together
/// send it fewer requests than it may reject, even if it rejects them all. This limit doubles every second until it no
/// longer matters, or until the next rejection. Requests under way at the first rejection are rejected as well: a
/// box that by its own rejections expects them to use up the rest of what the endpoint bears sends nothing for a
/// second.
class BrittleEndpoints {
public:
    /// An answer of an endpoint of `service` reported how many requests it can reject in a second; unset if it reported
    /// nothing.
    void apply_answer(EndpointId id, std::string const& service, std::optional<double> max_rejections);
    /// The endpoint rejected a request of this box or of another one. Returns whether that is news to this box.
    bool rejected(EndpointId id, double max_rejections, Instant at);
    void forget(EndpointId id) { this->entries.erase(id); }

    /// Whether the endpoint's answers report that it is brittle, or the latest answer of any endpoint of its service
    /// does: many requests may reach an endpoint before its own first answer arrives.
    [[nodiscard]] bool is_brittle(EndpointId id, std::string const& service) const;
    /// The limit for all boxes together, in requests per second; unset if none is in force.
    [[nodiscard]] std::optional<double> limit_of(EndpointId id, Instant now) const;
    /// Counts a rejection of a request of this box, which rejected() doesn't tell from those of other boxes.
    void count_own_rejection(EndpointId id, Instant at);
    /// Whether the endpoint gets nothing from this box, as it has rejected requests of it within the last second and
    /// would not bear as many from each of `boxes` beside what the limit allows.
    [[nodiscard]] bool is_paused(EndpointId id, std::size_t boxes, Instant now) const;
    /// Whether this box may send a request to the endpoint now, by its share of the limit `limit`.
    [[nodiscard]] bool may_send(EndpointId id, SharedLimit const& limit, SendPriority rank);
    /// Counts a request against this box's share.
    void count_send(EndpointId id, SharedLimit const& limit);

private:
    struct Entry {
        /// As reported by the latest answer; unset if that reported nothing.
        std::optional<double> max_rejections;
        /// When the endpoint last rejected a request, and what it could reject then.
        std::optional<Instant> rejected_at;
        double max_rejections_then { 0 };
        LimitShare share {};
        /// The latest rejection of a request of this box, and how many there were since `own_rejections_since`.
        std::optional<Instant> own_rejected_at {};
        Instant own_rejections_since {};
        unsigned own_rejections { 0 };
    };

    /// Fraction of the rejections that the limit allows at first. The rest is for requests that are on their way.
    static constexpr double first_share = 0.5;
    /// Endpoints count the rejections of a second.
    static constexpr Duration rejection_window { std::chrono::seconds(1) };
    static constexpr Duration doubling_time { std::chrono::seconds(1) };
    /// After this many doublings the limit is no longer in force: 32 times what the endpoint may reject.
    static constexpr int max_doublings = 6;
    /// Rejections within this time are one event, so that a full endpoint causes few messages.
    static constexpr Duration news_interval { std::chrono::milliseconds(100) };
    /// An endpoint that can't reject any request gets one now and then, since only its answers show when this ends.
    static constexpr double min_limit = 0.5;

    std::unordered_map<EndpointId, Entry> entries;
    /// Services whose latest answer reported that its endpoint is brittle.
    std::set<std::string> brittle_services;
};

}
