#pragma once

#include <LibMembership/BoxDirectory.h>

#include <algorithm>
#include <optional>

namespace Membership {

/// Deadlines for a box to apply what the platform's store contains; the limits of ControlSource are derived from them.
struct ControlBounds {
    /// A configuration must be in force this long after the store acknowledged it.
    Duration apply_within { std::chrono::seconds(2) };
    /// A draining endpoint must receive no new requests this long after the store acknowledged its draining.
    Duration drain_within { std::chrono::seconds(2) };

    bool operator==(ControlBounds const&) const = default;
};

/// Decides whether a box reads the platform's store itself or requests its contents from another box (a relay).
///
/// Relays only save calls to the store, and none is appointed. The boxes of a failure domain use the first box of a
/// common order that responds, and these first boxes use the first one among themselves, which reads the store. So one
/// box reads the store for hundreds, and data passes through at most two boxes. Each response of a relay carries the
/// moment up to which its data is confirmed; a box whose data gets too old reads the store itself at once. A relay that
/// crashes, hangs, is unreachable or is not the one that others use costs additional calls to the store and nothing
/// else.
///
/// While the store is unreachable, the first boxes of the domains retry it often and all others rarely: a box whose
/// relays have no recent data requests it from each of them in turn, and so finds any box that reaches the store.
class ControlSource {
public:
    ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds);

    void set_bounds(ControlBounds new_bounds) { this->bounds = new_bounds; }
    /// This box has just started and looks for a relay. Until it is in the list of boxes, it reads no topic of the
    /// store, unless a relay provided recent data and then no longer does.
    void begin_search() { this->searches = true; }
    [[nodiscard]] bool is_searching() const { return this->searches; }
    /// The relay to ask until the list of boxes is known.
    void use_first_relay(BoxRecord relay) { this->first_relay = std::move(relay); }
    /// Since when the relay has not responded; empty if it did, or was not asked.
    [[nodiscard]] std::optional<Instant> unresponsive_since(std::string const& name) const;
    /// This box was suspended until now, and others may resume at the same moment: as after a start, relays are used
    /// first, so that not all boxes read the store at once.
    void after_suspension(Instant now);
    /// The list of boxes was read from the store, or received from a relay.
    void update_boxes(std::vector<BoxRecord> records, Instant now);
    /// Until the list of boxes is known, this box reads the store itself.
    void boxes_unavailable();

    /// The relay to use now; empty for none.
    [[nodiscard]] std::optional<BoxRecord> relay(Instant now) const;
    /// The relay's response was confirmed up to `confirmed_at`.
    void relay_answered(std::string const& name, Instant confirmed_at, Instant now);
    /// The relay sent no usable response.
    void relay_failed(std::string const& name, Instant now);
    /// Another box requested data from this one; an empty failure domain stands for the box's own.
    void request_received(std::string const& requester_domain, Instant now);
    /// This box's own reads of the store fail, or succeed again.
    void store_failed(Instant now) { this->store_failed_at = now; }
    void store_answered() { this->store_failed_at.reset(); }

    /// Whether this box has to read the store itself.
    [[nodiscard]] bool reads_store(Instant now) const;
    /// Whether a box that has just started and has no data yet waits for a relay's response instead of reading the
    /// store.
    [[nodiscard]] bool awaits_first_answer(Instant now) const;
    /// Whether this box is the relay that its failure domain should use, according to the list of boxes and recent
    /// failures.
    [[nodiscard]] bool is_first_in_domain(Instant now) const;
    /// Whether other boxes recently sent this one a request or a response. Always true in failure domains that are too
    /// small for relays, where boxes exchange no requests.
    [[nodiscard]] bool has_recent_contact(Instant now) const;
    /// Whether other boxes use this one as a relay.
    [[nodiscard]] bool is_relay(Instant now) const;
    /// Whether a relay provided data that is still recent enough.
    [[nodiscard]] bool has_recent_data(Instant now) const
    {
        return this->confirmed_at && this->is_recent(*this->confirmed_at, now);
    }
    /// Whether data confirmed up to this moment is recent enough.
    [[nodiscard]] bool is_recent(Instant confirmed_at, Instant now) const;
    [[nodiscard]] BoxDirectory const& boxes() const { return this->directory; }
    /// Boxes that have not responded for so long that their records are considered obsolete.
    [[nodiscard]] std::vector<std::string> unresponsive_boxes(Instant now) const;

