#include <TestMain.h>

#include "BrittleFleetPlay.h"

using namespace BrittleFleetPlay;

namespace {

/// Two services of the deployments that this is for: engines whose requests run long, and a plain service.
Scenario engines(double load)
{
    Scenario scenario;
    scenario.load = load;
    return scenario;
}

Scenario plain_service(double load)
{
    Scenario scenario;
    scenario.are_engines = false;
    scenario.endpoints = 3;
    scenario.slots = 6;
    scenario.work = milliseconds(15);
    scenario.load = load;
    return scenario;
}

/// Plays the scenario, and checks that few endpoints fail and that at least `served_share` of the requests is served.
void check_play(Scenario const& scenario, double served_share)
{
    auto const result = Simulation(scenario).run();
    CAPTURE(result.served);
    CAPTURE(result.sent);
    CHECK(result.failures <= scenario.tolerated_failures());
    CHECK(result.served >= served_share * result.sent);
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
