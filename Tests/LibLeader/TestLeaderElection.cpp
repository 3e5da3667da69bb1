#include <TestMain.h>

#include <LibLeader/LeaderElection.h>

using namespace Leader;

namespace {

constexpr Duration lease { std::chrono::seconds(3) };

Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

LeaderElection started_at(std::int64_t milliseconds)
{
    LeaderElection election(lease);
    election.started(at(milliseconds));
    return election;
}

Announcement leader(std::uint64_t token, bool has_resigned = false)
{
    return { token, "leader", 0, 0, 0, has_resigned, {} };
}

}

TEST_CASE("a box claims after a whole lease without announcements, the first of the order before the next")
{
    auto const election = started_at(1000);
    CHECK_FALSE(election.may_claim(0, at(3999)));
    CHECK(election.may_claim(0, at(4000)));
    CHECK_FALSE(election.may_claim(1, at(4000)));
    CHECK(election.may_claim(1, at(4300)));
}

TEST_CASE("boxes that all start for the first time do not wait for a leader")
{
    LeaderElection election(lease);
    election.started(at(1000), true);
    CHECK_FALSE(election.may_claim(0, at(2200)));
    CHECK(election.may_claim(0, at(2300)));
    CHECK_FALSE(election.may_claim(3, at(3100)));
}

TEST_CASE("an announcement of a leader restarts the lease")
{
    auto election = started_at(0);
    REQUIRE(election.receive(leader(5), at(2900)));
    CHECK_FALSE(election.may_claim(0, at(5800)));
    CHECK(election.may_claim(0, at(5900)));
}

TEST_CASE("an announcement of an earlier leader is ignored")
{
    auto election = started_at(0);
    REQUIRE(election.receive(leader(5), at(1000)));
    CHECK_FALSE(election.receive(leader(4), at(3900)));
    CHECK(election.may_claim(0, at(4000)));
    CHECK(election.leader()->token == 5);
}

TEST_CASE("boxes claim at once after a leader resigned, one after the other")
{
    auto election = started_at(0);
    REQUIRE(election.receive(leader(5, true), at(1000)));
    CHECK(election.may_claim(0, at(1000)));
    CHECK_FALSE(election.may_claim(2, at(1500)));
    CHECK(election.may_claim(2, at(1600)));
}

TEST_CASE(
    "a former leader waits for two leases, so that the shared time does not alternate between leaders within a lease")
{
    auto election = started_at(0);
    election.claim_succeeded(leader(5), at(4000));
    election.stepped_down(at(5000));
    CHECK_FALSE(election.may_claim(0, at(10'999)));
    CHECK(election.may_claim(0, at(11'000)));
}

TEST_CASE("failed claims are retried at growing intervals")
{
    auto election = started_at(0);
    election.claim_failed(at(4000));
    CHECK_FALSE(election.may_claim(0, at(4999)));
    CHECK(election.may_claim(0, at(5000)));
    election.claim_failed(at(5000));
    CHECK_FALSE(election.may_claim(0, at(6999)));
    CHECK(election.may_claim(0, at(7000)));
}

TEST_CASE("a box that was suspended waits for a lease before it claims")
{
    auto election = started_at(0);
    election.after_suspension(at(9000));
    CHECK_FALSE(election.may_claim(0, at(11'999)));
    CHECK(election.may_claim(0, at(12'000)));
}
