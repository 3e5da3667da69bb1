#include <TestMain.h>

#include "RateLimitPlay.h"
#include <set>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr EndpointId endpoint { 1 };
EndpointInstance const instance { "e1", 0 };
constexpr RateLimit none {};
constexpr Instant start = Instant {} + seconds(100);
constexpr SharedMicroseconds slot_start = 1'000'000'000'000;

std::vector<std::string> box_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
        names.push_back("box-" + std::to_string(number));
    return names;
}

/// Requests that all boxes together may send in the slot.
unsigned requests_in_slot(RateSchedule const& schedule, std::uint64_t slot, std::vector<std::string> const& names)
{
    unsigned all = 0;
    for (auto const& name : names)
        all += schedule.allotment(slot, "e1", BoxGroup(name, names));
    return all;
}

}

TEST_CASE("the requests of a slot are allotted whole and add up to no more than the limit")
{
    for (std::size_t const count : { 1, 6, 88, 300 }) {
        auto const names = box_names(count);
        for (double const limit : { 0.3, 1.0, 7.5, 20.0, 1000.0 }) {
            RateSchedule const schedule(limit);
            constexpr std::uint64_t slots = 20;
            double sum = 0;
            for (std::uint64_t slot = 5000; slot < 5000 + slots; ++slot)
                sum += requests_in_slot(schedule, slot, names);
            auto const seconds_dealt = static_cast<double>(slots) * Core::to_seconds(schedule.slot_length());
            CHECK(sum <= limit * seconds_dealt + 1);
            CHECK(sum >= 0.8 * limit * seconds_dealt - 1);
        }
    }
}

TEST_CASE("each box gets some requests of an endpoint with a low limit")
{
    auto const names = box_names(6);
    RateSchedule const schedule(1);
    for (auto const& name : names) {
        unsigned of_box = 0;
        for (std::uint64_t slot = 0; slot < 100; ++slot)
            of_box += schedule.allotment(slot, "e1", BoxGroup(name, names));
        CHECK(of_box > 5);
    }
}

TEST_CASE("an endpoint with a limit of zero gets few requests, since only its answers show when the limit ends")
{
    RateSchedule const schedule(0);
    CHECK(schedule.slot_length() == seconds(10));
    CHECK(requests_in_slot(schedule, 7, box_names(6)) == 1);
}

TEST_CASE("a limit holds until an answer to a request that was sent under the limit differs")
{
    EndpointNotices notices;
    CHECK_FALSE(notices.apply_answer(endpoint, instance, { none }, start, start));
    auto const limited = notices.apply_answer(endpoint, instance, { { 2 } }, start, start + seconds(1));
    REQUIRE(limited);
    CHECK(limited->version == 1);
    // This request was sent before the limit was known, so its answer may be older than the limit.
    CHECK_FALSE(notices.apply_answer(endpoint, instance, { none }, start + milliseconds(999), start + seconds(2)));
    CHECK(notices.limit_of(endpoint) == RateLimit { 2 });
    CHECK(notices.apply_answer(endpoint, instance, { { 1 } }, start, start + seconds(2))->condition.limit
        == RateLimit { 1 });
    CHECK_FALSE(notices.apply_answer(endpoint, instance, { { 2 } }, start + seconds(1), start + seconds(3)));
    auto const ended = notices.apply_answer(endpoint, instance, { none }, start + seconds(2), start + seconds(3));
    REQUIRE(ended);
    CHECK(ended->version == 3);
    CHECK(notices.limit_of(endpoint) == none);
    CHECK(notices.limited_count() == 0);
}

TEST_CASE("a notice of another box is applied if it is newer, however late it arrives")
{
    EndpointNotices notices;
    CHECK(notices.apply(endpoint, { instance, 3, { { 1 } } }, start));
    CHECK_FALSE(notices.apply(endpoint, { instance, 3, { { 1 } } }, start));
    CHECK_FALSE(notices.apply(endpoint, { instance, 2, { none } }, start + seconds(9)));
    CHECK(notices.limit_of(endpoint) == RateLimit { 1 });
    // Two boxes saw different changes of the same version: the stricter limit is kept.
    CHECK_FALSE(notices.apply(endpoint, { instance, 3, { { 5 } } }, start));
    CHECK(notices.apply(endpoint, { instance, 3, { { 0.5 } } }, start));
    CHECK(notices.apply(endpoint, { instance, 4, { none } }, start + seconds(1)));
    CHECK(notices.limit_of(endpoint) == none);
    // The request was sent before the end of the limit was known, so its answer may be outdated; the box keeps the
    // limit until the next answer.
    CHECK(notices.apply_answer(endpoint, instance, { { 1 } }, start, start + seconds(2))->version == 5);
}

