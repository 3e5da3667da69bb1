#pragma once

#include <LibMembership/BoxDirectory.h>

namespace Membership {

/// An endpoint that came, changed or is no longer listed.
struct EndpointChange {
    std::string incarnation;
    /// Nothing when it is no longer listed.
    std::optional<Routing::EndpointRecord> record;

    bool operator==(EndpointChange const&) const = default;
};

/// What changed in the list of endpoints since an earlier revision, or all of it.
struct EndpointChanges {
    std::uint64_t revision { 0 };
    bool is_whole { false };
    std::vector<EndpointChange> changes;

    bool operator==(EndpointChanges const&) const = default;
};

/// The list of endpoints with the revision at which each last changed, so that another box can be told what is new to
/// it. Heartbeats that change nothing else are no change.
class EndpointJournal {
public:
    void put(Routing::EndpointRecord const& record);
    /// False if it was not listed.
    bool remove(std::string const& incarnation);
    /// Takes a whole list in place of what was known.
    void replace_all(std::vector<Routing::EndpointRecord> const& records);

    /// Null for one that is not listed.
    [[nodiscard]] Routing::EndpointRecord const* find(std::string const& incarnation) const;
    /// What is new since `revision`; the whole list if that can't be told any more.
    [[nodiscard]] EndpointChanges changes_since(std::uint64_t revision) const;
    [[nodiscard]] std::uint64_t revision() const { return this->last_revision; }

private:
    struct Entry {
        std::optional<Routing::EndpointRecord> record;
        std::uint64_t changed_at { 0 };
    };

    void discard_old_removals();

    /// Removals that are remembered. An asker that is further behind is told the whole list.
    static constexpr std::size_t max_removals = 256;

    std::map<std::string, Entry> entries;
    std::size_t removals { 0 };
    std::uint64_t last_revision { 0 };
    /// Changes up to this revision may have been forgotten.
    std::uint64_t discarded_up_to { 0 };
};

}
