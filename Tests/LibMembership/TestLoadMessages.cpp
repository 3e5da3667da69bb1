#include <TestMain.h>

#include <LibMembership/LoadMessages.h>
#include <LibMembership/Relay.pb.h>

#include <cmath>
#include <limits>
#include <pcg_random.hpp>
#include <random>

namespace {

using namespace Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const start = Instant {} + seconds(100);

LoadMessage message_at(Instant sent_at)
{
    return { 7, sent_at,
        { { { "i-a", milliseconds(120), 3 }, { "i-b", Duration { 0 }, 1 } },
            { { "pool", { { 42.5, 5.5 }, 100, { 1000, 2000 } } } } } };
}

}

TEST_CASE("a load report is decoded as it was encoded")
{
    auto const sent_message = message_at(start);
    CHECK(decode_load(encode(sent_message)) == sent_message);
}

TEST_CASE("a report with too many endpoints keeps the busiest")
{
    LoadMessage sent_message { 7, start, {} };
    for (unsigned index = 0; index < 200; ++index)
        sent_message.report.endpoints.push_back({ "i-" + std::to_string(index), milliseconds(index), 1 });
    auto const bytes = encode(sent_message);
    CHECK(bytes.size() < 1500);
    auto const received = decode_load(bytes);
    REQUIRE(received);
    CHECK(received->report.endpoints.front().incarnation == "i-199");
    CHECK(received->report.endpoints.size() < 200);
}

TEST_CASE("bytes that are no report, and invalid values, are rejected")
{
    CHECK_FALSE(decode_load(""));
    CHECK_FALSE(decode_load("\xff\xff\xff"));
    auto const encoded = encode(message_at(start));
    for (std::size_t length = 1; length < encoded.size(); ++length)
        static_cast<void>(decode_load(std::string_view(encoded).substr(0, length)));
    auto no_sender = message_at(start);
    no_sender.sender = 0;
    CHECK_FALSE(decode_load(encode(no_sender)));
    for (double const broken :
        { 0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        auto speed = message_at(start);
        speed.report.services["pool"].speed.step_milliseconds = broken;
        CHECK_FALSE(decode_load(encode(speed)));
    }
    pcg32 random(3);
    for (int round = 0; round < 2000; ++round) {
        auto bytes = encoded;
        bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random());
        static_cast<void>(decode_load(bytes));
    }
}

TEST_CASE("a report that arrives twice, or after a newer one, is rejected")
{
    MessageAgeTracker ages;
    CHECK(ages.age(message_at(start + milliseconds(100)), start + milliseconds(102)));
    CHECK_FALSE(ages.age(message_at(start + milliseconds(100)), start + milliseconds(103)));
    CHECK_FALSE(ages.age(message_at(start), start + milliseconds(104)));
    CHECK(ages.age(message_at(start + milliseconds(200)), start + milliseconds(202)));
}

TEST_CASE("a report appears newer than it is by no more than the shortest transit time so far, whatever its delay")
{
    constexpr milliseconds fastest { 1 };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        pcg32 random(seed);
        std::uniform_int_distribution<int> drawn(0, 1000);
        // The clocks of the two boxes are not synchronized.
        auto const offset = seconds(drawn(random));
        MessageAgeTracker ages;
        auto sent_at = start;
        auto read_at = start;
        Duration shortest_so_far = Duration::max();
        for (int message = 0; message < 50; ++message) {
            sent_at += milliseconds(50 + drawn(random) / 4);
            auto const transit_time = fastest + milliseconds(drawn(random) < 900 ? drawn(random) / 200 : drawn(random));
            // A box that was suspended reads all waiting messages at once.
            auto const pause = drawn(random) < 50 ? seconds(2) : seconds(0);
            read_at = std::max(read_at, sent_at + transit_time) + pause;
            auto const age = ages.age(message_at(sent_at + offset), read_at);
            REQUIRE(age);
            auto const true_age = read_at - sent_at;
            shortest_so_far = std::min(shortest_so_far, true_age);
            CHECK(*age == true_age - shortest_so_far);
        }
    }
}