TEST_CASE("a limit is resent while it holds, and its end for a while")
{
    EndpointNotices notices;
    notices.apply(endpoint, { instance, 1, { { 1 } } }, start);
    CHECK(notices.active(start + seconds(3600)).size() == 1);
    notices.apply(endpoint, { instance, 2, { none } }, start + seconds(3600));
    CHECK(notices.active(start + seconds(3610)).size() == 1);
    CHECK(notices.active(start + seconds(3640)).empty());
}

TEST_CASE("a box sends no more than its share of a slot, and reserves it for high priority as needed")
{
    constexpr SharedMicroseconds slot = 1'000'000;
    constexpr SharedMicroseconds late = 600'000;
    EndpointNotices notices;
    CHECK(notices.may_send(endpoint, SendPriority::Low, slot_start));
    CHECK_FALSE(notices.count_send(endpoint, slot_start));
    notices.apply(endpoint, { instance, 1, { { 10 } } }, start);
    // No request of high priority has asked, so others may use the whole share.
    int sent = 0;
    while (notices.may_send(endpoint, SendPriority::Low, slot_start) && sent < 100) {
        notices.count_send(endpoint, slot_start);
        ++sent;
    }
    CHECK(sent == 9);
    for (int request = 0; request < 20; ++request)
        CHECK_FALSE(notices.may_send(endpoint, SendPriority::High, slot_start + late));
    // More high-priority requests asked than the share allows, so the first half of the next slot is reserved for them.
    CHECK_FALSE(notices.may_send(endpoint, SendPriority::Low, slot_start + slot));
    CHECK(notices.may_send(endpoint, SendPriority::High, slot_start + slot));
    CHECK(notices.may_send(endpoint, SendPriority::Low, slot_start + slot + late));
    // One asked in that slot, so one is reserved.
    int sent_beside = 0;
    while (notices.may_send(endpoint, SendPriority::Low, slot_start + 2 * slot) && sent_beside < 100) {
        notices.count_send(endpoint, slot_start + 2 * slot);
        ++sent_beside;
    }
    CHECK(sent_beside == 8);
}

TEST_CASE("clients refused at the limit retry spread over time, the most urgent ones first")
{
    constexpr Duration slot = seconds(1);
    CHECK(retry_after_limit(slot, 0, 0) == milliseconds(500));
    CHECK(retry_after_limit(slot, 0, 1) == milliseconds(1500));
    for (double const drawn : { 0.0, 0.5, 1.0 })
        CHECK(retry_after_limit(slot, 2, drawn) > retry_after_limit(slot, 0, drawn));
    CHECK(retry_after_limit(slot, 1000, 0) == retry_after_limit(slot, 3, 0));
}

TEST_CASE("an endpoint's limit holds for any number of boxes that restart, fail and have wrong clocks")
{
    using namespace RateLimitPlay;
    for (std::size_t const boxes : { 1, 6, 88, 300 }) {
        for (double const limit : { 0.0, 0.2, 1.0, 20.0 }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                auto const result = Simulation({ boxes, limit, 5, SlotSchedule {}, seed }).run();
                CAPTURE(boxes);
                CAPTURE(limit);
                CAPTURE(seed);
                CHECK(result.most_in_window <= allowed(limit));
            }
        }
    }
}

TEST_CASE("boxes use most of an endpoint's limit, also after some of them failed")
{
    using namespace RateLimitPlay;
    for (std::size_t const boxes : { 6, 88, 300 }) {
        auto const result = Simulation({ boxes, 20, 5, SlotSchedule {}, 1 }).run();
        CHECK(result.used >= 0.8);
        CHECK(result.used_after_loss >= 0.6);
    }
}

TEST_CASE("the simulation shows that other strategies exceed the limit")
{
    using namespace RateLimitPlay;
    CHECK(Simulation({ 6, 1, 5, IgnoredLimit {}, 1 }).run().most_in_window > allowed(1));
    CHECK(Simulation({ 300, 20, 5, EqualShares {}, 1 }).run().most_in_window > allowed(20));
}
