#include <TestMain.h>

#include <LibMembership/DepartedEndpoints.h>
#include <LibMembership/StoreHistory.h>

namespace {

using namespace Membership;
using Heard = StoreHistory::Heard;

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

TEST_CASE("the first era heard is no return from a copy, a higher one is, and a lower one holds nothing")
{
    StoreHistory history;
    CHECK(history.hear(3, {}, at(0)) == Heard::SameHistory);
    CHECK_FALSE(history.risen_at());
    CHECK(history.hear(3, {}, at(100)) == Heard::SameHistory);
    CHECK(history.hear(4, {}, at(200)) == Heard::LaterHistory);
    CHECK(history.risen_at() == at(200));
    CHECK(history.hear(3, {}, at(300)) == Heard::EarlierHistory);
    CHECK(history.era() == 4);
}

TEST_CASE("who doesn't tell an era says nothing of it")
{
    StoreHistory history;
    CHECK(history.hear(0, {}, at(0)) == Heard::SameHistory);
    CHECK(history.hear(2, {}, at(0)) == Heard::SameHistory);
    CHECK(history.hear(0, {}, at(0)) == Heard::SameHistory);
    CHECK(history.era() == 2);
}

TEST_CASE("a box that starts just after a return hears of it from others, and settles with them")
{
    StoreHistory history;
    CHECK(history.hear(4, {}, at(1000)) == Heard::SameHistory);
    CHECK_FALSE(history.is_settling(at(1000)));
    CHECK(history.hear(4, at(500), at(1100)) == Heard::SameHistory);
    CHECK(history.is_settling(at(2500)));
    CHECK_FALSE(history.is_settling(at(2501)));
}

TEST_CASE("two returns in a row: each begins anew")
{
    StoreHistory history;
    static_cast<void>(history.hear(1, {}, at(0)));
    CHECK(history.hear(2, {}, at(1000)) == Heard::LaterHistory);
    CHECK(history.hear(3, {}, at(2500)) == Heard::LaterHistory);
    CHECK(history.is_settling(at(4500)));
    CHECK_FALSE(history.is_settling(at(4501)));
}

TEST_CASE("endpoints that left are taken out of a list until they write again, each life by itself")
{
    DepartedEndpoints departed;
    departed.left({ "a", 1 }, at(0));
    departed.left({ "b", 1 }, at(0));
    departed.came_back({ "b", 1 });
    std::vector<Routing::EndpointRecord> list { endpoint("a", 1), endpoint("a", 2), endpoint("b", 1), endpoint("c") };
    departed.remove_from(list, at(1000));
    CHECK(list == std::vector<Routing::EndpointRecord> { endpoint("a", 2), endpoint("b", 1), endpoint("c") });
}

TEST_CASE("who left long ago is forgotten, and so are the first of very many")
{
    DepartedEndpoints departed;
    departed.left({ "a", 1 }, at(0));
    std::vector<Routing::EndpointRecord> list { endpoint("a", 1) };
    departed.remove_from(list, at(60'001));
    CHECK(list.size() == 1);
    for (int number = 0; number < 2000; ++number)
        departed.left({ "e" + std::to_string(number), 1 }, at(1000 + number));
    list = { endpoint("e0", 1), endpoint("e1999", 1) };
    departed.remove_from(list, at(3100));
    CHECK(list == std::vector<Routing::EndpointRecord> { endpoint("e0", 1) });
}
