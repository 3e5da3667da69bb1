#include <TestMain.h>

#include "RelayedRecords.h"

/// Records of endpoints that the store wrote late: a write whose answer was lost may be carried out seconds later,
/// after newer records of the same endpoint.
namespace {

using namespace RelayedRecords;

Adapter::KeyedRecord entry(std::string const& state, std::uint64_t started_at = 5000)
{
    auto record = endpoint("a", state);
    record.value->insert(1, "\"born\":" + std::to_string(started_at) + ",");
    return record;
}

Adapter::KeyedRecord const removed { "a", std::nullopt };

std::size_t usable(Box const& box)
{
    return box.state.router.usable_endpoints("s", Core::monotonic_now());
}

/// A box that has read the list with this record of the endpoint and that of another one.
struct ReadingBox : Box {
    explicit ReadingBox(int number, Adapter::KeyedRecord const& record)
        : Box(number)
    {
        this->read(7, { record, endpoint("other") }, at(1000));
    }

    void append(Adapter::KeyedRecord const& record, int milliseconds)
    {
        this->apply_endpoints({ record }, at(milliseconds), Coverage::UpToEnd);
    }
};

/// The state that the box passes on for the endpoint to one that has the list up to `known`; empty for none.
std::string state_passed_on(Box& box, Instant known)
{
    auto request = box.records.request(at(9000));
    request.revision = offset_at(known);
    auto const answer = box.records.answer(request, any_length, at(9000));
    REQUIRE(answer);
    for (auto const& change : answer->endpoints.changes) {
        if (change.incarnation == "a")
            return !change.record ? "removed" : change.record->draining ? "draining" : "ready";
    }
    return "";
}

}

// Guards against requests to an endpoint seconds after it began to drain, which are lost when it ends.
TEST_CASE("a heartbeat that is written late doesn't take a draining state back")
{
    ReadingBox box(1, entry("ready"));
    REQUIRE(usable(box) == 2);
    box.append(entry("draining"), 4000);
    REQUIRE(usable(box) == 1);
    SUBCASE("in a read of the log")
    {
        box.append(entry("ready"), 6000);
    }
    SUBCASE("in a read of the newest records")
    {
        box.apply_endpoints({ entry("ready"), endpoint("other") }, at(6000), Coverage::WholeList);
    }
    SUBCASE("after the entry was removed")
    {
        box.append(removed, 5000);
        box.append(entry("ready"), 6000);
    }
    SUBCASE("in a read of the newest records after the entry was removed")
    {
        box.append(removed, 5000);
        box.apply_endpoints({ entry("ready"), endpoint("other") }, at(6000), Coverage::WholeList);
    }
    CHECK(usable(box) == 1);
    CHECK(state_passed_on(box, at(3000)) != "ready");
    CHECK(box.state.metrics.to_text().find("cleatbeam_late_endpoint_records_total 1") != std::string::npos);
}

TEST_CASE("a new process under the id of one that drained is used")
{
    ReadingBox box(1, entry("ready"));
    box.append(entry("draining"), 4000);
    box.append(entry("ready", 9000), 6000);
    CHECK(usable(box) == 2);
}

TEST_CASE("a heartbeat that is written late doesn't bring back an endpoint that left without draining")
{
    ReadingBox box(1, entry("ready"));
    box.append(entry("ready"), 2000);
    SUBCASE("in a read of the log")
    {
        box.append(removed, 4000);
        box.append(entry("ready"), 6000);
    }
    SUBCASE("in a read of the newest records")
    {
        box.append(removed, 4000);
        box.apply_endpoints({ entry("ready"), endpoint("other") }, at(6000), Coverage::WholeList);
    }
    SUBCASE("with its removal seen in a read of the newest records")
    {
        box.apply_endpoints({ endpoint("other") }, at(4000), Coverage::WholeList);
        box.append(entry("ready"), 6000);
    }
    CHECK(usable(box) == 1);
    CHECK(state_passed_on(box, at(3000)) != "ready");
}

// Guards against endpoints that stay out of use although they are running: another writer's entry, or an outage of the
// store, took away their own.
TEST_CASE("an endpoint that writes its entry again after an unreadable one or an outage of the store is used at once")
{
    ReadingBox box(1, entry("ready"));
    box.append(entry("ready"), 2000);
    SUBCASE("unreadable")
    {
        box.append({ "a", "{" }, 3000);
    }
    SUBCASE("lapsed during an outage of the store")
    {
        box.records.store_returned(Core::monotonic_now());
        box.append(removed, 3000);
    }
    box.append(entry("ready"), 4000);
    CHECK(usable(box) == 2);
}

// Guards against a box that uses a process which drains, since it read a late record of the process before it and then
// ignored all of the later one.
TEST_CASE("a box that doesn't know the earlier process ignores its late record, and applies the later one's draining")
{
    ReadingBox box(1, entry("ready", 9000));
    box.append(entry("ready", 5000), 2000);
    box.append(entry("draining", 9000), 3000);
    CHECK(usable(box) == 1);
}

// Guards against boxes that go on using a draining endpoint: they first read the list after the late write, which holds
// only the late record.
TEST_CASE("a box that read only the late record learns from another box that the endpoint drains")
{
    ReadingBox informed(1, entry("ready"));
    informed.append(entry("draining"), 4000);
    informed.append(entry("ready"), 6000);
    Box starting(2);
    SUBCASE("when it asks for the changes since its own read")
    {
        starting.read(7, { entry("ready"), endpoint("other") }, at(5500));
        REQUIRE(usable(starting) == 2);
    }
    SUBCASE("when it asks for the whole list")
    {
        starting.records.set_next(Adapter::Topic::Operator, 10);
        starting.records.apply_operator_records({ configuration(7) }, at(5500), Coverage::WholeList);
    }
    REQUIRE(ask(starting, informed, at(6500)));
    CHECK(usable(starting) == 1);
}

TEST_CASE("a relay that read only the late record doesn't take a draining state back")
{
    ReadingBox informed(1, entry("ready"));
    informed.append(entry("draining"), 4000);
    Box starting(2);
    starting.read(7, { entry("ready"), endpoint("other") }, at(6000));
    REQUIRE(ask(informed, starting, at(6500)));
    CHECK(usable(informed) == 1);
}

// Guards against boxes that go on using an endpoint that has left: their relay, which took its entry for a late write,
// has nothing to remove when the entry goes, and they have it from another box.
TEST_CASE("the removal of an entry that a relay ignored reaches boxes that have it from elsewhere")
{
    ReadingBox relay(1, entry("ready"));
    relay.append(removed, 2000);
    relay.append(entry("ready"), 4000);
    REQUIRE(usable(relay) == 1);
    Box follower(2);
    follower.read(7, { entry("ready"), endpoint("other") }, at(4500));
    relay.append(endpoint("other"), 5000);
    REQUIRE(ask(follower, relay, at(5500)));
    REQUIRE(usable(follower) == 2);
    SUBCASE("in a read of the log")
    {
        relay.append(removed, 6000);
    }
    SUBCASE("in a read of the newest records")
    {
        relay.apply_endpoints({ endpoint("other") }, at(6000), Coverage::WholeList);
    }
    REQUIRE(ask(follower, relay, at(6500)));
    CHECK(usable(follower) == 1);
}
