#include <TestMain.h>

#include <LibMembership/CrashMessages.h>
#include <LibMembership/EndpointNoticeMessage.h>
#include <LibMembership/LoadMessages.h>
#include <limits>

using namespace Membership;
using std::chrono::seconds;

namespace {

constexpr Core::Instant now { seconds(5000) };

EndpointNoticeMessage some_message()
{
    return { { { { "i-1", 1'790'000'000'000 }, 3, { { 1.1 }, false }, now - seconds(2) },
                 { { "i-2", 0 }, 9, { {}, true }, now } },
        true };
}

}

TEST_CASE("an endpoint notice message is decoded as it was encoded")
{
    CHECK(decode_endpoint_notices(encode(some_message(), now), now) == some_message());
    EndpointNoticeMessage const request { {}, true };
    CHECK(decode_endpoint_notices(encode(request, now), now) == request);
}

TEST_CASE("messages contain the age of a notice, since the clocks of boxes are not synchronized")
{
    constexpr Core::Instant there { seconds(77) };
    auto const received = decode_endpoint_notices(encode(some_message(), now), there);
    REQUIRE(received);
    CHECK(received->notices[0].reported_at == there - seconds(2));
    CHECK(received->notices[1].reported_at == there);
}

TEST_CASE("a message with the maximum number of notices fits into a packet")
{
    EndpointNoticeMessage message;
    for (std::size_t count = 0; count < max_notices_per_message; ++count)
        message.notices.push_back(
            { { "i-0123456789", 1'790'000'000'000 }, 1000, { { 20.5 }, true }, now - std::chrono::hours(1) });
    constexpr std::size_t packet = 1400;
    CHECK(encode(message, now).size() < packet);
    CHECK(decode_endpoint_notices(encode(message, now), now) == message);
}

TEST_CASE("endpoint notice messages and other messages are not parsed as each other")
{
    auto const encoded = encode(some_message(), now);
    CHECK_FALSE(decode_load(encoded));
    CHECK_FALSE(decode_crashes(encoded));
    LoadMessage const report { 17, Core::Instant { seconds(1) }, { { { "i-1", seconds(1), 1 } }, {} } };
    CHECK_FALSE(decode_endpoint_notices(encode(report), now));
    CrashMessage const crashes { {}, { { 1, 2 } }, {}, {}, {} };
    CHECK_FALSE(decode_endpoint_notices(encode(crashes), now));
}

TEST_CASE("invalid notices are rejected")
{
    CHECK_FALSE(decode_endpoint_notices("", now));
    CHECK_FALSE(decode_endpoint_notices("news", now));
    auto message = some_message();
    SUBCASE("no version")
    {
        message.notices[0].version = 0;
    }
    SUBCASE("no endpoint")
    {
        message.notices[0].endpoint.incarnation.clear();
    }
    SUBCASE("an endpoint id that is too long")
    {
        message.notices[0].endpoint.incarnation.assign(65, 'i');
    }
    SUBCASE("a negative limit")
    {
        message.notices[0].condition.limit.per_second = -1;
    }
    SUBCASE("a limit that is not a number")
    {
        message.notices[0].condition.limit.per_second = std::numeric_limits<double>::quiet_NaN();
    }
    SUBCASE("too many notices")
    {
        message.notices.resize(max_notices_per_message + 1, message.notices[0]);
    }
    CHECK_FALSE(decode_endpoint_notices(encode(message, now), now));
}
