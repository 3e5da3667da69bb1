#include <TestMain.h>

#include <LibLeader/CountCollection.h>

using namespace Leader;

namespace {

constexpr Duration settling_time { std::chrono::milliseconds(1850) };

constexpr Instant at(int milliseconds)
{
    return Instant { std::chrono::hours(1) } + std::chrono::milliseconds(milliseconds);
}

}

// Guards against reports that lack the counts of a box. The new leader's list was older than that box, so the box heard
// of the leader only after the report.
TEST_CASE("a new leader waits for a list of boxes that was read during its term")
{
    CountCollection collection;
    collection.begin_term(at(0));
    CHECK_FALSE(collection.is_complete(at(1900), settling_time));
    collection.boxes_listed({}, at(1900));
    collection.boxes_listed(at(-10), at(1900));
    CHECK_FALSE(collection.is_complete(at(2000), settling_time));
    collection.boxes_listed(at(1990), at(2100));
    CHECK_FALSE(collection.is_complete(at(3949), settling_time));
    CHECK(collection.is_complete(at(3950), settling_time));
    // Further reads don't begin the time again.
    collection.boxes_listed(at(3940), at(3950));
    CHECK(collection.is_complete(at(3950), settling_time));
}

TEST_CASE("a list that can't be read delays the reports of a term for a limited time")
{
    CountCollection collection;
    collection.begin_term(at(0));
    CHECK_FALSE(collection.is_complete(at(5849), settling_time));
    CHECK(collection.is_complete(at(5850), settling_time));
}

TEST_CASE("each term waits anew")
{
    CountCollection collection;
    collection.begin_term(at(0));
    collection.boxes_listed(at(100), at(100));
    CHECK(collection.is_complete(at(2000), settling_time));
    collection.begin_term(at(2000));
    collection.boxes_listed(at(1900), at(2000));
    CHECK_FALSE(collection.is_complete(at(2000), settling_time));
    collection.boxes_listed(at(2010), at(2020));
    CHECK(collection.is_complete(at(3870), settling_time));
}
