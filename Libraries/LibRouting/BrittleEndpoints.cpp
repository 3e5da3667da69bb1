#include <LibRouting/BrittleEndpoints.h>

#include <algorithm>
#include <cmath>

namespace Routing {

void BrittleEndpoints::apply_answer(std::string const& service, std::optional<double> max_rejections, Instant now)
{
    if (max_rejections)
        this->note_service(service, *max_rejections, now);
    else
        this->services.erase(service);
}

void BrittleEndpoints::note_service(std::string const& service, double max_rejections, Instant now)
{
    auto const known = this->services.try_emplace(service, BrittleService { max_rejections, now }).first;
    known->second.max_rejections = max_rejections;
}

bool BrittleEndpoints::rejected(EndpointId id, double max_rejections, Instant at)
{
    auto& entry = this->entries[id];
    entry.max_rejections = max_rejections;
    auto& rejections = entry.rejections;
    rejections.insert(std::ranges::upper_bound(rejections, at), at);
    while (rejections.back() - rejections.front() >= rejection_window)
        rejections.pop_front();
    bool const is_endangered = static_cast<double>(rejections.size()) > max_rejections * endangering_share;
    if (is_endangered)
        entry.endangered_at = rejections.back();
    return is_endangered;
}

void BrittleEndpoints::count_own_rejection(EndpointId id, Instant at)
{
    this->entries[id].own_rejected_at = at;
}

bool BrittleEndpoints::is_brittle(std::string const& service) const
{
    return this->services.contains(service);
}

double BrittleEndpoints::limit_of(
    EndpointId id, std::string const& service, EndpointRoom const& room, Instant now) const
{
    auto const by_rejections = std::max(min_limit, this->max_rejections_of(service) * most_rejections_share);
    auto const by_room = (room.slots - divided_slots(room.slots)) / Core::to_seconds(room.slot_time) * 2;
    auto const free_slots = std::max(0.0, room.slots * usable_share - room.running);
    auto const most = std::min(by_rejections, by_room) + free_slots / Core::to_seconds(room.slot_time);
    return std::ldexp(most, this->doublings_since_danger(id, now) - max_doublings);
}

bool BrittleEndpoints::has_room_for_all(
    EndpointId id, std::string const& service, EndpointRoom const& room, Instant now) const
{
    auto const of_service = this->services.find(service);
    if (of_service != this->services.end() && now - of_service->second.since < calm_time)
        return false;
    auto const known = this->entries.find(id);
    bool const was_endangered
        = known != this->entries.end() && known->second.endangered_at && now - *known->second.endangered_at < calm_time;
    return !was_endangered && room.running <= room.slots * roomy_share;
}

int BrittleEndpoints::doublings_since_danger(EndpointId id, Instant now) const
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end() || !known->second.endangered_at)
        return max_doublings;
    auto const doublings = static_cast<int>((now - *known->second.endangered_at) / doubling_time);
    return std::clamp(doublings, 0, max_doublings);
}

unsigned BrittleEndpoints::divided_slots(unsigned slots)
{
    return static_cast<unsigned>(std::floor(slots * divided_share));
}

double BrittleEndpoints::max_rejections_of(std::string const& service) const
{
    auto const known = this->services.find(service);
    return known == this->services.end() ? 0 : known->second.max_rejections;
}

bool BrittleEndpoints::is_paused(EndpointId id, Instant now) const
{
    auto const known = this->entries.find(id);
    if (known == this->entries.end())
        return false;
    auto const& rejections = known->second.rejections;
    auto const recent = rejections.end() - std::ranges::upper_bound(rejections, now - rejection_window);
    return static_cast<double>(recent) >= std::max(1.0, known->second.max_rejections * pausing_share);
}

bool BrittleEndpoints::has_own_slot(EndpointId id, EndpointRoom const& room, BoxGroup const& boxes, Instant now)
{
    auto& entry = this->entries[id];
    // NOTE: The slot of a rejected request was in use by another box, which may go on with its request.
    if (entry.own_rejected_at && now - *entry.own_rejected_at < rejection_window)
        return false;
    if (!entry.own_slots)
        entry.own_slots = own_slots_of(room, boxes);
    return room.own_running < *entry.own_slots;
}

unsigned BrittleEndpoints::own_slots_of(EndpointRoom const& room, BoxGroup const& boxes)
{
    constexpr std::uint64_t only_turn = 0;
    auto const divided = divided_slots(room.slots);
    auto const rank = boxes.rank(endpoint_turn(room.incarnation, only_turn));
    return static_cast<unsigned>(divided / boxes.size() + (rank < divided % boxes.size() ? 1 : 0));
}

void BrittleEndpoints::forget_own_slots()
{
    for (auto& [id, entry] : this->entries)
        entry.own_slots.reset();
}

bool BrittleEndpoints::may_send(EndpointId id, SharedLimit const& limit, SendPriority rank)
{
    return this->entries[id].share.may_send(limit, rank);
}

void BrittleEndpoints::count_send(EndpointId id, SharedLimit const& limit)
{
    this->entries[id].share.count_send(limit);
}

}
