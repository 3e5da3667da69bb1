#include <TestMain.h>

#include <LibRouting/EndpointReachability.h>

using namespace Routing;
using Change = EndpointReachability::Change;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t many = 100;
Instant const start {};

}

TEST_CASE("failures at several endpoints in a row mean that the box is cut off, failures at one don't")
{
    EndpointReachability reachability;
    for (int number = 0; number < 10; ++number)
        CHECK(reachability.connect_failed(EndpointId { 1 }, start, many) == Change::None);
    for (std::uint32_t number = 2; number <= 5; ++number)
        CHECK(reachability.connect_failed(EndpointId { number }, start, many) == Change::None);
    CHECK_FALSE(reachability.is_cut_off());
    CHECK(reachability.connect_failed(EndpointId { 6 }, start, many) == Change::CutOff);
    CHECK(reachability.is_cut_off());
    CHECK(reachability.connect_failed(EndpointId { 7 }, start, many) == Change::None);
}

TEST_CASE("one established connection ends it, and earlier failures count no more")
{
    EndpointReachability reachability;
    for (std::uint32_t number = 1; number <= 6; ++number)
        static_cast<void>(reachability.connect_failed(EndpointId { number }, start, many));
    REQUIRE(reachability.is_cut_off());
    CHECK(reachability.connected(start + milliseconds(10)) == Change::Restored);
    CHECK_FALSE(reachability.is_cut_off());
    CHECK(reachability.failed_endpoints().empty());
    CHECK(reachability.connect_failed(EndpointId { 1 }, start + milliseconds(11), many) == Change::None);
    CHECK(reachability.connected(start + milliseconds(12)) == Change::None);
}

TEST_CASE("an attempt that began before another one succeeded is no evidence")
{
    EndpointReachability reachability;
    static_cast<void>(reachability.connected(start + milliseconds(100)));
    for (std::uint32_t number = 1; number <= 5; ++number)
        CHECK(reachability.connect_failed(EndpointId { number }, start + milliseconds(90), many) == Change::None);
    CHECK(reachability.failed_endpoints().empty());
}

TEST_CASE("answers on connections that were open before the failures are no evidence of reach")
{
    EndpointReachability reachability;
    for (std::uint32_t number = 1; number <= 6; ++number)
        static_cast<void>(reachability.connect_failed(EndpointId { number }, start + milliseconds(10), many));
    CHECK(reachability.connected(start) == Change::None);
    CHECK(reachability.is_cut_off());
    CHECK(reachability.connected(start + milliseconds(11)) == Change::Restored);
}

TEST_CASE("where there are few endpoints, all of them have to fail")
{
    EndpointReachability reachability;
    CHECK(reachability.connect_failed(EndpointId { 1 }, start, 2) == Change::None);
    CHECK(reachability.connect_failed(EndpointId { 2 }, start, 2) == Change::CutOff);
}

TEST_CASE("a new connection that breaks without an answer counts as a failed attempt, however late it breaks")
{
    EndpointReachability reachability;
    for (std::uint32_t number = 1; number <= 5; ++number) {
        auto const began = start + milliseconds(1000 * number);
        CHECK(reachability.new_connection_broke(
                  EndpointId { number }, { began, began + milliseconds(1), began + milliseconds(900) }, many)
            == Change::None);
    }
    auto const began = start + milliseconds(6000);
    CHECK(reachability.new_connection_broke(
              EndpointId { 6 }, { began, began + milliseconds(1), began + milliseconds(900) }, many)
        == Change::CutOff);
}

TEST_CASE("new connections must stay open for longer than others took to break, until an answer comes")
{
    EndpointReachability reachability;
    auto const usual = reachability.confirmation_time();
    auto const opened = start + milliseconds(1);
    static_cast<void>(
        reachability.new_connection_broke(EndpointId { 1 }, { start, opened, opened + milliseconds(60) }, many));
    CHECK(reachability.confirmation_time() == milliseconds(120));
    static_cast<void>(
        reachability.new_connection_broke(EndpointId { 2 }, { start, opened, opened + milliseconds(5) }, many));
    CHECK(reachability.confirmation_time() == milliseconds(120));
    static_cast<void>(reachability.connected(start + milliseconds(500)));
    CHECK(reachability.confirmation_time() == milliseconds(120));
    static_cast<void>(reachability.answered(start - milliseconds(500)));
    CHECK(reachability.confirmation_time() == milliseconds(120));
    static_cast<void>(reachability.answered(start + milliseconds(500)));
    CHECK(reachability.confirmation_time() == usual);
}

TEST_CASE(
    "a connection that breaks after a long time, as under a request that crashes its endpoint, delays no check long")
{
    EndpointReachability reachability;
    static_cast<void>(reachability.new_connection_broke(
        EndpointId { 1 }, { start, start + milliseconds(1), start + std::chrono::seconds(30) }, many));
    CHECK(reachability.confirmation_time() <= milliseconds(500));
}

TEST_CASE("a box that is cut off takes new connections for working ones only after the longest time")
{
    EndpointReachability reachability;
    auto const usual = reachability.confirmation_time();
    static_cast<void>(reachability.connect_failed(EndpointId { 1 }, start, 1));
    REQUIRE(reachability.is_cut_off());
    CHECK(reachability.confirmation_time() == milliseconds(500));
    CHECK(reachability.connected(start + milliseconds(600)) == Change::Restored);
    CHECK(reachability.confirmation_time() == usual);
}
