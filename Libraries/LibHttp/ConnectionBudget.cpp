#include <LibHttp/ConnectionBudget.h>

#include <algorithm>
#include <limits>

namespace Http {

std::unique_ptr<BudgetedConnection> ConnectionBudget::try_open(ConnectionGroup& group, Instant now)
{
    if (group.open >= group.limit) {
        auto* const replaced = connection_to_replace(group, now);
        if (replaced == nullptr)
            return nullptr;
        this->evict(*replaced, Eviction::CloseConnection, now);
    }
    return std::make_unique<BudgetedConnection>(this->shared_from_this(), group, now);
}

BudgetedConnection* ConnectionBudget::connection_to_replace(ConnectionGroup const& group, Instant now)
{
    auto const longest_in = [&](ConnectionState state, Duration at_least) -> BudgetedConnection* {
        auto const& members = group.members[static_cast<std::size_t>(state)];
        if (members.empty() || now - members.front()->in_state_since < at_least)
            return nullptr;
        return members.front();
    };
    if (auto* const refused = longest_in(ConnectionState::Refused, Duration { 0 }))
        return refused;
    if (auto* const silent = longest_in(ConnectionState::Silent, Duration { 0 }))
        return silent;
    if (auto* const reading = longest_in(ConnectionState::ReadingHead, progress_interval))
        return reading;
    if (auto* const idle = longest_in(ConnectionState::Idle, Duration { 0 }))
        return idle;
    return slower_of(
        slowest_in(group, ConnectionState::ReadingBody, now), slowest_in(group, ConnectionState::Delivering, now), now);
}

BudgetedConnection* ConnectionBudget::slower_of(BudgetedConnection* one, BudgetedConnection* other, Instant now)
{
    if (other == nullptr || other->progress_rate(now) >= min_bytes_per_second)
        return one;
    return one == nullptr || other->progress_rate(now) < one->progress_rate(now) ? other : one;
}

BudgetedConnection* ConnectionBudget::slowest_in(ConnectionGroup const& group, ConnectionState state, Instant now)
{
    BudgetedConnection* slowest = nullptr;
    for (auto* const member : group.members[static_cast<std::size_t>(state)])
        slowest = slower_of(slowest, member, now);
    return slowest;
}

bool ConnectionBudget::close_slowest_reader(Instant now)
{
    BudgetedConnection* slowest = nullptr;
    for (auto const& group : this->groups)
        slowest = slower_of(slowest, slowest_in(group, ConnectionState::Delivering, now), now);
    if (slowest == nullptr)
        return false;
    this->evict(*slowest, Eviction::CloseConnection, now);
    return true;
}

std::vector<BudgetedConnection*> ConnectionBudget::slow_senders(
    BudgetedConnection const* beneficiary, bool is_small, Instant now) const
{
    std::vector<BudgetedConnection*> senders;
    for (auto* const reader : this->body_readers) {
        bool const is_slow = reader->progress_rate(now) < min_bytes_per_second;
        bool const is_large = reader->held > this->limits.small_request_bytes;
        if (reader != beneficiary && (is_slow || (is_small && is_large)))
            senders.push_back(reader);
    }
    std::ranges::stable_sort(
        senders, {}, [now](BudgetedConnection const* sender) { return sender->progress_rate(now); });
    return senders;
}

bool ConnectionBudget::make_room(BudgetedConnection const& connection, std::size_t wanted, Instant now)
{
    bool const is_small = connection.held + wanted <= this->limits.small_request_bytes;
    auto const reserved = is_small ? 0 : std::min(this->limits.all_bytes, this->limits.reserved_bytes);
    auto const usable = this->limits.all_bytes - reserved;
    auto const needed = this->used_bytes() + wanted;
    if (needed <= usable)
        return true;
    std::size_t released = 0;
    std::vector<BudgetedConnection*> refused;
    for (auto* const sender : this->slow_senders(&connection, is_small, now)) {
        if (needed - released <= usable)
            break;
        released += sender->held - connection_bytes;
        refused.push_back(sender);
    }
    // NOTE: If all of them together don't leave enough room, none of them is refused in vain.
    if (needed - released > usable) {
        ++this->events.refused;
        return false;
    }
    for (auto* const sender : refused)
        this->evict(*sender, Eviction::RefuseRequest, now);
    return true;
}

void ConnectionBudget::enforce_limit(Instant now)
{
    for (auto* const sender : this->slow_senders(nullptr, false, now)) {
        if (this->used_bytes() <= this->limits.all_bytes)
            return;
        this->evict(*sender, Eviction::RefuseRequest, now);
    }
    auto const by_unread = [](auto const* one, auto const* other) { return one->unread < other->unread; };
    while (this->used_bytes() > this->limits.all_bytes && !this->unread_connections.empty())
        this->evict(**std::ranges::max_element(this->unread_connections, by_unread), Eviction::CloseConnection, now);
}

void ConnectionBudget::evict(BudgetedConnection& connection, Eviction how, Instant now)
{
    ++this->events.evicted;
    if (how == Eviction::CloseConnection) {
        connection.release_all();
    } else {
        connection.shrink(0);
        connection.set_state(ConnectionState::Refused, now);
    }
    // NOTE: A copy, since the call may destroy the connection.
    if (auto const give_way = connection.on_evicted)
        give_way(how);
}

BudgetedConnection::BudgetedConnection(
    std::shared_ptr<ConnectionBudget> shared_budget, ConnectionGroup& group, Instant now)
    : budget(std::move(shared_budget))
    , group(group)
    , in_state_since(now)
    , interval_begin(now)
    , last_progress(now)
{
    ++this->group.open;
    this->set_held(ConnectionBudget::connection_bytes);
    this->enter_lists();
}

BudgetedConnection::~BudgetedConnection()
{
    this->release_all();
}

void BudgetedConnection::set_held(std::size_t bytes)
{
    this->budget->used += bytes - this->held;
    this->held = bytes;
}

void BudgetedConnection::release_all()
{
    if (this->is_closed)
        return;
    this->set_unread(0);
    this->set_held(0);
    this->leave_lists();
    --this->group.open;
    this->is_closed = true;
}

void BudgetedConnection::enter_lists()
{
    auto& members = this->group.members[static_cast<std::size_t>(this->current_state)];
    this->group_place = members.insert(members.end(), this);
    if (this->current_state == ConnectionState::ReadingBody)
        this->reader_place = this->budget->body_readers.insert(this->budget->body_readers.end(), this);
}

void BudgetedConnection::leave_lists()
{
    this->group.members[static_cast<std::size_t>(this->current_state)].erase(this->group_place);
    if (this->reader_place)
        this->budget->body_readers.erase(*this->reader_place);
    this->reader_place.reset();
}

void BudgetedConnection::set_state(ConnectionState state, Instant now)
{
    if (this->is_closed || state == this->current_state)
        return;
    this->leave_lists();
    this->current_state = state;
    this->in_state_since = now;
    this->interval_begin = now;
    this->last_progress = now;
    this->interval_bytes = 0;
    this->last_rate.reset();
    this->enter_lists();
}

bool BudgetedConnection::try_resize(std::size_t bytes, Instant now)
{
    if (this->is_closed || this->current_state == ConnectionState::Refused)
        return false;
    auto const wanted = bytes + ConnectionBudget::connection_bytes;
    if (wanted > this->held && !this->budget->make_room(*this, wanted - this->held, now))
        return false;
    this->set_held(wanted);
    return true;
}

void BudgetedConnection::shrink(std::size_t bytes)
{
    if (!this->is_closed)
        this->set_held(std::min(this->held, bytes + ConnectionBudget::connection_bytes));
}

void BudgetedConnection::note_progress(std::size_t bytes, Instant now)
{
    auto const elapsed = now - this->interval_begin;
    this->last_progress = now;
    this->interval_bytes += bytes;
    if (elapsed < ConnectionBudget::progress_interval)
        return;
    this->last_rate = static_cast<double>(this->interval_bytes) / Core::to_seconds(elapsed);
    this->interval_begin = now;
    this->interval_bytes = 0;
}

double BudgetedConnection::progress_rate(Instant now) const
{
    if (now - this->last_progress >= ConnectionBudget::progress_interval)
        return 0;
    return this->last_rate.value_or(std::numeric_limits<double>::infinity());
}

void BudgetedConnection::set_unread(std::size_t bytes)
{
    if (this->is_closed)
        return;
    this->budget->used += bytes - this->unread;
    this->unread = bytes;
    auto& with_unread = this->budget->unread_connections;
    if (bytes > 0 && !this->unread_place) {
        this->unread_place = with_unread.insert(with_unread.end(), this);
    } else if (bytes == 0 && this->unread_place) {
        with_unread.erase(*this->unread_place);
        this->unread_place.reset();
    }
}

}
