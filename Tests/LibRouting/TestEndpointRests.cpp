#include <TestMain.h>

#include <LibRouting/EndpointRests.h>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr EndpointId endpoint { 1 };

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

}

TEST_CASE("an endpoint rests for as long as it said, from the longest of its answers")
{
    EndpointRests rests;
    CHECK(rests.may_be_chosen(endpoint, at(seconds(0))));
    CHECK(rests.asked(endpoint, seconds(3), at(seconds(0))));
    CHECK_FALSE(rests.asked(endpoint, seconds(1), at(seconds(1))));
    CHECK(rests.is_resting(endpoint, at(milliseconds(2999))));
    CHECK_FALSE(rests.may_be_chosen(endpoint, at(milliseconds(2999))));
    CHECK_FALSE(rests.is_resting(endpoint, at(seconds(3))));
    CHECK(rests.may_be_chosen(endpoint, at(seconds(3))));
    CHECK(rests.free_at(endpoint) == at(seconds(3)));
}

TEST_CASE("an answer to what was sent before the rest doesn't end it")
{
    EndpointRests rests;
    rests.asked(endpoint, seconds(3), at(seconds(0)));
    rests.accepted(endpoint, at(milliseconds(-100)));
    rests.accepted(endpoint, at(seconds(2)));
    CHECK(rests.is_resting(endpoint, at(seconds(2))));
}

TEST_CASE("after a rest one request at a time tries whether the endpoint takes work again")
{
    EndpointRests rests;
    rests.asked(endpoint, seconds(3), at(seconds(0)));
    rests.chosen(endpoint, at(seconds(3)));
    CHECK_FALSE(rests.may_be_chosen(endpoint, at(milliseconds(3100))));
    // The try itself is not stopped by what it began.
    CHECK_FALSE(rests.is_resting(endpoint, at(milliseconds(3100))));
    SUBCASE("it does")
    {
        rests.accepted(endpoint, at(seconds(3)));
        CHECK(rests.may_be_chosen(endpoint, at(milliseconds(3100))));
    }
    SUBCASE("it wants another rest")
    {
        CHECK(rests.asked(endpoint, seconds(3), at(milliseconds(3100))));
        CHECK_FALSE(rests.may_be_chosen(endpoint, at(seconds(6))));
        CHECK(rests.may_be_chosen(endpoint, at(milliseconds(6100))));
    }
    SUBCASE("it says nothing")
    {
        CHECK(rests.may_be_chosen(endpoint, at(milliseconds(3300))));
    }
}

TEST_CASE("callers come back after the rest, the most urgent first and not all at once")
{
    CHECK(come_back_after_rest(seconds(2), 0, 0) == seconds(2));
    CHECK(come_back_after_rest(seconds(2), 0, 1) == milliseconds(2500));
    CHECK(come_back_after_rest(seconds(2), 1, 0) >= come_back_after_rest(seconds(2), 0, 1));
    CHECK(come_back_after_rest(seconds(2), 2, 0) >= come_back_after_rest(seconds(2), 1, 1));
    CHECK(come_back_after_rest(seconds(2), 100, 0) == come_back_after_rest(seconds(2), 3, 0));
}
