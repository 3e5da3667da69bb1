#include <TestMain.h>

#include <LibMembership/DepartedEndpoints.h>
#include <LibMembership/StoreHistory.h>

namespace {

using namespace Membership;
using Relation = StoreHistory::Relation;

Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

Routing::EndpointRecord endpoint(std::string const& id, std::uint64_t started_at = 0)
{
    Routing::EndpointRecord record;
    record.incarnation = id;
    record.started_at = started_at;
    return record;
}

}

TEST_CASE("the first observed era is no restore, a higher one is, and a lower one is not valid")
{
    StoreHistory history;
    CHECK(history.observe(3, {}, at(0)) == Relation::SameHistory);
    CHECK_FALSE(history.era_began_at());
    CHECK(history.observe(3, {}, at(100)) == Relation::SameHistory);
    CHECK(history.observe(4, {}, at(200)) == Relation::LaterHistory);
    CHECK(history.era_began_at() == at(200));
    CHECK(history.observe(3, {}, at(300)) == Relation::EarlierHistory);
    CHECK(history.era() == 4);
}

TEST_CASE("a response without an era changes nothing")
{
    StoreHistory history;
    CHECK(history.observe(0, {}, at(0)) == Relation::SameHistory);
    CHECK(history.observe(2, {}, at(0)) == Relation::SameHistory);
    CHECK(history.observe(0, {}, at(0)) == Relation::SameHistory);
    CHECK(history.era() == 2);
}

TEST_CASE("a box that starts just after a restore learns of it from other boxes, and settles when they do")
{
    StoreHistory history;
    CHECK(history.observe(4, {}, at(1000)) == Relation::SameHistory);
    CHECK_FALSE(history.is_settling(at(1000)));
    CHECK(history.observe(4, at(500), at(1100)) == Relation::SameHistory);
    CHECK(history.is_settling(at(2500)));
    CHECK_FALSE(history.is_settling(at(2501)));
}

TEST_CASE("two restores in a row: each settles separately")
{
    StoreHistory history;
    static_cast<void>(history.observe(1, {}, at(0)));
    CHECK(history.observe(2, {}, at(1000)) == Relation::LaterHistory);
    CHECK(history.observe(3, {}, at(2500)) == Relation::LaterHistory);
    CHECK(history.is_settling(at(4500)));
    CHECK_FALSE(history.is_settling(at(4501)));
}

TEST_CASE("departed endpoints are removed from a list until they write again, each instance separately")
{
    DepartedEndpoints departed;
    departed.add({ "a", 1 }, at(0));
    departed.add({ "b", 1 }, at(0));
    departed.remove({ "b", 1 });
    std::vector<Routing::EndpointRecord> list { endpoint("a", 1), endpoint("a", 2), endpoint("b", 1), endpoint("c") };
    departed.remove_from(list, at(1000));
    CHECK(list == std::vector<Routing::EndpointRecord> { endpoint("a", 2), endpoint("b", 1), endpoint("c") });
}

TEST_CASE("endpoints that departed long ago are forgotten, and so are the oldest of very many")
{
    DepartedEndpoints departed;
    departed.add({ "a", 1 }, at(0));
    std::vector<Routing::EndpointRecord> list { endpoint("a", 1) };
    departed.remove_from(list, at(60'001));
    CHECK(list.size() == 1);
    for (int number = 0; number < 2000; ++number)
        departed.add({ "e" + std::to_string(number), 1 }, at(1000 + number));
    list = { endpoint("e0", 1), endpoint("e1999", 1) };
    departed.remove_from(list, at(3100));
    CHECK(list == std::vector<Routing::EndpointRecord> { endpoint("e0", 1) });
}