TEST_CASE("the rate of reports to all others is limited, and so is the age of reports")
{
    CHECK(plan_reports(1, 100) == ReportPlan { milliseconds(100), 1 });
    CHECK(plan_reports(8, 122) == ReportPlan { milliseconds(100), 8 });
    CHECK(plan_reports(16, 122) == ReportPlan { milliseconds(200), 16 });
    for (std::size_t const others : { 1U, 8U, 86U, 409U, 5000U }) {
        for (std::size_t const bytes : { 40U, 300U, 1400U }) {
            auto const plan = plan_reports(others, bytes);
            CHECK(plan.receivers <= others);
            CHECK(plan.receivers >= 1);
            CHECK(plan.interval <= seconds(2));
            auto const sent = static_cast<double>(plan.receivers * (bytes + 28)) / Core::to_seconds(plan.interval);
            constexpr double most_bytes_per_second = 14'300;
            CHECK(sent <= most_bytes_per_second);
        }
    }
}

TEST_CASE("the store versions are decoded as they were encoded")
{
    LoadMessage message { 17, Instant { seconds(1) }, {}, { 5, 2, seconds(3), std::chrono::milliseconds(4500) } };
    auto const received = decode_load(encode(message));
    REQUIRE(received);
    CHECK(received->store_versions == message.store_versions);
    message.store_versions = { 5, 2, {}, {} };
    CHECK(decode_load(encode(message))->store_versions == message.store_versions);
}

TEST_CASE("the work of accounts is decoded as it was encoded, in whole units")
{
    auto sent_message = message_at(start);
    sent_message.report.services["pool"].accounts
        = { { { Routing::AccountKey { 0xfedcba98 }, { 64'000, 12'800 } }, { Routing::AccountKey { 7 }, { 0, 640 } } },
              { 128, 64 } };
    CHECK(decode_load(encode(sent_message)) == sent_message);
    // Less than half a unit is not worth its bytes.
    sent_message.report.services["pool"].accounts = { { { Routing::AccountKey { 7 }, { 20, 10 } } }, { 30, 0 } };
    CHECK(decode_load(encode(sent_message)) == message_at(start));
    // Amounts that don't fit are limited and not wrapped around.
    sent_message.report.services["pool"].accounts = { { { Routing::AccountKey { 7 }, { 1e300, -5 } } }, {} };
    auto const received = decode_load(encode(sent_message));
    REQUIRE(received);
    auto const& work = received->report.services.at("pool").accounts.largest.front().work;
    CHECK(work.admitted == doctest::Approx(Routing::AccountShares::max_amount));
    CHECK(work.refused == 0);
}

