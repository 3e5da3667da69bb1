#pragma once

#include <LibTraffic/EndpointView.h>

#include <array>

namespace Traffic {

inline constexpr std::size_t tier_count = 3;

/// How many slots each tier asks for, from what arrives at this box: seconds of work a second, over a moving window.
class DemandMeter {
public:
    void add_arrival(TierId tier, double seconds_of_work, Instant now);
    /// Slots that the tier keeps busy at this rate.
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

/// How far each tier may fill a window.
using TierLimits = std::array<WindowLimit, tier_count>;

/// Leaves free for each tier what the tiers above it ask for, as `boxes` boxes with alike demand see it.
[[nodiscard]] TierLimits limits_for_demand(DemandMeter const& demand, double total_window, int boxes, Instant now);

}
