#include <TestMain.h>

#include "BrittleFleetPlay.h"

using namespace BrittleFleetPlay;

namespace {

Scenario plain_service(double load)
{
    Scenario scenario;
    scenario.are_engines = false;
    scenario.endpoints = 3;
    scenario.slots = 6;
    scenario.work = milliseconds(15);
    scenario.load = load;
    scenario.length = seconds(16);
    return scenario;
}

}

TEST_CASE("boxes serve nearly all requests for a brittle service that is far from full")
{
    check_play(plain_service(0.11), 0.9);
}

TEST_CASE("a brittle service survives that it is silent for a second while far from full")
{
    auto scenario = plain_service(0.11);
    scenario.has_silence = true;
    check_play(scenario, 0.7);
}
