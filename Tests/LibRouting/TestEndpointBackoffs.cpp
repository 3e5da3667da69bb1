#include <TestMain.h>

#include <LibRouting/EndpointBackoffs.h>

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

TEST_CASE("an endpoint is left alone for as long as it said, from the longest of its answers")
{
    EndpointBackoffs backoffs;
    CHECK(backoffs.may_be_chosen(endpoint, at(seconds(0))));
    CHECK(backoffs.start(endpoint, seconds(3), at(seconds(0))));
    CHECK_FALSE(backoffs.start(endpoint, seconds(1), at(seconds(1))));
    CHECK(backoffs.is_backed_off(endpoint, at(milliseconds(2999))));
    CHECK_FALSE(backoffs.may_be_chosen(endpoint, at(milliseconds(2999))));
    CHECK_FALSE(backoffs.is_backed_off(endpoint, at(seconds(3))));
    CHECK(backoffs.may_be_chosen(endpoint, at(seconds(3))));
    CHECK(backoffs.available_at(endpoint) == at(seconds(3)));
}

TEST_CASE("an answer to what was sent before doesn't end it")
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, seconds(3), at(seconds(0)));
    backoffs.request_accepted(endpoint, at(milliseconds(-100)));
    backoffs.request_accepted(endpoint, at(seconds(2)));
    CHECK(backoffs.is_backed_off(endpoint, at(seconds(2))));
}

TEST_CASE("afterwards one request at a time tries whether the endpoint takes work again")
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, seconds(3), at(seconds(0)));
    backoffs.endpoint_chosen(endpoint, at(seconds(3)));
    CHECK_FALSE(backoffs.may_be_chosen(endpoint, at(milliseconds(3100))));
    // The try itself is not stopped by what it began.
    CHECK_FALSE(backoffs.is_backed_off(endpoint, at(milliseconds(3100))));
    SUBCASE("it does")
    {
        backoffs.request_accepted(endpoint, at(seconds(3)));
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(3100))));
    }
    SUBCASE("it turns that away too")
    {
        CHECK(backoffs.start(endpoint, seconds(3), at(milliseconds(3100))));
        CHECK_FALSE(backoffs.may_be_chosen(endpoint, at(seconds(6))));
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(6100))));
    }
    SUBCASE("it says nothing")
    {
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(3300))));
    }
}

TEST_CASE("callers come back afterwards, the most urgent first and not all at once")
{
    CHECK(retry_after_backoff(seconds(2), 0, 0) == seconds(2));
    CHECK(retry_after_backoff(seconds(2), 0, 1) == milliseconds(2500));
    CHECK(retry_after_backoff(seconds(2), 1, 0) >= retry_after_backoff(seconds(2), 0, 1));
    CHECK(retry_after_backoff(seconds(2), 2, 0) >= retry_after_backoff(seconds(2), 1, 1));
    CHECK(retry_after_backoff(seconds(2), 100, 0) == retry_after_backoff(seconds(2), 3, 0));
}
