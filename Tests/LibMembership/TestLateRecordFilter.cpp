#include <TestMain.h>

#include <LibMembership/LateRecordFilter.h>

namespace {

using namespace Membership;

Instant at(int milliseconds)
{
    return Instant { std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds) };
}

Routing::EndpointRecord endpoint(std::uint64_t started_at, bool draining = false)
{
    Routing::EndpointRecord record { "a", "s", { "10.0.0.1", 80 }, "hall", 4, draining };
    record.started_at = started_at;
    return record;
}

constexpr std::uint64_t start = 5000;
constexpr auto none = std::optional<Lateness> {};

/// A filter that read a heartbeat of the endpoint at each of these times.
LateRecordFilter after_heartbeats(std::initializer_list<int> times)
{
    LateRecordFilter filter;
    for (auto const time : times)
        filter.record_accepted(endpoint(start), RecordSource::Store, at(time));
    return filter;
}

}

TEST_CASE("a ready record of a process that drains is late, from the store and from a relay, however late it is")
{
    LateRecordFilter filter;
    auto const draining = endpoint(start, true);
    filter.record_accepted(draining, RecordSource::Store, at(0));
    for (auto const source : { RecordSource::Store, RecordSource::Relay }) {
        CHECK(filter.lateness_of(endpoint(start), &draining, source, at(2600)) == Lateness::AfterDraining);
        CHECK(filter.lateness_of(endpoint(start), &draining, source, at(600'000)) == Lateness::AfterDraining);
        CHECK(filter.lateness_of(endpoint(start, true), &draining, source, at(1200)) == none);
    }
}

TEST_CASE("a ready record of a process that drained is late after its entry was removed as well")
{
    LateRecordFilter filter;
    filter.record_accepted(endpoint(start, true), RecordSource::Relay, at(0));
    filter.entry_removed({ "a", start }, at(1000));
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(30'000)) == Lateness::AfterDraining);
    CHECK(filter.lateness_of(endpoint(start + 9000), nullptr, RecordSource::Store, at(3000)) == none);
}

TEST_CASE("a record of a process that left without draining is late while a late write can have an effect")
{
    auto filter = after_heartbeats({ 0, 1200, 2400 });
    filter.entry_removed({ "a", start }, at(3200));
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(5800)) == Lateness::AfterRemoval);
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(15'200)) == Lateness::AfterRemoval);
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(15'201)) == none);
    CHECK(filter.lateness_of(endpoint(start + 5000), nullptr, RecordSource::Store, at(4000)) == none);
}

TEST_CASE("after the store was restored from a copy, an endpoint that writes its entry is running, unless it drained")
{
    auto filter = after_heartbeats({ 0, 1200, 2400 });
    filter.entry_removed({ "a", start }, at(3200));
    filter.store_restored();
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(4000)) == none);

    LateRecordFilter drained;
    drained.record_accepted(endpoint(start, true), RecordSource::Store, at(0));
    drained.store_restored();
    CHECK(drained.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(1000)) == Lateness::AfterDraining);
}

TEST_CASE("what a relay considers current is not held back, since the relay passes it on only once")
{
    auto filter = after_heartbeats({ 0, 1200, 2400 });
    filter.entry_removed({ "a", start }, at(3200));
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Relay, at(5800)) == none);
}

// Guards against endpoints that lost the store for some seconds and stay out of use after they are listed again.
TEST_CASE("an endpoint whose heartbeats had stopped before its entry lapsed may return at once")
{
    auto filter = after_heartbeats({ 0, 1200 });
    filter.entry_removed({ "a", start }, at(4900));
    CHECK(filter.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(5500)) == none);

    LateRecordFilter relayed;
    relayed.record_accepted(endpoint(start), RecordSource::Relay, at(0));
    relayed.entry_removed({ "a", start }, at(100));
    CHECK(relayed.lateness_of(endpoint(start), nullptr, RecordSource::Store, at(500)) == none);
}

