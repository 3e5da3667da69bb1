#include <TestMain.h>

#include <LibRouting/EndedProcesses.h>

namespace {

using namespace Routing;

Instant at(int milliseconds)
{
    return Instant { std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds) };
}

constexpr EndpointId endpoint { 1 };

}

// Guards against streams that go on at two software versions: an endpoint starts again with another version while the
// store is away, and the boxes still have the entry of the process before it.
TEST_CASE("the entry of a process that ended is outdated until the list was known for some seconds afterwards")
{
    ListConfirmations list;
    EndedProcesses ended;
    for (int time = 0; time <= 2000; time += 500)
        list.confirm(at(time));
    CHECK_FALSE(ended.is_entry_outdated(endpoint, list));
    ended.note(endpoint, at(2000));
    CHECK(ended.is_entry_outdated(endpoint, list));
    SUBCASE("while the store works")
    {
        for (int time = 2500; time <= 5500; time += 500)
            list.confirm(at(time));
        CHECK(ended.is_entry_outdated(endpoint, list));
        list.confirm(at(6000));
        CHECK_FALSE(ended.is_entry_outdated(endpoint, list));
    }
    SUBCASE("counted from the store's return, if it was away")
    {
        list.confirm(at(20'000));
        CHECK(ended.is_entry_outdated(endpoint, list));
        for (int time = 20'500; time <= 24'000; time += 500)
            list.confirm(at(time));
        CHECK_FALSE(ended.is_entry_outdated(endpoint, list));
    }
    SUBCASE("counted anew, if the list became uncertain")
    {
        list.mark_uncertain();
        CHECK(ended.is_entry_outdated(endpoint, list));
    }
    SUBCASE("not for another endpoint, nor for one that was forgotten")
    {
        CHECK_FALSE(ended.is_entry_outdated(EndpointId { 2 }, list));
        ended.forget(endpoint);
        CHECK_FALSE(ended.is_entry_outdated(endpoint, list));
    }
}