TEST_CASE("the accounts of a service take less than 150 bytes, and a full report still fits into one packet")
{
    auto message = message_at(start);
    auto const without = encode(message).size();
    auto& accounts = message.report.services["pool"].accounts;
    for (std::uint32_t account = 0; account < Routing::AccountShares::max_named; ++account)
        accounts.largest.push_back({ Routing::AccountKey { 0x80000000U + account }, { 400'000, 8000 } });
    accounts.rest = { 400'000, 8000 };
    CHECK(encode(message).size() - without < 150);
    for (unsigned index = 0; index < 200; ++index)
        message.report.endpoints.push_back({ "incarnation-" + std::to_string(index), milliseconds(5000 + index), 9 });
    for (unsigned service = 0; service < 7; ++service)
        message.report.services.emplace("service-" + std::to_string(service), message.report.services["pool"]);
    auto const bytes = encode(message);
    CHECK(bytes.size() <= 1472);
    auto const received = decode_load(bytes);
    REQUIRE(received);
    CHECK(received->report.services.size() == 8);
    // The endpoints that are left out are the least busy ones.
    REQUIRE(!received->report.endpoints.empty());
    CHECK(received->report.endpoints.front().incarnation == "incarnation-199");
}

TEST_CASE("reports with lists of accounts that don't match or are too long are rejected, and old ones are read")
{
    namespace wire = cleatbeam::membership;
    auto const with_accounts = [](int keys, int admitted, int refused) {
        wire::LoadMessage message;
        REQUIRE(message.ParseFromString(encode(message_at(start))));
        auto& service = *message.mutable_services(0);
        for (int index = 0; index < keys; ++index)
            service.add_accounts(static_cast<std::uint32_t>(index));
        for (int index = 0; index < admitted; ++index)
            service.add_admitted_work(1);
        for (int index = 0; index < refused; ++index)
            service.add_refused_work(std::numeric_limits<std::uint32_t>::max());
        return decode_load(message.SerializeAsString());
    };
    CHECK(with_accounts(16, 16, 16));
    CHECK_FALSE(with_accounts(17, 17, 17));
    CHECK_FALSE(with_accounts(2, 1, 2));
    CHECK_FALSE(with_accounts(2, 2, 3));
    CHECK_FALSE(with_accounts(0, 1, 0));
    // A box of an earlier version sends no accounts.
    auto const old = with_accounts(0, 0, 0);
    REQUIRE(old);
    CHECK(old->report.services.at("pool").accounts.is_empty());
}

TEST_CASE("the samples of an endpoint's pace are decoded within 1.2 percent, and cost four bytes")
{
    auto message = message_at(start);
    auto const without = encode(message).size();
    constexpr int steps_per_doubling = 70;
    for (int step = -2 * steps_per_doubling; step <= 2 * steps_per_doubling; ++step) {
        auto const factor = std::exp2(static_cast<double>(step) / steps_per_doubling);
        for (unsigned const count : { 1U, 8U }) {
            message.report.endpoints[0].pace = Routing::PaceSamples { factor, count };
            auto const bytes = encode(message);
            CHECK(bytes.size() <= without + 4);
            auto const received = decode_load(bytes);
            REQUIRE(received);
            REQUIRE(received->report.endpoints[0].pace);
            CHECK(received->report.endpoints[0].pace->count == count);
            CHECK(received->report.endpoints[0].pace->fastest == doctest::Approx(factor).epsilon(0.012));
            CHECK_FALSE(received->report.endpoints[1].pace);
        }
    }
}

// Guards against a fault of one box's speed estimate reaching others, or making them reject its whole report.
TEST_CASE("invalid samples of an endpoint's pace are left out, and the rest of the report stays valid")
{
    constexpr auto infinity = std::numeric_limits<double>::infinity();
    for (double const invalid : { 0.0, -1.0, infinity, std::numeric_limits<double>::quiet_NaN() }) {
        auto message = message_at(start);
        message.report.endpoints[0].pace = Routing::PaceSamples { invalid, 3 };
        CHECK(decode_load(encode(message)) == message_at(start));
    }
    auto message = message_at(start);
    message.report.endpoints[0].pace = Routing::PaceSamples { 1e300, 1'000'000 };
    auto const received = decode_load(encode(message));
    REQUIRE(received);
    CHECK(received->report.endpoints[0].pace == Routing::PaceSamples { 4, 8 });

    cleatbeam::membership::LoadMessage wire_message;
    REQUIRE(wire_message.ParseFromString(encode(message_at(start))));
    // Without samples, with too many, and with factors beyond the bounds.
    for (std::uint32_t const invalid : { 0U, 64U, 9U * 128 + 64, 128U, 128U + 1, 128U + 127, 0xFFFF'FFFFU }) {
        wire_message.mutable_endpoints(0)->set_pace(invalid);
        CHECK(decode_load(wire_message.SerializeAsString()) == message_at(start));
    }
}

TEST_CASE("a report of 48 endpoints with their pace fits into one packet")
{
    LoadMessage message { 7, start, message_at(start).report };
    message.report.endpoints.clear();
    for (unsigned index = 0; index < 48; ++index)
        message.report.endpoints.push_back(
            { "i-" + std::to_string(1'000'000'000 + index), milliseconds(400), 3, Routing::PaceSamples { 2, 8 } });
    CHECK(encode(message).size() < 1472);
}
