#include <TestMain.h>

#include <LibRouting/BrittleEndpoints.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr EndpointId endpoint { 1 };
Instant const start = Instant {} + seconds(1000);
constexpr double max_rejections = 6;
std::string const service = "desk";
constexpr unsigned slots = 12;

EndpointRoom room_with(double running)
{
    return { "e1", slots, running, 0, seconds(1) };
}

std::vector<BoxGroup> groups_of(std::size_t box_count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < box_count; ++number)
        names.push_back("box-" + std::to_string(number));
    std::vector<BoxGroup> groups;
    groups.reserve(box_count);
    for (auto const& name : names)
        groups.emplace_back(name, names);
    return groups;
}

/// An endpoint that has had two rejections of a second, as a box knows it.
BrittleEndpoints endangered()
{
    BrittleEndpoints endpoints;
    endpoints.apply_answer(service, max_rejections, start - seconds(20));
    CHECK_FALSE(endpoints.rejected(endpoint, max_rejections, start - milliseconds(1)));
    CHECK(endpoints.rejected(endpoint, max_rejections, start));
    return endpoints;
}

/// The most requests beyond their own slots that boxes with unbounded demand send to a full endpoint within any second
/// after all know that it is endangered.
int most_in_a_second(std::size_t box_count, Duration duration)
{
    auto const groups = groups_of(box_count);
    std::vector<BrittleEndpoints> states(box_count, endangered());
    std::vector<Instant> sent;
    for (auto now = start; now < start + duration; now += milliseconds(5)) {
        for (std::size_t number = 0; number < box_count; ++number) {
            auto const limit = states[number].limit_of(endpoint, service, room_with(slots), now);
            SharedLimit const shared { limit, "e1", groups[number],
                static_cast<SharedMicroseconds>(now.time_since_epoch().count()) };
            if (!states[number].may_send(endpoint, shared, SendPriority::High))
                continue;
            states[number].count_send(endpoint, shared);
            sent.push_back(now);
        }
    }
    int most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        int count = 0;
        for (auto at = first; at < sent.size() && sent[at] < sent[first] + seconds(1); ++at)
            ++count;
        most = std::max(most, count);
    }
    return most;
}

}

TEST_CASE("in the seconds after a full endpoint was endangered all boxes together send no more than it may reject")
{
    for (std::size_t const boxes : { 1U, 6U, 88U, 985U, 1970U }) {
        CAPTURE(boxes);
        CHECK(most_in_a_second(boxes, seconds(2)) <= max_rejections);
    }
}

TEST_CASE("the own slots of all boxes together are no more than the endpoint has, and most of them")
{
    for (std::size_t const boxes : { 1U, 6U, 88U, 985U, 1970U }) {
        for (unsigned const count : { 1U, 6U, 12U, 64U }) {
            CAPTURE(boxes);
            CAPTURE(count);
            unsigned owned = 0;
            for (auto const& group : groups_of(boxes)) {
                BrittleEndpoints endpoints;
                EndpointRoom room { "e1", count, 0, 0, seconds(1) };
                for (; endpoints.has_own_slot(endpoint, room, group, start); ++room.own_running)
                    ++owned;
            }
            CHECK(owned == count * 3 / 4);
        }
    }
}

TEST_CASE("the limit doubles each second after danger, and stays at its maximum while the endpoint is full")
{
    auto const endpoints = endangered();
    auto const full = room_with(slots);
    auto const limit_after = [&](auto time) { return endpoints.limit_of(endpoint, service, full, start + time); };
    auto const most = limit_after(seconds(3));
    CHECK(limit_after(seconds(0)) == most / 8);
    CHECK(limit_after(milliseconds(1500)) == most / 4);
    CHECK(limit_after(milliseconds(2900)) == most / 2);
    CHECK(limit_after(std::chrono::hours(1)) == most);
    CHECK(most <= 2 * max_rejections);
    CHECK_FALSE(endpoints.has_room_for_all(endpoint, service, full, start + std::chrono::hours(1)));
}

TEST_CASE("an endpoint is limited until it has had room for some time")
{
    auto const endpoints = endangered();
    auto const empty = room_with(1);
    CHECK_FALSE(endpoints.has_room_for_all(endpoint, service, empty, start + milliseconds(9900)));
    CHECK(endpoints.has_room_for_all(endpoint, service, empty, start + seconds(10)));
    CHECK(endpoints.limit_of(endpoint, service, empty, start)
        > endpoints.limit_of(endpoint, service, room_with(8), start));
    BrittleEndpoints just_told;
    just_told.apply_answer(service, max_rejections, start);
    CHECK_FALSE(just_told.has_room_for_all(endpoint, service, empty, start + seconds(1)));
}

TEST_CASE("a late report of a rejection doesn't shorten the limit")
{
    auto endpoints = endangered();
    auto const before = endpoints.limit_of(endpoint, service, room_with(slots), start);
    static_cast<void>(endpoints.rejected(endpoint, max_rejections, start - seconds(3)));
    CHECK(endpoints.limit_of(endpoint, service, room_with(slots), start) == before);
}

TEST_CASE("an endpoint that had to reject half of what it bears gets nothing for the rest of the second")
{
    auto endpoints = endangered();
    CHECK_FALSE(endpoints.is_paused(endpoint, start));
    static_cast<void>(endpoints.rejected(endpoint, max_rejections, start + milliseconds(200)));
    CHECK(endpoints.is_paused(endpoint, start + milliseconds(200)));
    CHECK(endpoints.is_paused(endpoint, start + milliseconds(998)));
    CHECK_FALSE(endpoints.is_paused(endpoint, start + milliseconds(1000)));
}

TEST_CASE("a box whose request was rejected doesn't use its own slots there for a second")
{
    auto const group = groups_of(1).front();
    BrittleEndpoints endpoints;
    CHECK(endpoints.has_own_slot(endpoint, room_with(0), group, start));
    endpoints.count_own_rejection(endpoint, start);
    CHECK_FALSE(endpoints.has_own_slot(endpoint, room_with(0), group, start + milliseconds(999)));
    CHECK(endpoints.has_own_slot(endpoint, room_with(0), group, start + seconds(1)));
}

TEST_CASE("an endpoint that bears no rejection gets few requests, and one that reports nothing any more is as others")
{
    BrittleEndpoints endpoints;
    endpoints.apply_answer(service, 0, start);
    CHECK(endpoints.is_brittle(service));
    CHECK(endpoints.rejected(endpoint, 0, start));
    CHECK(endpoints.limit_of(endpoint, service, room_with(slots), start) <= 0.5);
    CHECK(endpoints.is_paused(endpoint, start));
    endpoints.apply_answer(service, {}, start);
    CHECK_FALSE(endpoints.is_brittle(service));
}

TEST_CASE("an endpoint that has not answered yet is taken to be as brittle as the others of its service")
{
    BrittleEndpoints endpoints;
    CHECK_FALSE(endpoints.is_brittle(service));
    endpoints.apply_answer(service, max_rejections, start);
    CHECK(endpoints.is_brittle(service));
    CHECK_FALSE(endpoints.is_brittle("model"));
    endpoints.apply_answer(service, {}, start);
    CHECK_FALSE(endpoints.is_brittle(service));
}
