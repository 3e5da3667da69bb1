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

/// One life of an endpoint's process, from its start to its end.
struct EndpointInstance {
    std::string incarnation;
    /// Unix milliseconds of its start by its own clock; 0 if it doesn't say.
    std::uint64_t started_at { 0 };

    auto operator<=>(EndpointInstance const&) const = default;
};

/// What an endpoint says of itself.
struct EndpointRecord {
    /// The endpoint's id. One that starts again may come back under it.
    std::string incarnation;
    std::string service;
    SocketAddress address;
    std::string failure_domain;
    unsigned slots { 1 };
    bool draining { false };
    /// Unix milliseconds of its process's start by its own clock, which may be wrong: only tells lives apart, not which
    /// was first. 0 if it doesn't say.
    std::uint64_t started_at { 0 };
    /// Whether the platform may take it away at short notice.
    bool is_revocable { false };

    bool operator==(EndpointRecord const&) const = default;
};

[[nodiscard]] inline EndpointInstance instance_of(EndpointRecord const& record)
{
    return { record.incarnation, record.started_at };
}

/// One life of an endpoint as this box knows it. The id is never used again for another one.
struct KnownEndpoint {
    EndpointId id;
    EndpointRecord record;
    /// When its entry vanished just after a gap in what the store told; nothing while it is listed.
    std::optional<Instant> missing_since;
    /// An answer told that another endpoint has this address now.
    bool is_replaced { false };
    /// When an earlier entry under the same id went; nothing where none is remembered.
    std::optional<Instant> predecessor_removed_at {};

    bool operator==(KnownEndpoint const&) const = default;
};

/// The endpoints that keep themselves in the platform's store.
///
/// An endpoint that starts again holds nothing of before. So another life gets an id of its own here, and all that
/// hangs on the id ends with the old one: load, prompt memory, connections, what was said of its address. The order in
/// which the store tells of lives decides which is the newer one, since clocks of endpoints may go back; a life that
/// another one followed never comes back, however late somebody tells of it.
///
/// An entry may lapse while the store is away though its endpoint lives, and is back soon after the store is. So an
/// entry that vanishes just after such a gap is kept for a short time; at any other time it goes at once.
class EndpointDirectory {
public:
    /// True if the endpoint is new or its record changed. A record that doesn't tell its life is taken for one of the
    /// life that is known.
    bool put(EndpointRecord record);
    /// Whether another life of the endpoint is known to have followed this one.
    [[nodiscard]] bool is_earlier_instance(EndpointRecord const& record) const
    {
        return this->superseded.contains(instance_of(record));
    }
    void remove(std::string const& incarnation, Instant now);
    /// Takes a whole list in place of what was known.
    void replace_all(std::vector<EndpointRecord> const& records, Instant now);
    /// The store answered again after it could not be reached.
    void store_returned(Instant now) { this->returned_at = now; }
    void mark_replaced(EndpointId id);
    /// Forgets entries whose time has run out.
    void expire(Instant now);

    [[nodiscard]] KnownEndpoint const* find(EndpointId id) const;
    [[nodiscard]] KnownEndpoint const* find(std::string const& incarnation) const;
    /// Whether the endpoint may get new work.
    [[nodiscard]] bool is_usable(KnownEndpoint const& endpoint, Instant now) const;
    /// Ids of the endpoints of a service that may get new work, in the order of their incarnations.
    [[nodiscard]] std::vector<EndpointId> usable(std::string_view service, Instant now) const;
    [[nodiscard]] std::size_t size() const { return this->endpoints.size(); }
    /// What is kept of lives beyond the endpoints themselves.
    [[nodiscard]] std::size_t remembered_instances() const
    {
        return this->superseded.size() + this->newest_starts.size();
    }
    /// Ids that have another address since the last call: a process keeps its own, so these are of other processes.
    [[nodiscard]] std::vector<EndpointId> take_moved();
    /// Ids that are gone since the last call, so that connections to them can be closed once they are idle.
    [[nodiscard]] std::vector<EndpointId> take_removed();

private:
    /// How long after the store's return an entry that is missing may still come back. The platform's pages say two
    /// seconds.
    static constexpr Duration return_grace { std::chrono::seconds(2) };

    /// Lives that are remembered beyond their end, and endpoints beyond those listed. Some 100 bytes each; each is a
    /// start of an endpoint, and late word of a life comes within seconds.
    static constexpr std::size_t max_remembered = 1024;

    using Endpoints = std::map<std::string, KnownEndpoint>;
    void erase(Endpoints::iterator position);
    /// The same of an entry that went, at that moment.
    void erase_removed(Endpoints::iterator position, Instant now);
    /// Takes note that this life is the endpoint's newest.
    void remember_instance(EndpointRecord const& record);

    Endpoints endpoints;
    std::unordered_map<EndpointId, std::string> incarnations;
    std::vector<EndpointId> removed;
    std::vector<EndpointId> moved;
    /// The start of the newest life of each endpoint that tells one, also of some that are gone.
    std::map<std::string, std::uint64_t> newest_starts;
    std::set<EndpointInstance> superseded;
    /// When entries went that are not listed any more.
    std::map<std::string, Instant> removal_times;
    std::optional<Instant> returned_at;
    std::uint32_t next_id { 1 };
};

}
