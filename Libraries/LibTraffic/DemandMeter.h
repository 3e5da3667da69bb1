#pragma once

#include <LibTraffic/EndpointView.h>

#include <array>

namespace Traffic {

inline constexpr std::size_t tier_count = 3;

/// Demand of each tier in slots: this box's arriving work in seconds per second, exponentially averaged.
class DemandMeter {
public:
    void add_arrival(TierId tier, double seconds_of_work, Instant now);
    /// Number of slots that the current arrival rate of the tier keeps busy.
    [[nodiscard]] double required_slots(TierId tier, Instant now) const;

private:
    struct Meter {
        double seconds { 0 };
        Instant updated;
    };
    static constexpr double time_constant_seconds = 2.0;

    [[nodiscard]] static double decayed(Meter const& meter, Instant now);

    std::array<Meter, tier_count> meters;
};

/// Limit on the use of a window by each tier.
using TierLimits = std::array<WindowLimit, tier_count>;

/// Limits each tier so that the demand of the tiers above it fits, assuming the same demand on all `boxes` boxes.
[[nodiscard]] TierLimits limits_for_demand(DemandMeter const& demand, double total_window, int boxes, Instant now);

}
