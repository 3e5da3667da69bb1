#include <TestMain.h>

#include "RateLimitFleet.h"

using namespace RateLimitFleets;

TEST_CASE("85 boxes together keep to the rate limits that endpoints name")
{
    LimitedFleet fleet;
    fleet.name_limits(limit_per_second);
    Harness::RequestLoad load(fleet.load_plan());
    std::this_thread::sleep_for(seconds(5));
    std::size_t const disturbed = LimitedFleet::box_count / 3;
    SUBCASE("while nothing else happens") { }
    SUBCASE("while a third of the boxes is killed and starts again")
    {
        for (std::size_t number = 0; number < disturbed; ++number)
            fleet.process(fleet.boxes[number]).kill();
        for (std::size_t number = 0; number < disturbed; ++number)
            fleet.start_box(fleet.boxes[number], LimitedFleet::bounds);
    }
    SUBCASE("while a third of the boxes stands still for two seconds")
    {
        for (std::size_t number = 0; number < disturbed; ++number)
            fleet.process(fleet.boxes[number]).freeze();
        std::this_thread::sleep_for(seconds(2));
        for (std::size_t number = 0; number < disturbed; ++number)
            fleet.process(fleet.boxes[number]).thaw();
    }
    SUBCASE("while the limits change from answer to answer")
    {
        for (int change = 0; change < 20; ++change) {
            fleet.name_limits(change % 2 == 0 ? limit_per_second / 3 : limit_per_second);
            std::this_thread::sleep_for(milliseconds(150));
        }
    }
    SUBCASE("while the store is away")
    {
        fleet.set_store_mode("reset");
        std::this_thread::sleep_for(seconds(3));
        fleet.set_store_mode("");
    }
    SUBCASE("while endpoints start again under their ids")
    {
        for (auto const& engine : fleet.engines) {
            fleet.process(engine).kill();
            fleet.restart_server(engine);
        }
        fleet.name_limits(limit_per_second);
    }
    std::this_thread::sleep_for(seconds(5));
    check_limits(fleet, load.finish());
}