namespace {

Routing::EndpointRecord cold_endpoint(int cold_milliseconds)
{
    auto record = endpoint(start);
    record.cold_left = std::chrono::milliseconds(cold_milliseconds);
    return record;
}

/// Whether the filter takes the record, which was read at that time.
bool takes(LateRecordFilter& filter, Routing::EndpointRecord const& record, int time)
{
    auto const listed = cold_endpoint(10'000);
    auto const lateness = filter.lateness_of(record, &listed, RecordSource::Store, at(time));
    if (lateness)
        filter.record_ignored(record, *lateness, RecordSource::Store);
    else
        filter.record_accepted(record, RecordSource::Store, at(time));
    return !lateness;
}

}

// Guards against more requests to a cold endpoint than it can run: a late heartbeat from before it became cold says
// that it is warm.
TEST_CASE("an endpoint stays cold for as long as it said, until two records in a row say otherwise")
{
    LateRecordFilter filter;
    REQUIRE(takes(filter, cold_endpoint(10'000), 0));
    CHECK(takes(filter, cold_endpoint(8'000), 1200));
    CHECK_FALSE(takes(filter, cold_endpoint(0), 2000));
    SUBCASE("the next one says the same as before")
    {
        CHECK(takes(filter, cold_endpoint(7'600), 2400));
        CHECK_FALSE(takes(filter, cold_endpoint(0), 3000));
    }
    SUBCASE("the next one says that it is warm too")
    {
        CHECK(takes(filter, cold_endpoint(0), 3200));
        CHECK(takes(filter, cold_endpoint(0), 4400));
    }
    SUBCASE("the time has passed")
    {
        CHECK(takes(filter, cold_endpoint(0), 9000));
    }
    SUBCASE("the record says more than that")
    {
        auto draining = cold_endpoint(0);
        draining.draining = true;
        CHECK(takes(filter, draining, 2400));
    }
}

// Guards against a box that never applies the records of a process again, since it took a late record of the process
// before it for the newest one.
TEST_CASE("a record of an earlier start is late just after the later process was first seen")
{
    auto filter = after_heartbeats({ 0, 1200 });
    auto const listed = endpoint(start);
    CHECK(filter.lateness_of(endpoint(start - 3000), &listed, RecordSource::Store, at(1500))
        == Lateness::EarlierInstance);
    SUBCASE("later on, an earlier start is that of a process whose clock was set back")
    {
        CHECK(filter.lateness_of(endpoint(start - 3000), &listed, RecordSource::Store, at(12'001)) == none);
    }
    SUBCASE("a later start is a new process, which counts from when it was first seen")
    {
        filter.record_accepted(endpoint(start + 9000), RecordSource::Store, at(11'000));
        auto const restarted = endpoint(start + 9000);
        CHECK(filter.lateness_of(endpoint(start), &restarted, RecordSource::Store, at(14'000))
            == Lateness::EarlierInstance);
    }
}

// Guards against a running endpoint that stays out of use: the box that has just started took its entry's lapse for its
// departure, and the entry doesn't change any more.
TEST_CASE("an ignored record is current once a late write can't account for it any more, unless something followed it")
{
    auto filter = after_heartbeats({ 0, 1200, 2400 });
    filter.entry_removed({ "a", start }, at(3200));
    filter.record_ignored(endpoint(start), Lateness::AfterRemoval, RecordSource::Store);
    SUBCASE("nothing followed")
    {
        CHECK(filter.take_current(at(15'200)).empty());
        CHECK(filter.take_current(at(15'201)) == std::vector { endpoint(start) });
    }
    SUBCASE("the entry was removed")
    {
        filter.entry_ended("a");
    }
    SUBCASE("a later process wrote its entry")
    {
        filter.record_accepted(endpoint(start + 9000), RecordSource::Store, at(9000));
    }
    SUBCASE("the endpoint drains")
    {
        filter.record_accepted(endpoint(start, true), RecordSource::Store, at(9000));
    }
    SUBCASE("a whole list follows")
    {
        CHECK(filter.take_ignored() == std::vector<std::string> { "a" });
    }
    CHECK(filter.take_current(at(60'000)).empty());
}

TEST_CASE("a record that is late for good, or that a relay sent, doesn't become current")
{
    LateRecordFilter filter;
    filter.record_accepted(endpoint(start, true), RecordSource::Store, at(0));
    filter.record_ignored(endpoint(start), Lateness::AfterDraining, RecordSource::Store);
    filter.record_ignored(endpoint(start), Lateness::EarlierInstance, RecordSource::Relay);
    CHECK(filter.take_current(at(3'600'000)).empty());
}
