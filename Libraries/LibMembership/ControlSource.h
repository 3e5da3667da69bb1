#pragma once

#include <LibMembership/BoxDirectory.h>

#include <algorithm>
#include <optional>

namespace Membership {

/// Times within which a box must act on what the platform's store says; the bounds of this class follow from them.
struct ControlBounds {
    /// A configuration must be in force this long after the store acknowledged it.
    Duration apply_within { std::chrono::seconds(2) };
    /// An endpoint that leaves must be left alone this long after the store acknowledged that.
    Duration drain_within { std::chrono::seconds(2) };

    bool operator==(ControlBounds const&) const = default;
};

/// Decides from where a box takes what the platform's store says: from the store, or from another box (a relay).
///
/// A relay is only a saving and nobody appoints it. The boxes of a failure domain ask the first of a common order that
/// answers, and the first boxes of the domains ask the first of these, which reads the store. So one box reads it for
/// hundreds, and no answer passes more than two boxes. What a relay says carries the moment that it vouches for, and a
/// box whose knowledge grows older than it may reads the store itself at once. A relay that dies, hangs, is cut off or
/// is not the one that others ask costs calls to the store and nothing else.
///
/// While the store is out of reach the first boxes of the domains try it often and all others rarely, since whoever
/// reaches it is found through relays: a box whose relays know nothing recent asks each of them in turn.
class ControlSource {
public:
    ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds);

    void set_bounds(ControlBounds changed) { this->bounds = changed; }
    /// A box that has just started waits until then, at most, for the list of boxes before it reads the store.
    void wait_for_boxes(Instant until) { this->waits_until = until; }
    /// This box was suspended until now, and others may wake with it: as after a start, relays are asked first, so that
    /// not all of them read the store at once.
    void woke(Instant now);
    /// The store told which boxes there are.
    void take_boxes(std::vector<BoxRecord> records, Instant now);
    /// The store could not be asked which boxes there are.
    void boxes_unknown() { this->is_started = true; }

    /// The relay to ask now; nothing for none.
    [[nodiscard]] std::optional<BoxRecord> relay(Instant now) const;
    /// The relay vouched for everything up to `vouched_at`.
    void relay_answered(std::string const& name, Instant vouched_at, Instant now);
    /// The relay gave no answer that can be used.
    void relay_failed(std::string const& name, Instant now);
    /// A box of this failure domain, or of another one, asked this one; an empty name stands for the own domain.
    void was_asked(std::string const& asker_domain, Instant now);
    /// This box's own reads of the store fail, or work again.
    void store_failed(Instant now) { this->store_failed_at = now; }
    void store_answered() { this->store_failed_at.reset(); }

    /// Whether this box has to read the store itself.
    [[nodiscard]] bool reads_store(Instant now) const;
    /// Whether a box that has just started and knows nothing yet leaves the store alone, since a relay will tell it.
    [[nodiscard]] bool awaits_first_answer(Instant now) const;
    /// Whether this box is the one that its failure domain asks, as far as it knows.
    [[nodiscard]] bool leads_domain(Instant now) const;
    /// Whether other boxes answered this one or asked it lately. Where failure domains are too small for relays nothing
    /// is known of that, and it is taken to be so.
    [[nodiscard]] bool hears_others(Instant now) const;
    /// Whether other boxes take what the store says from this one.
    [[nodiscard]] bool is_relay(Instant now) const;
    /// Whether what a relay vouches for up to this moment is recent enough.
    [[nodiscard]] bool is_recent(Instant vouched_at, Instant now) const;
    [[nodiscard]] BoxDirectory const& boxes() const { return this->directory; }
    /// Boxes that gave no answer for so long that their records are taken to be left over.
    [[nodiscard]] std::vector<std::string> long_gone(Instant now) const;

