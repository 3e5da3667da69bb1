#include <TestMain.h>

#include "BrittleFleet.h"

using namespace BrittleFleets;

TEST_CASE("brittle engines stay up while 85 boxes have more requests for them than they can run")
{
    auto const result
        = play({ .endpoints = 112, .slots = 12, .work = milliseconds(1500), .load = 1.2, .restarted_boxes = 0 });
    CHECK(result.served > 0);
}

TEST_CASE("brittle engines stay up while 85 boxes, a third of which starts again, have less than they can run")
{
    auto scenario = engines_below_capacity();
    scenario.restarted_boxes = scenario.boxes / 3;
    auto const result = play(scenario);
    CHECK(result.served > 0);
}
