#pragma once

#include <LibMembership/BoxDirectory.h>

#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string_view>
#include <variant>

namespace Membership {

/// Decides how a box that knows no other boxes finds a relay of its failure domain.
///
/// The store holds one record for each failure domain: the box that the others ask first. It has the same size however
/// many boxes there are, so the load of a common start grows with their number and not with its square. A box that
/// finds no record, or whose relay does not respond, waits for a random time and then appends itself, provided that
/// nobody else did; so one box of the domain leads and reads the store for the others.
class RelaySearch {
public:
    /// Read the failure domain's record.
    struct ReadRecord {
        bool operator==(ReadRecord const&) const = default;
    };
    /// Ask this box for the store's records and for the list of boxes.
    struct Follow {
        BoxRecord relay;

        bool operator==(Follow const&) const = default;
    };
    /// Append this box as the domain's record if the store's log still ends where it did.
    struct Claim {
        bool operator==(Claim const&) const = default;
    };
    /// Read the store for the failure domain: this box is its record.
    struct Lead {
        bool operator==(Lead const&) const = default;
    };
    struct Wait {
        Duration duration { 0 };

        bool operator==(Wait const&) const = default;
    };
    using Step = std::variant<ReadRecord, Follow, Claim, Lead, Wait>;

    /// What this box knows of the relay that it follows.
    struct RelayState {
        /// Since when it has not responded; empty if it did.
        std::optional<Instant> silent_since;
        bool has_sent_list { false };
        bool has_recent_data { false };

        bool operator==(RelayState const&) const = default;
    };
    /// Why a relay is of no use.
    enum class RelayLoss {
        DoesNotRespond,
        SentNoList,
        HasOutdatedData,
    };
    /// A relay reads the store and, on the first start, waits for all records before it sends the list of boxes. After
    /// this time it must have sent the list, and its data must be recent.
    static constexpr Duration max_list_wait { std::chrono::seconds(8) };

    RelaySearch(BoxRecord const& own, std::uint64_t seed);

    /// What to do now.
    [[nodiscard]] Step next(Instant now) const;
    /// The record was read; empty if the failure domain has none.
    void record_read(std::optional<BoxRecord> const& found, Instant now);
    /// The store did not respond, or not as it should.
    void read_failed(Instant now);
    void claimed() { this->is_leading = true; }
    /// Another box appended a record first.
    void claim_failed(Instant now);
    /// Why the relay that this box follows has to be given up; empty if it does not.
    [[nodiscard]] std::optional<RelayLoss> loss(RelayState const& state, Instant now) const;
    /// The relay was given up.
    void relay_lost(std::string const& name, Instant now);

private:
    /// A claim waits for a random time up to this. Boxes that start together do so within 0.3 s, so most of them find
    /// the record of the first one that claims.
    static constexpr Duration max_claim_delay { std::chrono::milliseconds(300) };
    /// Added for a box with a narrow link, since the first box sends the whole list of endpoints to all others.
    static constexpr Duration narrow_claim_delay { std::chrono::milliseconds(300) };
    /// Pauses after failed reads are random, up to a limit that starts here and doubles.
    static constexpr Duration first_pause_limit { std::chrono::milliseconds(200) };
    /// All boxes may be in this state, and find each other within this time of the store's return.
    static constexpr Duration max_pause_limit { std::chrono::seconds(2) };

    /// A relay that refuses connections for this long is gone: processes that end are started again sooner.
    static constexpr Duration max_relay_silence { std::chrono::milliseconds(1200) };

    [[nodiscard]] Duration random_up_to(Duration limit);

    std::string own_name;
    bool has_narrow_link;
    pcg32 random;
    bool is_leading { false };
    std::optional<BoxRecord> relay;
    Instant follows_since;
    std::set<std::string> lost_relays;
    /// When this box may append itself; unset until it found that it has to.
    std::optional<Instant> claims_at;
    /// Whether the record was read after `claims_at`, so that the claim is next.
    bool may_claim { false };
    Instant reads_at;
    unsigned failures { 0 };
};

[[nodiscard]] std::string_view to_string(RelaySearch::RelayLoss loss);

}
