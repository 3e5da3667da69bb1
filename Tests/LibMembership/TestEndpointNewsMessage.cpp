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

TEST_CASE("news of endpoints is read as it was told")
{
    CHECK(decode_endpoint_notices(encode(some_message(), now), now) == some_message());
    EndpointNoticeMessage const question { {}, true };
    CHECK(decode_endpoint_notices(encode(question, now), now) == question);
}

TEST_CASE("how long ago an endpoint said so is told, since clocks of boxes have nothing to do with each other")
{
    constexpr Core::Instant there { seconds(77) };
    auto const heard = decode_endpoint_notices(encode(some_message(), now), there);
    REQUIRE(heard);
    CHECK(heard->notices[0].told_at == there - seconds(2));
    CHECK(heard->notices[1].told_at == there);
}

TEST_CASE("a message of as many notices as there may be fits into a packet")
{
    EndpointNoticeMessage message;
    for (std::size_t count = 0; count < max_notices_per_message; ++count)
        message.notices.push_back(
            { { "i-0123456789", 1'790'000'000'000 }, 1000, { { 20.5 }, true }, now - std::chrono::hours(1) });
    constexpr std::size_t packet = 1400;
    CHECK(encode(message, now).size() < packet);
    CHECK(decode_endpoint_notices(encode(message, now), now) == message);
}

TEST_CASE("news of endpoints is not taken for another message, nor another one for it")
{
    auto const news = encode(some_message(), now);
    CHECK_FALSE(decode_load(news));
    CHECK_FALSE(decode_crashes(news));
    LoadMessage const report { 17, Core::Instant { seconds(1) }, { { { "i-1", seconds(1), 1 } }, {} } };
    CHECK_FALSE(decode_endpoint_notices(encode(report), now));
    CrashMessage const crashes { {}, { { 1, 2 } }, {}, {}, {} };
    CHECK_FALSE(decode_endpoint_notices(encode(crashes), now));
}

TEST_CASE("notices that no box tells are not taken")
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
    SUBCASE("an endpoint with an endless name")
    {
        message.notices[0].endpoint.incarnation.assign(65, 'i');
    }
    SUBCASE("a limit below nothing")
    {
        message.notices[0].condition.limit.per_second = -1;
    }
    SUBCASE("a limit that is no number")
    {
        message.notices[0].condition.limit.per_second = std::numeric_limits<double>::quiet_NaN();
    }
    SUBCASE("more notices than fit")
    {
        message.notices.resize(max_notices_per_message + 1, message.notices[0]);
    }
    CHECK_FALSE(decode_endpoint_notices(encode(message, now), now));
}
