#pragma once

#include <LibRouting/EndpointDirectory.h>

#include <algorithm>

namespace Membership {

using Core::Duration;
using Core::Instant;

/// The store may carry out a write whose answer was lost up to six seconds after it was sent. A record that it wrote
/// for an endpoint that has left lapses after three missed heartbeats, and a box reads of that within a second.
constexpr Duration max_late_write_effect { std::chrono::seconds(12) };

/// How it became known that an endpoint is leaving.
enum class Departure {
    /// Its entry said that it drains, which a process never takes back.
    Announced,
    /// Its entry was removed while it still sent heartbeats.
    Unlisted,
    /// Its entry was removed after its heartbeats had stopped, or it is not known whether they had. The endpoint may
    /// only have lost the store.
    Lapsed,
};

/// Endpoints that are draining or whose entries were removed, so that neither an older copy of the store's list nor a
/// write that the store carried out late brings them back.
class DepartedEndpoints {
public:
    /// The endpoint is draining, or its entry was removed.
    void add(Routing::EndpointInstance const& life, Instant now, Departure departure = Departure::Lapsed);
    /// The endpoint wrote its entry again.
    void remove(Routing::EndpointInstance const& life) { this->departures.erase(life); }
    /// Removes the departed endpoints from a list that may be out of date.
    void remove_from(std::vector<Routing::EndpointRecord>& records, Instant now) const;
    /// How the endpoint departed, if a record that lists it as ready must be an earlier one that the store wrote late.
    [[nodiscard]] std::optional<Departure> contradicted_by(Routing::EndpointRecord const& record, Instant now) const;
    /// The store was restored from a copy: endpoints that write their entries from now on are running.
    void store_restored();
    /// Sets how many endpoints are listed, since as many may depart within a short time.
    void set_listed(std::size_t count) { this->max_entries = std::max(min_capacity, count); }

private:
    struct Entry {
        Instant at;
        Departure departure { Departure::Lapsed };
    };

    /// Longer than the age of any copy from which the store is restored, and than any server keeps serving after its
    /// entry was removed.
    static constexpr Duration retention { std::chrono::seconds(60) };
    /// Some 60 bytes each.
    static constexpr std::size_t min_capacity = 1024;

    std::map<Routing::EndpointInstance, Entry> departures;
    std::size_t max_entries { min_capacity };
};

}
