// Prints a table of the requests that an endpoint with a rate limit gets from boxes with different strategies.

#include <LibRouting/RateLimitPlay.h>
#include <cstdio>

namespace {

using namespace RateLimitPlay;

struct NamedStrategy {
    char const* name;
    Strategy strategy;
};

void print_row(NamedStrategy const& named, std::size_t boxes, double limit, double demand)
{
    constexpr std::uint64_t seeds = 5;
    std::size_t most = 0;
    double used = 0;
    double used_after_loss = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto const result = Simulation({ boxes, limit, demand, named.strategy, seed }).run();
        most = std::max(most, result.most_in_window);
        used += result.used / seeds;
        used_after_loss += result.used_after_loss / seeds;
    }
    std::printf("%-14s %5zu %6.1f %7.1f %6zu %8zu %7.2f %10.2f\n", named.name, boxes, limit, demand, most,
        allowed(limit), used, used_after_loss);
}

}

int main()
{
    std::printf("strategy       boxes limit/s demand/s  most  allowed   used  used-after\n");
    for (std::size_t const boxes : { 6, 88, 300 })
        for (double const limit : { 0.2, 1.0, 20.0 })
            for (double const demand : { 1.0, 5.0 })
                for (auto const& strategy : { NamedStrategy { "ignored limit", IgnoredLimit {} },
                         NamedStrategy { "equal shares", EqualShares {} }, NamedStrategy { "few boxes", FewBoxes {} },
                         NamedStrategy { "slot schedule", SlotSchedule {} } })
                    print_row(strategy, boxes, limit, demand);
    return 0;
}