    /// Interval between requests to a relay.
    [[nodiscard]] Duration poll_interval() const { return this->tightest_bound() / 10; }
    /// The interval at this moment. The first box of a domain polls twice as often, so that its domain learns of the
    /// loss of the reader before its data is too old; otherwise each box of the domain would read the store. A box
    /// without any data polls eight times as often, because it refuses its clients until then. A box that can't reach
    /// the store polls four times as often, alternating between some ten boxes.
    [[nodiscard]] Duration poll_interval(Instant now) const;
    /// Longest silence of a relay, before its response and within it. Leaves time to read the store when the relay
    /// hangs.
    [[nodiscard]] Duration relay_timeout() const { return this->tightest_bound() * 3 / 20; }
    /// Timeout for this relay. A relay of another domain serves a whole domain through this box, so its timeout is
    /// shorter. It is shorter still while the box has no data: a running relay responds within some 10 ms, one without
    /// power never does, and the box refuses its clients until it has data.
    [[nodiscard]] Duration relay_timeout_for(BoxRecord const& relay, Instant now) const;
    /// Interval until the list of boxes is read again, after so many reads of a list that contains this box. A box that
    /// has a relay reads it rarely, and less often the more boxes there are. A box that reads the store itself checks
    /// soon: it may have started a moment before the others and would remain a second reader.
    [[nodiscard]] Duration list_interval(unsigned reads, Instant now) const;
    /// Pause after so many failed reads of the store in a row.
    [[nodiscard]] Duration retry_pause(unsigned failures, Instant now) const;
    /// Whether a box whose reads fail retries only the endpoints, and reads the configuration once that succeeds. This
    /// saves the store part of the calls of hundreds of boxes. Boxes that serve as relays retry both topics.
    [[nodiscard]] bool retries_one_topic(Instant now) const { return this->has_preferred_peers(now); }
    /// Time limit for a relay's whole response: a slower one is too old when it is complete, since its data is
    /// confirmed no later than the request was sent.
    /// The first answer is accepted however old: it is long, and the next one brings only what has changed since.
    [[nodiscard]] Duration max_answer_time() const { return this->searches ? max_first_answer_time : this->max_age(); }
    /// Pause between a relay's reads of the endpoints.
    [[nodiscard]] Duration read_interval() const { return this->tightest_bound() / 5; }
    /// Long-poll time of a relay's read of the configuration. Confirmed data is as old as the read takes and remains in
    /// use for as long again; this leaves time for a store that takes a quarter of a second.
    [[nodiscard]] Duration read_wait() const { return this->tightest_bound() / 8; }

private:
    struct RelayFailure {
        Instant since;
        Instant retry_at;
        Duration pause { 0 };
        /// The relay responds, but its data is too old.
        bool is_stale { false };
    };

    [[nodiscard]] Duration max_age() const
    {
        return Core::from_seconds(Core::to_seconds(this->tightest_bound()) * max_age_share);
    }
    [[nodiscard]] Duration tightest_bound() const
    {
        return std::min(this->bounds.apply_within, this->bounds.drain_within);
    }
    /// The boxes of the own failure domain that this box may use as relays, in order; empty if this box comes first or
    /// the domain has too few boxes.
    [[nodiscard]] std::vector<BoxRecord> candidates() const;
    /// All boxes that this box may use as relays now, in order.
    [[nodiscard]] std::vector<BoxRecord> candidates(Instant now) const;
    /// Additional relays of a box that can't reach the store: the first box of every other domain, then a few of its
    /// own domain, which change over time. If the store serves half of the boxes, every second one has recent data.
    [[nodiscard]] std::vector<BoxRecord> fallback_relays(Instant now) const;
    [[nodiscard]] bool is_backed_off(BoxRecord const& box, Instant now) const;
    [[nodiscard]] bool is_store_unreachable(Instant now) const;
    /// Whether other boxes of the domain precede this one as relays.
    [[nodiscard]] bool has_preferred_peers(Instant now) const;
    /// Whether boxes of other domains use this one as a relay.
    [[nodiscard]] bool serves_other_domains(Instant now) const;
    /// The first box that is not backed off after a failure; otherwise, of the boxes with stale data, the one whose
    /// retry is due first.
    [[nodiscard]] std::optional<BoxRecord> first_usable(std::vector<BoxRecord> const& boxes, Instant now) const;
    void end_search();
    void update_domain_relays();
    void record_stale_answer(std::string const& name, Instant now);

