#pragma once

#include <LibRouting/EndpointDirectory.h>

namespace Membership {

using Core::Duration;
using Core::Instant;

/// Endpoints that are draining or whose entries were removed, so that an older copy of the store's list does not bring
/// them back: a box that reads such a copy can't see that an entry is out of date.
class DepartedEndpoints {
public:
    /// The endpoint is draining, or its entry was removed.
    void add(Routing::EndpointInstance const& life, Instant now);
    /// The endpoint wrote its entry again.
    void remove(Routing::EndpointInstance const& life) { this->departures.erase(life); }
    /// Removes the departed endpoints from a list that may be out of date.
    void remove_from(std::vector<Routing::EndpointRecord>& records, Instant now) const;

private:
    /// Longer than the age of any copy from which the store is restored, and than any server keeps serving after its
    /// entry was removed.
    static constexpr Duration retention { std::chrono::seconds(60) };
    /// Some 60 bytes each.
    static constexpr std::size_t max_entries = 1024;

    std::map<Routing::EndpointInstance, Instant> departures;
};

}
