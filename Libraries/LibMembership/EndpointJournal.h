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
class EndpointJournal {
public:
    void put(Routing::EndpointRecord const& record);
    /// False if the endpoint was not listed.
    bool remove(std::string const& incarnation);
    /// Replaces the whole list.
    void replace_all(std::vector<Routing::EndpointRecord> const& records);

    /// Null for an endpoint that is not listed.
    [[nodiscard]] Routing::EndpointRecord const* find(std::string const& incarnation) const;
    /// The changes since `revision`; the whole list if these are no longer known.
    [[nodiscard]] EndpointChanges changes_since(std::uint64_t revision) const;
    [[nodiscard]] std::uint64_t revision() const { return this->last_revision; }

private:
    struct Entry {
        std::optional<Routing::EndpointRecord> record;
        std::uint64_t changed_at { 0 };
    };

    void discard_old_removals();

    /// Number of removals that are kept. A box that is further behind gets the whole list.
    static constexpr std::size_t max_removals = 256;

    std::map<std::string, Entry> entries;
    std::size_t removals { 0 };
    std::uint64_t last_revision { 0 };
    /// Changes up to this revision may have been discarded.
    std::uint64_t discarded_up_to { 0 };
};

}
