#pragma once

#include <LibMembership/DepartedEndpoints.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace Membership {

/// Where a box got an endpoint's record from.
enum class RecordSource {
    Store,
    /// Another box, which passes on only what it considers current.
    Relay,
};

/// Why a record of an endpoint is not its current one.
enum class Lateness {
    /// The same process announced its end before, which is never taken back.
    AfterDraining,
    /// The entry of the same process was removed a short time ago.
    AfterRemoval,
    /// The record is of a process that the listed one has followed.
    EarlierInstance,
    /// The record only says that the endpoint stays cold for a shorter time than it said before.
    StillCold,
};

[[nodiscard]] std::string_view to_string(Lateness lateness);

/// Recognizes records of endpoints that the store wrote late.
///
/// A write whose answer was lost may be carried out seconds later, after newer records of the same endpoint. The log
/// then ends with an older state, and its offsets only tell in which order the writes arrived. What does tell is what
/// the records say: a process that drains never becomes ready again, one that left doesn't return, and a process
/// starts after the one that it replaces. How long an endpoint stays cold is told anew by each heartbeat, so an earlier
/// end of that time counts from the second record that says so.
class LateRecordFilter {
public:
    /// Why the record is out of date; empty if it is current. `listed` is the endpoint's known record, null for none.
    [[nodiscard]] std::optional<Lateness> lateness_of(Routing::EndpointRecord const& record,
        Routing::EndpointRecord const* listed, RecordSource source, Instant now) const;
    /// The record is current.
    void record_accepted(Routing::EndpointRecord const& record, RecordSource source, Instant now);
    /// The record was not applied. It may turn out to be current, see take_current().
    void record_ignored(Routing::EndpointRecord const& record, Lateness lateness, RecordSource source);
    /// The records of the store that were ignored, that nothing has followed, and that a late write can't account for
    /// any more: the entry of an endpoint that has left would have lapsed by now. They are not returned again.
    [[nodiscard]] std::vector<Routing::EndpointRecord> take_current(Instant now);
    /// The endpoints of all ignored records, which are forgotten: a whole list follows.
    [[nodiscard]] std::vector<std::string> take_ignored();
    /// The endpoint's entry is no longer in the store.
    void entry_removed(Routing::EndpointInstance const& instance, Instant now);
    /// The endpoint's entry is gone or unreadable, whether or not it was listed.
    void entry_ended(std::string const& incarnation) { this->ignored.erase(incarnation); }
    /// Forgets when the endpoint last sent a heartbeat, without recording that it left.
    void forget_heartbeats(std::string const& incarnation) { this->heartbeats.erase(incarnation); }
    /// Removes all departed endpoints from a list of an older copy of the store.
    void remove_departed_from(std::vector<Routing::EndpointRecord>& records, Instant now) const
    {
        this->departed.remove_from(records, now);
    }
    /// As DepartedEndpoints::store_restored.
    void store_restored() { this->departed.store_restored(); }
    void set_listed(std::size_t count) { this->departed.set_listed(count); }

private:
    /// When this box read the records of a process in the store.
    struct Heartbeats {
        std::uint64_t started_at { 0 };
        Instant first;
        Instant last;
        /// By the last record that was accepted.
        Instant cold_until;
        /// Whether the last record said that the endpoint stays cold for a shorter time.
        bool has_shorter_cold { false };
    };

    /// Whether the record says that the endpoint is warm earlier than it said before. It may become cold at any moment,
    /// so this may be a record from before it did.
    [[nodiscard]] static bool is_warm_too_early(Routing::EndpointRecord const& record,
        Routing::EndpointRecord const* listed, Heartbeats const& known, Instant now);

    /// An entry lapses after three missed heartbeats, which are at least a second apart. An entry that is removed
    /// earlier than that after a heartbeat was removed by the endpoint.
    static constexpr Duration min_lapse { std::chrono::seconds(3) };
    /// Reads of the store delay records by up to about a second, each by another time.
    static constexpr Duration max_read_delay { std::chrono::milliseconds(1500) };

    DepartedEndpoints departed;
    /// By incarnation. Only of endpoints whose records this box reads in the store itself.
    std::unordered_map<std::string, Heartbeats> heartbeats;
    /// By incarnation: the store's newest record, if it was ignored for a reason that ends.
    std::map<std::string, Routing::EndpointRecord> ignored;
};

}
