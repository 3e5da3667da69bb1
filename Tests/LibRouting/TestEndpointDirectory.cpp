#include <TestMain.h>

#include <LibRouting/EndpointDirectory.h>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointRecord record(std::string incarnation, bool draining = false)
{
    return { std::move(incarnation), "pool", { "10.0.0.1", 80 }, "hall", 4, draining };
}

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

}

TEST_CASE("a draining endpoint gets no new requests, and its change is reported once")
{
    EndpointDirectory directory;
    CHECK(directory.put(record("a")));
    CHECK_FALSE(directory.put(record("a")));
    CHECK(directory.usable("pool", at(seconds(0))).size() == 1);
    CHECK(directory.usable("other", at(seconds(0))).empty());
    CHECK(directory.put(record("a", true)));
    CHECK(directory.usable("pool", at(seconds(0))).empty());
    CHECK(directory.size() == 1);
}

TEST_CASE("an entry that vanishes while the store is available is removed at once")
{
    EndpointDirectory directory;
    directory.put(record("a"));
    auto const id = directory.usable("pool", at(seconds(0))).front()->id;
    directory.remove("a", at(seconds(0)));
    CHECK(directory.usable("pool", at(seconds(0))).empty());
    CHECK(directory.find(id) == nullptr);
    CHECK(directory.take_removed() == std::vector { id });
    CHECK(directory.take_removed().empty());
}

TEST_CASE("an entry that lapsed during an outage of the store is kept for two seconds after the outage")
{
    EndpointDirectory directory;
    directory.put(record("back"));
    directory.put(record("gone"));
    directory.store_returned(at(seconds(0)));
    directory.replace_all({}, at(milliseconds(10)));
    CHECK(directory.usable("pool", at(milliseconds(10))).size() == 2);
    directory.put(record("back"));
    directory.expire(at(milliseconds(1900)));
    CHECK(directory.usable("pool", at(milliseconds(1900))).size() == 2);
    CHECK(directory.usable("pool", at(milliseconds(2001))).size() == 1);
    directory.expire(at(milliseconds(2001)));
    CHECK(directory.size() == 1);
    CHECK(directory.take_removed().size() == 1);
}

TEST_CASE("an endpoint whose address belongs to another one gets no requests, and a new incarnation gets a new id")
{
    EndpointDirectory directory;
    directory.put(record("a"));
    auto const id = directory.usable("pool", at(seconds(0))).front()->id;
    directory.mark_replaced(id);
    CHECK(directory.usable("pool", at(seconds(0))).empty());
    directory.put(record("b"));
    REQUIRE(directory.usable("pool", at(seconds(0))).size() == 1);
    CHECK(directory.usable("pool", at(seconds(0))).front()->id != id);
}

TEST_CASE("an endpoint that lost its address to another one is used again at its next address")
{
    EndpointDirectory directory;
    directory.put(record("a"));
    auto const id = directory.usable("pool", at(seconds(0))).front()->id;
    directory.mark_replaced(id);
    directory.put(record("a"));
    CHECK(directory.usable("pool", at(seconds(0))).empty());
    auto moved = record("a");
    ++moved.address.port;
    directory.put(moved);
    auto const usable = directory.usable("pool", at(seconds(0)));
    REQUIRE(usable.size() == 1);
    CHECK(usable.front()->id == id);
}

namespace {

EndpointRecord instance(std::uint64_t started_at)
{
    auto instance = record("a");
    instance.started_at = started_at;
    return instance;
}

EndpointId id_of(EndpointDirectory const& directory)
{
    auto const usable = directory.usable("pool", at(seconds(0)));
    REQUIRE(usable.size() == 1);
    return usable.front()->id;
}

}

/// Guards against state of the previous instance being applied to a restarted endpoint, which would then get no
/// requests or seem loaded. An incarnation alone does not identify an instance.
TEST_CASE("a restarted endpoint is a new instance")
{
    EndpointDirectory directory;
    directory.put(instance(1000));
    auto const before = id_of(directory);
    directory.mark_replaced(before);
    CHECK(directory.usable("pool", at(seconds(0))).empty());
    SUBCASE("with a later start time")
    {
        CHECK(directory.put(instance(2000)));
    }
    SUBCASE("with an earlier start time, since its clock was set back")
    {
        CHECK(directory.put(instance(500)));
    }
    auto const after = id_of(directory);
    CHECK(after != before);
    CHECK(directory.find(before) == nullptr);
    CHECK(directory.take_removed() == std::vector { before });
    CHECK(directory.size() == 1);
}

TEST_CASE("an endpoint with other software is a new instance, but not one whose version a report lacks")
{
    EndpointDirectory directory;
    auto listed = instance(1000);
    listed.version = "v1";
    directory.put(listed);
    auto const before = id_of(directory);
    CHECK_FALSE(directory.put(instance(1000)));
    CHECK(id_of(directory) == before);
    CHECK(directory.find(before)->record.version == "v1");
    listed.version = "v1.2";
    CHECK(directory.put(listed));
    CHECK(id_of(directory) != before);
}

TEST_CASE("a late report of an earlier instance doesn't restore it")
{
    EndpointDirectory directory;
    directory.put(instance(1000));
    SUBCASE("while the later instance is listed")
    {
        directory.put(instance(2000));
    }
    SUBCASE("with its entry removed in between")
    {
        directory.remove("a", at(seconds(0)));
        directory.put(instance(2000));
    }
    auto const newest = id_of(directory);
    CHECK(directory.is_earlier_instance(instance(1000)));
    CHECK_FALSE(directory.put(instance(1000)));
    CHECK(id_of(directory) == newest);
    directory.remove("a", at(seconds(0)));
    CHECK_FALSE(directory.put(instance(1000)));
    CHECK(directory.size() == 0);
    // The later instance itself may return, as after an outage of the store.
    CHECK(directory.put(instance(2000)));
}

TEST_CASE("a record without a start time changes no instance and gets the start time of a later record")
{
    EndpointDirectory directory;
    directory.put(instance(1000));
    auto const known = id_of(directory);
    CHECK_FALSE(directory.put(record("a")));
    CHECK(id_of(directory) == known);
    CHECK(directory.find(known)->record.started_at == 1000);

    EndpointDirectory other;
    other.put(record("a"));
    auto const without_start = id_of(other);
    CHECK(other.put(instance(1000)));
    CHECK(id_of(other) == without_start);
    CHECK(other.put(instance(2000)));
    CHECK(id_of(other) != without_start);
}

TEST_CASE("an endpoint that restarts forever uses bounded memory")
{
    EndpointDirectory directory;
    constexpr std::uint64_t many = 5000;
    for (std::uint64_t start = 1; start <= many; ++start) {
        directory.put(instance(start));
        auto gone = record("gone-" + std::to_string(start));
        gone.started_at = start;
        directory.put(gone);
        directory.remove(gone.incarnation, at(seconds(0)));
    }
    CHECK(directory.remembered_instances() <= 2 * 1024 + 2);
    CHECK(directory.size() == 1);
}