    /// Largest age of a relay's data, as a share of the deadlines. The rest is for detecting it and for a read of the
    /// store, which takes a quarter of a second when the store is slow.
    static constexpr double max_age_share = 0.55;
    /// For the whole list of endpoints, which a relay sends to all boxes of its failure domain at the same time.
    static constexpr Duration max_first_answer_time { std::chrono::seconds(10) };
    /// In smaller failure domains a relay saves too few calls to be worth its failures.
    static constexpr std::size_t min_boxes_for_relays = 4;
    /// Limits how many boxes become relays when the store is unreachable.
    static constexpr std::size_t max_candidates = 3;
    /// A failed relay is retried after this pause, which doubles with each further failure.
    static constexpr Duration first_relay_pause { std::chrono::seconds(3) };
    static constexpr Duration max_relay_pause { std::chrono::seconds(60) };
    /// Longest pause for a relay with stale data, which may reach the store again at any moment.
    static constexpr Duration max_stale_pause { std::chrono::seconds(12) };
    /// A box that received no request for this long is no longer a relay. Several poll intervals with any usual
    /// deadlines.
    static constexpr Duration contact_timeout { std::chrono::seconds(2) };
    /// For this long after a failed read a box considers the store unreachable: longer than the longest pause until its
    /// next read, otherwise it would use no relay in between.
    static constexpr Duration store_failure_retention { std::chrono::seconds(10) };
    /// The list is only a hint: a box that is missing from it causes additional calls and nothing else.
    static constexpr Duration base_list_interval { std::chrono::seconds(60) };
    /// With more boxes the interval grows with their number, so that the total rate of reads stays the same.
    static constexpr std::size_t boxes_with_base_list_interval = 30;
    /// For a box that reads the store itself; doubles with each read.
    static constexpr Duration first_list_interval { std::chrono::seconds(2) };
    /// For one that reads it for others, whose list comes from this one.
    static constexpr Duration max_relay_list_interval { std::chrono::seconds(10) };
    /// Fallback relays of the own domain: with the first boxes of all domains some ten, all tried within a quarter of
    /// the deadline.
    static constexpr std::size_t max_fallback_peers = 4;
    /// The selection stays the same for this long, in which each of them is tried once.
    static constexpr Duration fallback_rotation { std::chrono::seconds(2) };
    /// After the first failed read of the store, which may have been a single lost response.
    static constexpr Duration first_store_pause { std::chrono::milliseconds(100) };
    /// For the relays of a domain, and for every box where there are few.
    static constexpr Duration max_store_pause { std::chrono::milliseconds(800) };
    /// Up to this number of boxes may retry that often; with more, the pause of all but the first box of a domain grows
    /// in proportion, so that the total rate of calls does not grow.
    static constexpr std::size_t boxes_with_short_pauses = 16;
    /// Limits how long a box without any working relay stays without the store: a little longer than configurations
    /// remain valid.
    static constexpr Duration max_scaled_store_pause { std::chrono::milliseconds(6400) };
    /// A box without a response for this long has an obsolete record: longer than any restart takes.
    static constexpr Duration unresponsive_after { std::chrono::minutes(5) };

    std::string box_name;
    std::string failure_domain;
    ControlBounds bounds;
    BoxDirectory directory;
    /// The order in which boxes of this failure domain are used as relays.
    std::vector<BoxRecord> order;
    /// The first box of each failure domain that is large enough for relays, in the same order.
    std::vector<BoxRecord> domain_relays;
    std::map<std::string, RelayFailure> relay_failures;
    /// Since when the relay in use responds with stale data; empty if it does not.
    std::optional<Instant> stale_since;
    /// The latest moment up to which a relay confirmed its data.
    std::optional<Instant> confirmed_at;
    std::optional<Instant> requested_at;
    std::optional<Instant> requested_by_other_domain_at;
    std::optional<Instant> store_failed_at;
    /// When this box last received a request or a response of another box.
    std::optional<Instant> last_contact_at;
    /// Whether the list of boxes was read, or the read failed. Until then the box waits, since a relay would save its
    /// first reads.
    bool is_started { false };
    /// How long a box that has just learnt of the other boxes waits for a relay's first response.
    std::optional<Instant> waits_until;
    bool searches { false };
    std::optional<BoxRecord> first_relay;
};

}