    /// How often a relay is asked.
    [[nodiscard]] Duration poll_interval() const { return this->tightest() / 10; }
    /// The same at this moment. The first box of a domain asks twice as often, so that its domain learns of the loss of
    /// the reader before what it knows is too old: else each box of the domain would read the store. A box that knows
    /// nothing yet asks eight times as often: it refuses its clients until then. One that can't reach the store asks
    /// four times as often, some ten boxes in turn.
    [[nodiscard]] Duration poll_interval(Instant now) const;
    /// Longest silence of a relay, before its answer and within it. One that hangs must leave time for a read of the
    /// store.
    [[nodiscard]] Duration patience() const { return this->tightest() * 3 / 20; }
    /// The same with this relay. One of another domain stands before a whole domain, so it is left sooner. A box that
    /// knows nothing yet leaves a relay sooner still: one that lives answers within some 10 ms, one that has no power
    /// yet says nothing, and the box refuses its clients until it knows something.
    [[nodiscard]] Duration patience_with(BoxRecord const& relay, Instant now) const;
    /// InterruptibleTimer after so many readings of a list of boxes that holds this one. A box that has a relay reads
    /// it seldom, and the more seldom the more boxes there are. One that reads the store itself looks soon, since it
    /// may have started a moment before the others: it would stay a reader beside the one of all.
    [[nodiscard]] Duration list_pause(unsigned readings, Instant now) const;
    /// InterruptibleTimer after so many failed reads of the store in a row.
    [[nodiscard]] Duration retry_pause(unsigned failures, Instant now) const;
    /// Whether a box that gets no answer from the store goes on trying it for the endpoints alone, and for the
    /// configuration when that was answered, which spares the store a part of the calls of hundreds of boxes. The boxes
    /// that others wait for try it for both.
    [[nodiscard]] bool tries_one_topic(Instant now) const { return this->is_one_of_many(now); }
    /// Longest time for a relay's whole answer: one that takes longer is too old to be used when it has come, since it
    /// vouches for no later moment than its question.
    [[nodiscard]] Duration longest_answer() const { return this->oldest(); }
    /// InterruptibleTimer between a relay's reads of the endpoints.
    [[nodiscard]] Duration read_interval() const { return this->tightest() / 5; }
    /// Longest wait of a relay's read of the configuration. What an answer vouches for is as old as the read is long,
    /// and stays in use for as long again; this leaves room for a store that takes a quarter of a second.
    [[nodiscard]] Duration read_wait() const { return this->tightest() / 8; }

private:
    struct Trouble {
        Instant since;
        Instant retry_at;
        Duration pause { 0 };
        /// It answers, but with what is too old.
        bool is_stale { false };
    };

    [[nodiscard]] Duration oldest() const
    {
        return Core::from_seconds(Core::to_seconds(this->tightest()) * share_of_bounds);
    }
    [[nodiscard]] Duration tightest() const { return std::min(this->bounds.apply_within, this->bounds.drain_within); }
    /// The boxes of the own failure domain that this one may ask, in order; empty if it comes first itself or the
    /// domain has too few.
    [[nodiscard]] std::vector<BoxRecord> candidates() const;
    /// The boxes that this one may ask now, in order.
    [[nodiscard]] std::vector<BoxRecord> candidates(Instant now) const;
    /// The boxes that one which can't reach the store asks beside these: the first of every other domain, then a
    /// few of its own, others each time. Where the store serves half of the boxes, one in two knows something recent.
    [[nodiscard]] std::vector<BoxRecord> last_resort(Instant now) const;
    [[nodiscard]] bool is_in_trouble(BoxRecord const& box, Instant now) const;
    [[nodiscard]] bool is_cut_off(Instant now) const;
    /// Whether other boxes of the domain are asked before this one.
    [[nodiscard]] bool is_one_of_many(Instant now) const;
    /// Whether a box of another domain takes what the store says from this one.
    [[nodiscard]] bool is_asked_by_domains(Instant now) const;
    /// The first of the given boxes that is not in trouble; of those that answer with what is too old, the one that was
    /// not asked for longest.
    [[nodiscard]] std::optional<BoxRecord> best_of(std::vector<BoxRecord> const& boxes, Instant now) const;
    void find_leaders();
    void note_stale_answer(std::string const& name, Instant now);

