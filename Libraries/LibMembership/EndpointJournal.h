#pragma once

#include <LibMembership/BoxDirectory.h>

namespace Membership {

/// An endpoint that was added, changed or removed.
struct EndpointChange {
    std::string incarnation;
    /// Empty if the endpoint was removed.
    std::optional<Routing::EndpointRecord> record;

    bool operator==(EndpointChange const&) const = default;
};

/// The changes of the list of endpoints since an earlier revision, or the whole list.
struct EndpointChanges {
    std::uint64_t revision { 0 };
    bool is_whole { false };
    std::vector<EndpointChange> changes;

    bool operator==(EndpointChanges const&) const = default;
};

/// The list of endpoints with the revision of each entry's last change, so that another box can request only the
/// changes. A heartbeat alone is no change.
///
/// A revision is the offset in the store's log up to which the list is known. So revisions mean the same at all boxes,
/// and a box that changes its relay still gets only the changes. A change that was received with others counts as one
/// of the last of them, which sends it twice at worst.
class EndpointJournal {
public:
    /// Begins with a complete list. Nothing is known of the time before.
    void restart(std::vector<Routing::EndpointRecord> const& records, std::uint64_t revision);
    void put(Routing::EndpointRecord const& record, std::uint64_t revision);
    /// False if the endpoint was not listed. The removal is sent to other boxes all the same: they may have the entry
    /// from a box that judged it otherwise.
    bool remove(std::string const& incarnation, std::uint64_t revision);
    /// Lists the endpoint by a record that was written before the last revision. Other boxes are beyond it, so it is
    /// sent to all of them until forget_out_of_sequence().
    void put_out_of_sequence(Routing::EndpointRecord const& record);
    void forget_out_of_sequence() { this->out_of_sequence.clear(); }
    /// Replaces the whole list by a later one.
    void replace_all(std::vector<Routing::EndpointRecord> const& records, std::uint64_t revision);
    /// Sends the entry again to boxes that know the list up to an earlier revision: one that read only a later record,
    /// which is out of date, would not get it otherwise.
    void renew(std::string const& incarnation, std::uint64_t revision);
    /// The listed endpoints that a later list lacks.
    [[nodiscard]] std::vector<Routing::EndpointRecord> missing_from(
        std::vector<Routing::EndpointRecord> const& records) const;
    /// The list is known up to this revision.
    void advance(std::uint64_t revision);

    /// Null for an endpoint that is not listed.
    [[nodiscard]] Routing::EndpointRecord const* find(std::string const& incarnation) const;
    /// The changes since `revision`; the whole list if these are no longer known.
    [[nodiscard]] EndpointChanges changes_since(std::uint64_t revision) const;
    /// Whether all changes since `revision` are known.
    [[nodiscard]] bool knows_since(std::uint64_t revision) const { return revision >= this->known_since; }
    [[nodiscard]] std::uint64_t revision() const { return this->last_revision; }
    /// Number of listed endpoints.
    [[nodiscard]] std::size_t size() const { return this->entries.size() - this->removals; }

private:
    struct Entry {
        std::optional<Routing::EndpointRecord> record;
        std::uint64_t changed_at { 0 };
    };
    using Entries = std::map<std::string, Entry>;

    /// Records that the entry changed.
    void touch(Entries::iterator entry, std::uint64_t revision);
    void discard_old_removals();

    /// Number of removals that are kept at least. Of a long list, as many are kept as there are endpoints, so that a
    /// replacement of all of them costs no box the whole list. A box that is further behind gets it.
    static constexpr std::size_t min_kept_removals = 256;

    Entries entries;
    /// The entries in the order of their last changes.
    std::set<std::pair<std::uint64_t, std::string>> by_change;
    /// Listed endpoints that are sent whatever revision is known.
    std::set<std::string> out_of_sequence;
    std::size_t removals { 0 };
    std::uint64_t last_revision { 0 };
    /// Changes before this revision are not known.
    std::uint64_t known_since { 0 };
};

}
