// Guards against a large configuration that never arrives over a slow link (541 KB over 10 Mbit/s): a limit on the
// whole transfer cancels the read each time and starts it again, until the configuration in force expires and requests
// are refused.

#include <TestMain.h>

#include "ScriptedStore.h"

using namespace Scripted;

namespace {

/// A configuration so large that its transfer takes 0.8 s or more, longer than the wait for an answer to begin, and
/// that is never silent for more than a few hundredths of that.
constexpr std::size_t slow_pieces = 48;
constexpr Core::Duration piece_gap = std::chrono::milliseconds(25);

std::string records(int version)
{
    return bytes_of(8, 8) + bytes_of(0, 8) + record("config", configuration(version));
}

std::string const nothing_new = bytes_of(8, 8) + bytes_of(0, 8);

/// A store that lists version 2 and then brings version 3 once, in the way given; nothing new after that.
FakeStore::Script then_version_3(std::function<Answer()> bring)
{
    return [bring = std::move(bring)](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, version_2 };
        if (target.find("from=7") == std::string::npos)
            return Answer { 200, nothing_new };
        return bring();
    };
}

}

TEST_CASE("a configuration whose transfer takes longer than the wait for an answer comes into force")
{
    int transfers = 0;
    Follower box(Adapter::Topic::Operator, then_version_3([&] {
        ++transfers;
        return Answer { 200, records(3), slow_pieces, piece_gap };
    }));
    REQUIRE(run_until(box.context, [&] { return box.version() == 3; }));
    CHECK(transfers == 1);
}

TEST_CASE("a box that starts reads a large configuration over a slow link")
{
    int transfers = 0;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (!begins_with(target, "/log-newest"))
            return Answer { 200, nothing_new };
        ++transfers;
        return Answer { 200, version_2, slow_pieces, piece_gap };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2; }));
    CHECK(transfers == 1);
}

TEST_CASE("an answer that falls silent half way is asked for again")
{
    int transfers = 0;
    Follower box(Adapter::Topic::Operator, then_version_3([&] {
        return Answer { 200, records(3), 2, Core::Duration { 0 }, ++transfers == 1 ? 1U : 2U };
    }));
    REQUIRE(run_until(box.context, [&] { return box.version() == 3; }));
    CHECK(transfers == 2);
}

// Guards against refusals although the newest version is in force: a long transfer uses up most of the lease, which
// counts from the request. The next read must not wait at the store, since only its answer renews the lease.
TEST_CASE("after a long transfer the next read renews the lease at once")
{
    constexpr StoreFollower::Pace waits { std::chrono::milliseconds(100), std::chrono::milliseconds(1) };
    Follower box(Adapter::Topic::Operator, then_version_3([] {
        return Answer { 200, records(3), slow_pieces, piece_gap };
    }),
        true, waits);
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() >= 4; }));
    CHECK(box.version() == 3);
    CHECK(box.store.targets[1].find("wait_ms=100") != std::string::npos);
    CHECK(box.store.targets[2].find("wait_ms") == std::string::npos);
    CHECK(box.store.targets[3].find("wait_ms=100") != std::string::npos);
}
