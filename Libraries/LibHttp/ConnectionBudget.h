#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace Http {

using Core::Duration;
using Core::Instant;

/// What a connection does, as far as this decides whether it may be closed for the sake of others.
enum class ConnectionState {
    /// Nothing has arrived since it was opened.
    Silent,
    /// Its last request was answered, and nothing has arrived since.
    Idle,
    ReadingHead,
    ReadingBody,
    /// Its request is complete and may be running, so it is not closed for others.
    Serving,
    /// Its client takes the answer more slowly than it comes.
    Delivering,
    /// Its request was refused, and the server only waits until the client has read that.
    Refused,
};
constexpr std::size_t connection_states = 7;

/// Memory for the connections of a process.
struct MemoryLimits {
    /// For all connections together: heads, bodies by the capacity of their buffers, parsed forms, answers, and bytes
    /// that the kernel holds unread.
    std::size_t all_bytes { 0 };
    /// The part of it that only small requests may use.
    std::size_t reserved_bytes { 0 };
    /// A request is small if its connection takes no more than this.
    std::size_t small_request_bytes { 0 };

    bool operator==(MemoryLimits const&) const = default;
};

/// How a connection gives way to others.
enum class Eviction {
    /// The request that it sends is refused, and what has arrived of it is released at once.
    RefuseRequest,
    /// It is closed at once.
    CloseConnection,
};

class BudgetedConnection;

/// Connections that share a limit on their number, such as those at one port.
class ConnectionGroup {
public:
    explicit ConnectionGroup(std::size_t max_connections)
        : limit(max_connections)
    {
    }
    ConnectionGroup(ConnectionGroup const&) = delete;
    ConnectionGroup& operator=(ConnectionGroup const&) = delete;

    void set_max_connections(std::size_t max_connections) { this->limit = max_connections; }
    [[nodiscard]] std::size_t max_connections() const { return this->limit; }
    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const { return this->open; }

private:
    friend class ConnectionBudget;
    friend class BudgetedConnection;
    using Members = std::list<BudgetedConnection*>;

    std::size_t limit;
    std::size_t open { 0 };
    /// By state; in each, the one that entered the state first is in front.
    Members members[connection_states];
};

/// How often a budget refused or closed connections.
struct BudgetCounts {
    /// Connections closed because another one needed their place or their memory.
    std::size_t evicted { 0 };
    /// Requests refused because there was no memory for them.
    std::size_t refused { 0 };

    bool operator==(BudgetCounts const&) const = default;
};

/// Accounts for the memory of all connections of a process and for the number of connections in each group, and decides
/// which connection is refused or closed first. Without I/O; only for one thread.
///
/// Clients that hold many connections or large bodies without completing their requests must not keep others from being
/// served. So a connection whose request is incomplete gives way to others, the one that has made the least progress
/// first, while complete requests are left alone, and a part of the memory is kept for small requests.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
public:
    explicit ConnectionBudget(MemoryLimits limits)
        : limits(limits)
    {
    }
    ConnectionBudget(ConnectionBudget const&) = delete;
    ConnectionBudget& operator=(ConnectionBudget const&) = delete;

    void set_limits(MemoryLimits changed) { this->limits = changed; }
    [[nodiscard]] MemoryLimits const& memory_limits() const { return this->limits; }
    /// Memory that is accounted for elsewhere, such as answers that are held for slow clients.
    void set_other_memory(std::function<std::size_t()> bytes) { this->other_bytes = std::move(bytes); }

    /// A further group of connections, which lives as long as the budget.
    [[nodiscard]] ConnectionGroup& add_group(std::size_t max_connections)
    {
        return this->groups.emplace_back(max_connections);
    }

    /// Accounts for a new connection. Closes another one of the group if the group is full; returns null if none of
    /// them may be closed.
    [[nodiscard]] std::unique_ptr<BudgetedConnection> try_open(ConnectionGroup& group, Instant now);

    /// Bytes in use, with those that are accounted for elsewhere.
    [[nodiscard]] std::size_t used_bytes() const { return this->used + (this->other_bytes ? this->other_bytes() : 0); }
    [[nodiscard]] BudgetCounts const& counts() const { return this->events; }
    /// Closes connections until the limit is kept again, after the unread bytes of connections were updated: slow
    /// senders of bodies first, then those with the most unread bytes.
    void enforce_limit(Instant now);

    /// Closes the connection whose client takes its answer most slowly. Returns false if no client is slow.
    bool close_slowest_reader(Instant now);

    /// A client that sends a body or takes an answer more slowly than this gives way to others.
    static constexpr double min_bytes_per_second = 64 * 1024;
    /// Length of the intervals in which the rate of a sender is determined. A connection that takes longer than this
    /// for its head gives way to others when connections are short.
    static constexpr Duration progress_interval { std::chrono::seconds(1) };
    /// What an open connection takes without any request.
    static constexpr std::size_t connection_bytes = 4 * 1024;

