#include <TestMain.h>

#include "RateLimitFleet.h"

using namespace RateLimitFleets;

namespace {

constexpr int rounds = 14;
constexpr std::size_t groups = 3;

/// The boxes of one of three groups, which take turns with the round.
std::vector<std::string> group_of(LimitedFleet const& fleet, int round)
{
    std::vector<std::string> boxes;
    for (std::size_t number = static_cast<std::size_t>(round) % groups; number < fleet.boxes.size(); number += groups)
        boxes.push_back(fleet.boxes[number]);
    return boxes;
}

}

TEST_CASE("85 boxes together keep to the rate limits that endpoints name while they hear late of each other")
{
    LimitedFleet fleet;
    fleet.name_limits(limit_per_second);
    Harness::RequestLoad load(fleet.load_plan());
    std::this_thread::sleep_for(seconds(5));
    for (int round = 0; round < rounds; ++round) {
        auto const frozen = group_of(fleet, round);
        for (auto const& box : frozen)
            fleet.process(box).freeze();
        std::this_thread::sleep_for(milliseconds(400));
        for (auto const& box : frozen)
            fleet.process(box).thaw();
        std::this_thread::sleep_for(milliseconds(200));
    }
    std::this_thread::sleep_for(seconds(2));
    check_limits(fleet, load.finish());
}

TEST_CASE("85 boxes together keep to the rate limits that endpoints name while boxes are cut off from the endpoints")
{
    LimitedFleet fleet(LimitedFleet::Links::Proxied);
    fleet.name_limits(limit_per_second);
    Harness::RequestLoad load(fleet.load_plan());
    std::this_thread::sleep_for(seconds(5));
    SUBCASE("and reach them by way of other boxes")
    {
        auto const cut = group_of(fleet, 0);
        for (auto const& box : cut)
            fleet.cut_off(box, Harness::Fault::Reset);
        std::this_thread::sleep_for(seconds(10));
        // A box finds out by a request that fails, and with this limit it may send one in five seconds.
        auto const forwarding = std::ranges::count_if(
            cut, [&fleet](auto const& box) { return fleet.metric(box, "cleatbeam_endpoints_unreachable ") > 0; });
        CHECK(2 * forwarding >= static_cast<std::ptrdiff_t>(cut.size()));
    }
    SUBCASE("again and again, each time other boxes")
    {
        for (int round = 0; round < rounds; ++round) {
            auto const cut = group_of(fleet, round);
            for (auto const& box : cut)
                fleet.cut_off(box, round % 2 == 0 ? Harness::Fault::Reset : Harness::Fault::Silent);
            std::this_thread::sleep_for(milliseconds(400));
            for (auto const& box : cut)
                fleet.cut_off(box, Harness::Fault::None);
            std::this_thread::sleep_for(milliseconds(200));
        }
        std::this_thread::sleep_for(seconds(2));
    }
    check_limits(fleet, load.finish());
}