    /// Part of the bounds that what a relay vouches for may be old. The rest is for noticing it and for a read of the
    /// store, which takes a quarter of a second when the store is slow.
    static constexpr double share_of_bounds = 0.55;
    /// In smaller failure domains a relay saves too little for what can go wrong with it.
    static constexpr std::size_t fewest_boxes = 4;
    /// So many boxes are asked at most, so that a store out of reach doesn't make every box a relay.
    static constexpr std::size_t most_candidates = 3;
    /// A relay that failed is asked again after this, and twice as long after each further failure.
    static constexpr Duration first_retry_pause { std::chrono::seconds(3) };
    static constexpr Duration longest_retry_pause { std::chrono::seconds(60) };
    /// The same of one that answers, but with what is too old: the store may be back for it at any moment.
    static constexpr Duration longest_stale_pause { std::chrono::seconds(12) };
    /// A box that was not asked for this long is no relay any more. Several intervals of asking at any bounds seen.
    static constexpr Duration asked_memory { std::chrono::seconds(2) };
    /// After a failed read of its own a box counts as cut off from the store for so long: longer than the longest pause
    /// until its next one, else it would ask nobody in between.
    static constexpr Duration cut_off_memory { std::chrono::seconds(10) };
    /// The list is only advice, and a box that is missing from it costs calls and nothing else.
    static constexpr Duration usual_list_pause { std::chrono::seconds(60) };
    /// With more boxes the pause grows with their number, so that the list is read no more often the more there are.
    static constexpr std::size_t boxes_with_usual_list_pause = 30;
    /// Of a box that reads the store itself; doubled with each reading.
    static constexpr Duration first_list_pause { std::chrono::seconds(2) };
    /// Boxes of the own domain among those that a box which can't reach the store asks: with the first boxes of all
    /// domains some ten, which it asks in turn in a quarter of the bound.
    static constexpr std::size_t most_of_last_resort = 4;
    /// For so long they are the same: each is asked once.
    static constexpr Duration turn_of_last_resort { std::chrono::seconds(2) };
    /// After the first failed read of the store, which may have been one lost answer.
    static constexpr Duration first_store_pause { std::chrono::milliseconds(100) };
    /// Of a box that its domain relies on, and of each where there are few.
    static constexpr Duration longest_store_pause { std::chrono::milliseconds(800) };
    /// So many boxes may try the store that often; with more, each but the first of a domain pauses as much longer, so
    /// that the calls of all don't grow with their number.
    static constexpr std::size_t boxes_with_short_pauses = 16;
    /// A box that no relay helps is without the store for so long at most: a little more than the time for which
    /// configurations are good.
    static constexpr Duration longest_crowd_pause { std::chrono::milliseconds(6400) };
    /// A record whose box gave no answer for this long is taken to be left over: longer than any restart.
    static constexpr Duration gone_after { std::chrono::minutes(5) };

    std::string box_name;
    std::string failure_domain;
    ControlBounds bounds;
    BoxDirectory directory;
    /// The order in which boxes of this failure domain are asked.
    std::vector<BoxRecord> order;
    /// The first box of each failure domain that has a relay, in the same order.
    std::vector<BoxRecord> leaders;
    std::map<std::string, Trouble> troubles;
    /// Since when the relay asked answers with what is too old; nothing if it does not.
    std::optional<Instant> stale_since;
    /// The last moment that a relay vouched for.
    std::optional<Instant> vouched_at;
    std::optional<Instant> asked_at;
    std::optional<Instant> asked_by_domain_at;
    std::optional<Instant> store_failed_at;
    /// When another box last asked this one or answered it.
    std::optional<Instant> heard_at;
    /// Whether the directory was read or could not be. Until then a box waits, since a relay would save its first
    /// reads.
    bool is_started { false };
    /// How long a box that has just started waits for the list of boxes, or for a relay's first answer.
    std::optional<Instant> waits_until;
};

}
