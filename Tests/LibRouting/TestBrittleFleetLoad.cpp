#include <TestMain.h>

#include "BrittleFleetPlay.h"

using namespace BrittleFleetPlay;

namespace {

Scenario engines(double load)
{
    Scenario scenario;
    scenario.load = load;
    return scenario;
}

}

TEST_CASE("brittle engines don't fail in waves while boxes have more requests than they can run")
{
    check_play(engines(1.3), 0.4);
}

TEST_CASE("brittle engines that bear two rejections don't fail in waves while boxes have more than they can run")
{
    auto scenario = engines(1.3);
    scenario.max_rejections = 2;
    scenario.short_queue = 2;
    check_play(scenario, 0.4);
}

TEST_CASE("boxes serve most requests below what brittle engines can run")
{
    auto scenario = engines(2.0 / 3);
    SUBCASE("with nothing else amiss") { }
    SUBCASE("while half of the boxes starts anew")
    {
        scenario.restarted_boxes = 0.5;
    }
    SUBCASE("while one in ten messages between boxes is lost")
    {
        scenario.lost_messages = 0.1;
    }
    check_play(scenario, 2.0 / 3);
}

TEST_CASE("brittle engines survive that boxes hear of rejections late")
{
    auto scenario = engines(1.3);
    scenario.transit = milliseconds(20);
    check_play(scenario, 0.35);
}

TEST_CASE("brittle engines survive that all are silent for a second")
{
    auto scenario = engines(2.0 / 3);
    scenario.has_silence = true;
    check_play(scenario, 0.6);
}
