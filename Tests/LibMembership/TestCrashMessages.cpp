#include <TestMain.h>

#include <LibMembership/CrashMessages.h>
#include <LibMembership/LoadMessages.h>
#include <LibMembership/RelayMessages.h>
#include <pcg_random.hpp>

using namespace Membership;
using std::chrono::seconds;

namespace {

constexpr Routing::CrashSuspect request { 0xfedc, 3 };
Routing::EndpointInstance const endpoint { "i-1", 1'790'000'000'000 };
constexpr std::int64_t wall_now = 1'790'000'100'000;

CrashMessage some_message()
{
    return { { { { request, endpoint, 2 }, seconds(3) } }, { { 1, 2 } }, { { "i-2", 0 } }, { { 3, 4 } }, { { 5, 6 } } };
}

}

TEST_CASE("a crash message is decoded as it was encoded")
{
    auto const message = some_message();
    CHECK(decode_crashes(encode(message)) == message);
}

TEST_CASE("a message with the maximum number of crashes fits into a packet")
{
    CrashMessage message;
    for (std::size_t count = 0; count < max_crash_entries_per_message; ++count)
        message.crashes.push_back({ { request, { "i-0123456789", 1'790'000'000'000 }, 3 }, seconds(600) });
    constexpr std::size_t packet = 1400;
    CHECK(encode(message).size() < packet);
    CHECK(decode_crashes(encode(message)) == message);
}

TEST_CASE("crash messages and load reports are not parsed as each other")
{
    CHECK_FALSE(decode_load(encode(some_message())));
    LoadMessage const report { 17, Core::Instant { seconds(1) }, { { { "i-1", seconds(1), 1 } }, {} } };
    CHECK_FALSE(decode_crashes(encode(report)));
}

TEST_CASE("invalid crash messages are rejected")
{
    CHECK_FALSE(decode_crashes(""));
    CHECK_FALSE(decode_crashes("news"));
    auto message = some_message();
    SUBCASE("no crash")
    {
        message.crashes[0].report.count = 0;
    }
    SUBCASE("a crash count above the limit")
    {
        message.crashes[0].report.count = 4;
    }
    SUBCASE("no endpoint")
    {
        message.crashes[0].report.endpoint.incarnation.clear();
    }
    SUBCASE("an endpoint id that is too long")
    {
        message.answering[0].incarnation = std::string(65, 'i');
    }
    SUBCASE("too many entries")
    {
        message.cleared.resize(max_crash_entries_per_message + 1);
    }
    SUBCASE("too many probes")
    {
        message.probed.resize(max_crash_entries_per_message + 1);
    }
    SUBCASE("too many ended probes")
    {
        message.probes_ended.resize(max_crash_entries_per_message + 1);
    }
    CHECK_FALSE(decode_crashes(encode(message)));
}

TEST_CASE("an age longer than crashes are kept is limited")
{
    auto message = some_message();
    message.crashes[0].age = std::chrono::hours(24 * 365 * 1000);
    CHECK(decode_crashes(encode(message))->crashes[0].age == Routing::CrashLedger::retention);
}

TEST_CASE("the record of a refused request has its age by the wall clock, and is not parsed as a box")
{
    TimedCrash const crash { { request, endpoint, 3 }, seconds(5) };
    auto const record = encode_crash_record(crash, wall_now);
    constexpr std::int64_t seconds_later = 7000;
    CHECK(decode_crash_record(record, wall_now + seconds_later) == TimedCrash { crash.report, seconds(12) });
    CHECK(decode_crash_record(record, wall_now - 60'000)->age == seconds(0));
    CHECK(decode_crash_record(record, -1)->age == seconds(0));
    CHECK_FALSE(decode_crash_record("", wall_now));
    CHECK_FALSE(decode_box(crash_key(request), record));
    CHECK(is_crash_key(crash_key(request)));
    CHECK_FALSE(is_crash_key("front-1"));
}

TEST_CASE("randomly corrupted bytes are rejected or decode to valid values")
{
    pcg32 random(271);
    auto const sound = encode(some_message());
    constexpr int many = 20000;
    for (int round = 0; round < many; ++round) {
        auto bytes = sound.substr(0, 1 + random(static_cast<std::uint32_t>(sound.size())));
        for (auto changes = random(4); changes > 0; --changes)
            bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        auto const message = decode_crashes(bytes);
        if (!message)
            continue;
        for (auto const& crash : message->crashes) {
            CHECK(crash.report.count <= Routing::CrashLedger::refusal_threshold);
            CHECK(crash.age <= Routing::CrashLedger::retention);
        }
    }
}
