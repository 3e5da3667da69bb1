#pragma once

#include <LibCore/Ids.h>
#include <LibRouting/Configuration.h>

#include <map>
#include <set>
#include <unordered_map>

namespace Routing {

using Core::EndpointId;

struct SocketAddress {
    std::string host;
    std::uint16_t port { 0 };

    auto operator<=>(SocketAddress const&) const = default;
};

/// One instance of an endpoint: its process from start to end.
struct EndpointInstance {
    std::string incarnation;
    /// Start time by the endpoint's own clock, in Unix milliseconds; 0 if not reported.
    std::uint64_t started_at { 0 };

    auto operator<=>(EndpointInstance const&) const = default;
};

/// An endpoint's own entry in the store.
struct EndpointRecord {
    /// The endpoint's id. A restarted endpoint may keep it.
    std::string incarnation;
    std::string service;
    SocketAddress address;
    std::string failure_domain;
    unsigned slots { 1 };
    bool draining { false };
    /// Start time of the process in Unix milliseconds, 0 if not reported. The endpoint's clock may be wrong, so the
    /// start time only distinguishes instances and does not order them.
    std::uint64_t started_at { 0 };
    /// Whether the platform may remove the endpoint at short notice.
    bool is_revocable { false };
    /// How much longer the endpoint stays cold, counted from when the entry was read; 0 if it is not cold.
    Duration cold_left { 0 };
    /// Version of the endpoint's software, whose order means nothing; empty if unknown.
    std::string version {};

    bool operator==(EndpointRecord const&) const = default;
};

[[nodiscard]] inline EndpointInstance instance_of(EndpointRecord const& record)
{
    return { record.incarnation, record.started_at };
}

/// An endpoint instance that is known to this box. Its id is never reused for another instance.
struct KnownEndpoint {
    EndpointId id;
    EndpointRecord record;
    /// When the entry vanished shortly after the store had been unreachable; unset while the endpoint is listed.
    std::optional<Instant> missing_since;
    /// An answer showed that another endpoint has this address now.
    bool is_replaced { false };
    /// When an earlier entry under the same incarnation was removed; unset if none is remembered.
    std::optional<Instant> predecessor_removed_at {};

    bool operator==(KnownEndpoint const&) const = default;
};

/// The endpoints that are registered in the platform's store.
///
/// A restarted endpoint has lost all its state. So each instance gets its own id here, and everything stored by id ends
/// with the old instance: load, prompt cache estimate, connections, and reports about its address. The newer instance
/// is the one that the store listed later, since endpoint clocks may go back. An instance that was superseded is never
/// restored by a late report.
///
/// An entry may lapse while the store is unavailable though the endpoint is running, and is registered again soon after
/// the store returns. So an entry that vanishes shortly after such an outage is kept for a short time; at other times
/// it is removed at once.
class EndpointDirectory {
public:
    /// Returns whether the endpoint is new or its record changed. A record without a start time belongs to the known
    /// instance.
    bool put(EndpointRecord record);
    /// Whether a later instance of the endpoint is known.
    [[nodiscard]] bool is_earlier_instance(EndpointRecord const& record) const
    {
        return this->superseded.contains(instance_of(record));
    }
    void remove(std::string const& incarnation, Instant now);
    /// Replaces all known endpoints by a complete list.
    void replace_all(std::vector<EndpointRecord> const& records, Instant now);
    /// The store answered again after an outage.
    void store_returned(Instant now) { this->returned_at = now; }
    void mark_replaced(EndpointId id);
    /// Removes missing entries that were kept for a grace period that is over.
    void expire(Instant now);

    [[nodiscard]] KnownEndpoint const* find(EndpointId id) const;
    [[nodiscard]] KnownEndpoint const* find(std::string const& incarnation) const;
    /// Whether the endpoint may get new requests.
    [[nodiscard]] bool is_usable(KnownEndpoint const& endpoint, Instant now) const;
    /// Endpoints of a service that may get new requests, ordered by incarnation.
    [[nodiscard]] std::vector<KnownEndpoint const*> usable(std::string_view service, Instant now) const;
    /// All known endpoints by incarnation.
    [[nodiscard]] std::map<std::string, KnownEndpoint> const& all() const { return this->endpoints; }
    [[nodiscard]] std::size_t size() const { return this->endpoints.size(); }
    /// Number of remembered instances, for tests of the memory limit.
    [[nodiscard]] std::size_t remembered_instances() const
    {
        return this->superseded.size() + this->newest_starts.size();
    }
    /// Endpoints whose address changed since the last call. A process keeps its address, so the new address belongs to
    /// another process.
    [[nodiscard]] std::vector<EndpointId> take_moved();
    /// Endpoints that were removed since the last call, so that their idle connections can be closed.
    [[nodiscard]] std::vector<EndpointId> take_removed();

private:
    /// How long after the store's return a missing entry may be registered again, by the platform's documentation.
    static constexpr Duration return_grace { std::chrono::seconds(2) };

    /// Number of ended instances and of unlisted endpoints that are remembered, at some 100 bytes each. Reports of
    /// ended instances are only seconds late, so this covers more restarts than can occur meanwhile.
    static constexpr std::size_t max_remembered = 1024;

    using Endpoints = std::map<std::string, KnownEndpoint>;
    void erase(Endpoints::iterator position);
    /// Like erase(), and remembers the time of the removal.
    void erase_removed(Endpoints::iterator position, Instant now);
    /// Records the instance as the endpoint's newest one.
    void remember_instance(EndpointRecord const& record);

    Endpoints endpoints;
    std::unordered_map<EndpointId, std::string> incarnations;
    std::vector<EndpointId> removed;
    std::vector<EndpointId> moved;
    /// Start time of the newest instance by incarnation, including some endpoints that are gone.
    std::map<std::string, std::uint64_t> newest_starts;
    std::set<EndpointInstance> superseded;
    /// When unlisted entries were removed.
    std::map<std::string, Instant> removal_times;
    std::optional<Instant> returned_at;
    std::uint32_t next_id { 1 };
};

}
