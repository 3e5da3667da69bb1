#include <LibRouting/SlotWait.h>

#include <algorithm>

namespace Routing {

void SlotTimeEstimate::add(Core::Duration occupied)
{
    auto const milliseconds = std::clamp(Core::to_milliseconds(occupied), 0.0, max_milliseconds);
    this->average_milliseconds += (milliseconds - this->average_milliseconds) * newest_weight;
    this->samples = std::min(this->samples + 1, static_cast<unsigned>(1 / newest_weight));
    this->learnt_milliseconds += (milliseconds - this->learnt_milliseconds) / this->samples;
}

std::optional<Core::Duration> SlotTimeEstimate::learnt() const
{
    if (this->samples == 0)
        return {};
    return Core::from_seconds(std::max(this->learnt_milliseconds, 1.0) / 1000);
}

SlotForecast forecast_slot(double requests, unsigned slots, SlotTimeEstimate const& slot_time, SlotRank rank)
{
    auto const usable_slots = std::max(1U, slots);
    auto const excess = requests + 1 - usable_slots;
    if (excess <= 0)
        return {};
    // NOTE: With n slots, one becomes free every n-th part of the average time.
    auto const queue = excess / usable_slots * slot_time.milliseconds();
    return { rank == SlotRank::LeastUrgent ? queue : 0, queue };
}

}
