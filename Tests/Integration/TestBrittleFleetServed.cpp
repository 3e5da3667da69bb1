#include <TestMain.h>

#include "BrittleFleet.h"

using namespace BrittleFleets;

TEST_CASE("brittle engines stay up, and boxes serve most requests, below what the engines can run")
{
    auto scenario = engines_below_capacity();
    SUBCASE("with all boxes up") { }
    SUBCASE("while a third of the boxes starts again")
    {
        scenario.restarted_boxes = scenario.boxes / 3;
    }
    auto const result = play(scenario);
    CHECK(3 * result.served >= 2 * (result.sent - result.unreached));
}

TEST_CASE("brittle servers of a plain service stay up, and boxes serve most requests, far below what they can run")
{
    auto const result = play(idle_plain_service());
    CHECK(10 * result.served >= 9 * result.sent);
}
