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

TEST_CASE("an endpoint gets no requests until the longest of its backoffs is over")
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

TEST_CASE("an answer to a request that was sent before the backoff ended doesn't end the backoff")
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, seconds(3), at(seconds(0)));
    backoffs.request_accepted(endpoint, at(milliseconds(-100)));
    backoffs.request_accepted(endpoint, at(seconds(2)));
    CHECK(backoffs.is_backed_off(endpoint, at(seconds(2))));
}

TEST_CASE("after a backoff one request at a time probes the endpoint")
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, seconds(3), at(seconds(0)));
    backoffs.endpoint_chosen(endpoint, at(seconds(3)));
    CHECK_FALSE(backoffs.may_be_chosen(endpoint, at(milliseconds(3100))));
    // The probe itself may still be sent.
    CHECK_FALSE(backoffs.is_backed_off(endpoint, at(milliseconds(3100))));
    SUBCASE("the endpoint accepts the probe")
    {
        backoffs.request_accepted(endpoint, at(seconds(3)));
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(3100))));
    }
    SUBCASE("the endpoint refuses the probe")
    {
        CHECK(backoffs.start(endpoint, seconds(3), at(milliseconds(3100))));
        CHECK_FALSE(backoffs.may_be_chosen(endpoint, at(seconds(6))));
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(6100))));
    }
    SUBCASE("the probe has no result")
    {
        CHECK(backoffs.may_be_chosen(endpoint, at(milliseconds(3300))));
    }
}

TEST_CASE("clients retry after the backoff, the most urgent first and spread over time")
{
    CHECK(retry_after_backoff(seconds(2), 0, 0) == seconds(2));
    CHECK(retry_after_backoff(seconds(2), 0, 1) == milliseconds(2500));
    CHECK(retry_after_backoff(seconds(2), 1, 0) >= retry_after_backoff(seconds(2), 0, 1));
    CHECK(retry_after_backoff(seconds(2), 2, 0) >= retry_after_backoff(seconds(2), 1, 1));
    CHECK(retry_after_backoff(seconds(2), 100, 0) == retry_after_backoff(seconds(2), 3, 0));
}
