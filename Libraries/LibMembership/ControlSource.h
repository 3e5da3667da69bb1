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

/// Decides from where a box takes what the platform's store says: from the store, or from another box of its failure
/// domain that reads the store for all of them (a relay).
///
/// A relay is only a saving and nobody appoints it. Every box asks the first box of a common order that answers; a
/// box that is asked reads the store. What a relay says carries the moment that it vouches for, and a box whose
/// knowledge grows older than it may reads the store itself at once. So a relay that dies, hangs, is cut off or is not
/// the one that others ask costs calls to the store and nothing else.
class ControlSource {
public:
    ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds);

    void set_bounds(ControlBounds changed) { this->bounds = changed; }
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
    /// Another box asked this one.
    void was_asked(Instant now);

    /// Whether this box has to read the store itself.
    [[nodiscard]] bool reads_store(Instant now) const;
    /// Whether other boxes take what the store says from this one.
    [[nodiscard]] bool is_relay(Instant now) const;
    /// Whether what a relay vouches for up to this moment is recent enough.
    [[nodiscard]] bool is_recent(Instant vouched_at, Instant now) const;
    [[nodiscard]] BoxDirectory const& boxes() const { return this->directory; }
    /// Boxes that gave no answer for so long that their records are taken to be left over.
    [[nodiscard]] std::vector<std::string> long_gone(Instant now) const;

    /// How often a relay is asked.
    [[nodiscard]] Duration poll_interval() const { return this->tightest() / 10; }
    /// Longest silence of a relay, before its answer and within it. One that hangs must leave time for a read of the
    /// store.
    [[nodiscard]] Duration patience() const { return this->tightest() * 3 / 20; }
    /// Longest time for a relay's whole answer: one that takes longer is too old to be used when it has come, since it
    /// vouches for no later moment than its question.
    [[nodiscard]] Duration longest_answer() const { return this->oldest(); }
    /// Pause between a relay's reads of the endpoints.
    [[nodiscard]] Duration read_interval() const { return this->tightest() / 5; }
    /// Longest wait of a relay's read of the configuration. What an answer vouches for is as old as the read is long,
    /// and stays in use for as long again; this leaves room for a store that takes a quarter of a second.
    [[nodiscard]] Duration read_wait() const { return this->tightest() / 8; }

private:
    struct Trouble {
        Instant since;
        Instant retry_at;
        Duration pause { 0 };
    };

    [[nodiscard]] Duration oldest() const
    {
        return Core::from_seconds(Core::to_seconds(this->tightest()) * share_of_bounds);
    }
    [[nodiscard]] Duration tightest() const { return std::min(this->bounds.apply_within, this->bounds.drain_within); }
    /// The boxes that this one may ask, in order; empty if it comes first itself or the domain has too few.
    [[nodiscard]] std::vector<BoxRecord> candidates() const;
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
    /// A box that was not asked for this long is no relay any more. Several intervals of asking at any bounds seen.
    static constexpr Duration asked_memory { std::chrono::seconds(2) };
    /// A record whose box gave no answer for this long is taken to be left over: longer than any restart.
    static constexpr Duration gone_after { std::chrono::minutes(5) };

    std::string box_name;
    std::string failure_domain;
    ControlBounds bounds;
    BoxDirectory directory;
    /// The order in which boxes of this failure domain are asked.
    std::vector<BoxRecord> order;
    std::map<std::string, Trouble> troubles;
    /// Since when the relay asked answers with what is too old; nothing if it does not.
    std::optional<Instant> stale_since;
    /// The last moment that a relay vouched for.
    std::optional<Instant> vouched_at;
    std::optional<Instant> asked_at;
    /// Whether the directory was read or could not be. Until then a box waits, since a relay would save its first
    /// reads.
    bool is_started { false };
    /// How long a box that has just read the directory waits for a relay's first answer.
    std::optional<Instant> waits_until;
};

}