private:
    friend class BudgetedConnection;

    /// Makes room for that many further bytes of a connection; false if that is not possible.
    [[nodiscard]] bool make_room(BudgetedConnection const& connection, std::size_t wanted, Instant now);
    /// The connections whose requests may be refused for `beneficiary`, the one with the least progress first.
    [[nodiscard]] std::vector<BudgetedConnection*> slow_senders(
        BudgetedConnection const* beneficiary, bool is_small, Instant now) const;
    [[nodiscard]] static BudgetedConnection* connection_to_replace(ConnectionGroup const& group, Instant now);
    /// The slower of the two; a connection that is not slow at all is never returned.
    [[nodiscard]] static BudgetedConnection* slower_of(BudgetedConnection* one, BudgetedConnection* other, Instant now);
    /// The connection of the group that makes the least progress in this state; null if none is slow.
    [[nodiscard]] static BudgetedConnection* slowest_in(
        ConnectionGroup const& group, ConnectionState state, Instant now);
    void evict(BudgetedConnection& connection, Eviction how, Instant now);

    MemoryLimits limits;
    std::list<ConnectionGroup> groups;
    std::function<std::size_t()> other_bytes;
    std::size_t used { 0 };
    BudgetCounts events;
    /// All connections that read a body.
    std::list<BudgetedConnection*> body_readers;
    /// All connections with unread bytes in the kernel.
    std::list<BudgetedConnection*> unread_connections;
};

/// One connection in a budget. Gives back what it uses when it is destroyed.
class BudgetedConnection {
public:
    BudgetedConnection(std::shared_ptr<ConnectionBudget> budget, ConnectionGroup& group, Instant now);
    ~BudgetedConnection();
    BudgetedConnection(BudgetedConnection const&) = delete;
    BudgetedConnection& operator=(BudgetedConnection const&) = delete;

    /// `evict` is called when the connection has to give way. It must release what the connection holds at once.
    void set_on_evicted(std::function<void(Eviction)> evict) { this->on_evicted = std::move(evict); }
    void set_state(ConnectionState state, Instant now);
    [[nodiscard]] ConnectionState state() const { return this->current_state; }
    /// Accounts for this many bytes in place of those so far. Returns false, and changes nothing, if there is no room.
    /// Fewer bytes always fit.
    [[nodiscard]] bool try_resize(std::size_t bytes, Instant now);
    void shrink(std::size_t bytes);
    /// Bytes of the request have arrived, or the client has taken bytes of the answer.
    void note_progress(std::size_t bytes, Instant now);
    /// Bytes that the kernel holds for the connection.
    void set_unread(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return this->held; }

private:
    friend class ConnectionBudget;

    /// Bytes per second, in the current interval or the one before it. Infinite until the first interval is over.
    [[nodiscard]] double progress_rate(Instant now) const;
    void enter_lists();
    void leave_lists();
    void release_all();
    void set_held(std::size_t bytes);

    std::shared_ptr<ConnectionBudget> budget;
    ConnectionGroup& group;
    ConnectionState current_state { ConnectionState::Silent };
    Instant in_state_since;
    std::function<void(Eviction)> on_evicted;
    std::size_t held { 0 };
    std::size_t unread { 0 };
    bool is_closed { false };
    Instant interval_begin;
    Instant last_progress;
    std::size_t interval_bytes { 0 };
    std::optional<double> last_rate;
    ConnectionGroup::Members::iterator group_place;
    std::optional<std::list<BudgetedConnection*>::iterator> reader_place;
    std::optional<std::list<BudgetedConnection*>::iterator> unread_place;
};

}
