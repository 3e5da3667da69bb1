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
