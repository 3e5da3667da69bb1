#include <LibTraffic/DemandMeter.h>

#include <algorithm>
#include <cmath>

namespace Traffic {

namespace {

/// Maximum share of a window for each tier, even if the tiers above have no demand.
constexpr std::array<double, tier_count> max_window_shares { 1.0, 0.9, 0.8 };

std::size_t index_of(TierId tier)
{
    return std::min<std::size_t>(tier.value(), tier_count - 1);
}

}

double DemandMeter::decayed(Meter const& meter, Instant now)
{
    return meter.seconds * std::exp(-Core::to_seconds(now - meter.updated) / time_constant_seconds);
}

void DemandMeter::add_arrival(TierId tier, double seconds_of_work, Instant now)
{
    auto& meter = this->meters[index_of(tier)];
    meter.seconds = decayed(meter, now) + seconds_of_work;
    meter.updated = now;
}

double DemandMeter::required_slots(TierId tier, Instant now) const
{
    return decayed(this->meters[index_of(tier)], now) / time_constant_seconds;
}

TierLimits limits_for_demand(DemandMeter const& demand, double total_window, int boxes, Instant now)
{
    TierLimits limits {};
    double reserved = 0;
    for (std::uint32_t tier = 0; tier < tier_count; ++tier) {
        // NOTE: Arrivals are about Poisson distributed, so one standard deviation is reserved above the mean.
        auto const reserve_with_margin = reserved + std::sqrt(reserved);
        auto const left = total_window <= 0 ? 0 : std::max(0.0, 1 - reserve_with_margin / total_window);
        limits[tier] = tier == 0 ? WindowLimit { 1, 1, false }
                                 : WindowLimit { std::min(left, max_window_shares[tier]), 0, true };
        reserved += demand.required_slots(TierId { tier }, now) * boxes;
    }
    return limits;
}

}
