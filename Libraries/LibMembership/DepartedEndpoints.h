#pragma once

#include <LibRouting/EndpointDirectory.h>

namespace Membership {

using Core::Duration;
using Core::Instant;

/// Endpoints that said that they leave, or whose entries went, so that an older copy of the store's list doesn't bring
/// them back: nothing tells a box that reads such a copy that an entry in it is out of date.
class DepartedEndpoints {
public:
    /// The endpoint leaves, or its entry went.
    void add(Routing::EndpointLife const& life, Instant now);
    /// It wrote its entry again.
    void remove(Routing::EndpointLife const& life) { this->departures.erase(life); }
    /// Takes the endpoints that left out of a list that may be older than what is known.
    void remove_from(std::vector<Routing::EndpointRecord>& records, Instant now) const;

private:
    /// Older than any copy from which the store comes back, and than any server that serves on after its entry went.
    static constexpr Duration retention { std::chrono::seconds(60) };
    /// Some 60 bytes each.
    static constexpr std::size_t max_entries = 1024;

    std::map<Routing::EndpointLife, Instant> departures;
};

}
