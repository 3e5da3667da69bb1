#include <LibRouting/LimitShare.h>

#include <algorithm>

namespace Routing {

bool LimitShare::may_send(SharedLimit const& limit, SendPriority rank)
{
    this->enter_slot(limit);
    if (rank == SendPriority::High) {
        ++this->high_requests;
        return this->remaining > 0;
    }
    bool const is_late = RateSchedule(limit.per_second).is_second_half_of_slot(limit.now);
    return this->remaining > (is_late ? 0 : this->previous_high_requests);
}

void LimitShare::count_send(SharedLimit const& limit)
{
    this->enter_slot(limit);
    this->remaining -= std::min(this->remaining, 1U);
}

void LimitShare::enter_slot(SharedLimit const& limit)
{
    RateSchedule const schedule(limit.per_second);
    auto const current = schedule.slot_at(limit.now);
    if (current == this->slot)
        return;
    this->previous_high_requests = current == this->slot + 1 ? this->high_requests : 0;
    this->high_requests = 0;
    this->slot = current;
    this->remaining = schedule.allotment(current, limit.endpoint, limit.boxes);
}

}
