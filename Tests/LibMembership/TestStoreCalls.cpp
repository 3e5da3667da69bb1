#include <TestMain.h>

#include "ControlWorld.h"
#include <set>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Test::ControlWorld;

/// Number of boxes in these tests: 295 in five failure domains.
constexpr std::size_t domains = 5;
constexpr std::size_t boxes_each = 59;

/// Age of the oldest data of any box at any time during this period.
Membership::Duration oldest_age_during(ControlWorld& world, Membership::Duration duration)
{
    Membership::Duration oldest_age { 0 };
    for (auto const end = world.now + duration; world.now < end;) {
        world.run(milliseconds(50));
        oldest_age = std::max(oldest_age, world.oldest_age());
    }
    return oldest_age;
}

}

// Guards against a reader per failure domain: with five readers, 295 boxes made 3,245 calls to the store in 62 s; with
// one reader for all domains, 789.
TEST_CASE("one box reads the store for hundreds, and the data of each stays well within the deadline")
{
    ControlWorld world(domains, boxes_each);
    world.run(seconds(5));
    CHECK(world.readers() == 1);
    world.calls = 0;
    auto const oldest_age = oldest_age_during(world, seconds(20));
    CHECK(oldest_age < ControlWorld::bound * 0.55);
    // Two topics, each 0.8 s.
    CHECK(world.calls <= 52);
}

TEST_CASE("the number of calls of a quiet second does not grow with the number of boxes")
{
    std::vector<std::size_t> calls;
    for (std::size_t const each : { 6UL, 20UL, 60UL }) {
        ControlWorld world(domains, each);
        world.run(seconds(5));
        world.calls = 0;
        world.run(seconds(10));
        calls.push_back(world.calls);
    }
    // One read more or less, depending on when the first one happened.
    CHECK(calls[1] <= calls[0] + 2);
    CHECK(calls[2] <= calls[0] + 2);
}

// Guards against many reads after the loss of a reader: each of the 58 boxes that used it as a relay read the store
// twice.
TEST_CASE("the loss of the reader, and of its successor, causes few calls and no stale data")
{
    ControlWorld world(domains, boxes_each);
    world.run(seconds(2));
    std::vector<std::string> down;
    world.is_down = [&](std::string const& name) { return std::ranges::find(down, name) != down.end(); };
    world.calls = 0;
    for (int loss = 0; loss < 2; ++loss) {
        auto const lost = world.reader();
        REQUIRE(!lost.empty());
        down.push_back(lost);
        CHECK(oldest_age_during(world, seconds(5)) < ControlWorld::bound * 0.6);
    }
    CHECK(world.calls < 150);
}

// Guards against retries by all boxes: while the store did not respond for 8 s and all boxes restarted later, 295 boxes
// made 9,194 calls. In this simulation, pauses independent of the number of boxes lead to 3,290 calls in the 8 s,
// pauses that grow with it to 1,246, and retries of a single topic by boxes that are no relays to 958.
TEST_CASE("an unreachable store gets a limited number of calls, and all boxes have recent data soon after its return")
{
    ControlWorld world(domains, boxes_each);
    world.run(seconds(2));
    world.store_answers = [](std::string const&) { return false; };
    world.calls = 0;
    world.run(seconds(8));
    MESSAGE("calls in 8 s: ", world.calls);
    CHECK(world.calls < 1100);
    world.store_answers = [](std::string const&) { return true; };
    world.run(milliseconds(2500));
    CHECK(world.stale_boxes(milliseconds(ControlWorld::bound) * 11 / 20) == 0);
}

// The store may reject some boxes, the readers among them. These find a box that the store serves by trying the first
// boxes of the domains in turn.
TEST_CASE("boxes that the store rejects get their data from boxes that it serves")
{
    ControlWorld world(domains, boxes_each);
    world.run(seconds(2));
    auto const reader = world.reader();
    SUBCASE("the store rejects the reader alone")
    {
        world.store_answers = [reader](std::string const& name) { return name != reader; };
    }
    SUBCASE("the store rejects the reader's whole failure domain")
    {
        auto const domain = reader.substr(0, reader.rfind('-'));
        world.store_answers = [domain](std::string const& name) { return !name.starts_with(domain + "-"); };
    }
    SUBCASE("the store rejects every second box")
    {
        world.store_answers = [](std::string const& name) { return (name.back() - '0') % 2 == 0; };
    }
    world.calls = 0;
    auto const oldest_age = oldest_age_during(world, seconds(10));
    MESSAGE("oldest in ms: ", Core::to_milliseconds(oldest_age), ", calls: ", world.calls);
    CHECK(oldest_age < ControlWorld::bound * 0.75);
    CHECK(world.calls < 1600);
}

// Guards against a slow start after a power loss: a third of 87 boxes refused all clients for 0.46 s, each waiting for
// a relay that had no power yet.
TEST_CASE("boxes that all start together have data within half a second, with few calls to the store")
{
    ControlWorld world(domains, boxes_each);
    world.run(seconds(3));
    world.restart_all();
    world.calls = 0;
    CHECK(oldest_age_during(world, seconds(3)) < ControlWorld::bound * 0.55);
    MESSAGE("calls: ", world.calls);
    CHECK(world.calls < 300);
}

namespace {

/// A small world in which boxes randomly crash, restart and are rejected by the store.
class FaultyWorld {
public:
    explicit FaultyWorld(std::uint64_t seed)
        : random(seed)
    {
        this->world.run(seconds(2));
        this->world.is_down = [this](std::string const& name) { return this->down.contains(name); };
        this->world.store_answers = [this](std::string const& name) { return !this->rejected.contains(name); };
    }

    void draw_faults()
    {
        for (auto const& name : this->world.names()) {
            this->draw_fault(this->random(2) == 0 ? this->down : this->rejected, name);
            if (this->down.contains(name) || this->rejected.contains(name))
                this->healthy_since.erase(name);
            else
                this->healthy_since.try_emplace(name, this->world.now);
        }
        if (this->random(10) == 0)
            this->world.restart_all();
    }

    /// Age of the oldest data, in the next 50 ms, of any box that has been running and served by the store for a while.
    [[nodiscard]] Membership::Duration oldest_age_of_healthy_boxes()
    {
        this->world.run(milliseconds(50));
        Membership::Duration oldest_age { 0 };
        for (auto const& [name, age] : this->world.ages()) {
            auto const since = this->healthy_since.find(name);
            if (since != this->healthy_since.end() && this->world.now - since->second > ControlWorld::bound)
                oldest_age = std::max(oldest_age, age);
        }
        return oldest_age;
    }

private:
    void draw_fault(std::set<std::string>& faulty, std::string const& name)
    {
        if (faulty.contains(name)) {
            if (this->random(2) == 0)
                faulty.erase(name);
        } else if (this->random(4) == 0) {
            faulty.insert(name);
        }
    }

    ControlWorld world { 3, 8 };
    pcg32 random;
    std::set<std::string> down;
    std::set<std::string> rejected;
    std::map<std::string, Membership::Instant> healthy_since;
};

}

// A box that the store serves must have recent data, whatever happens to its relays.
TEST_CASE("a box that the store serves always has recent data, whatever other boxes crash, start or are rejected")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FaultyWorld world(seed);
        for (int fault = 0; fault < 20; ++fault) {
            world.draw_faults();
            for (int step = 0; step < 40; ++step)
                REQUIRE(world.oldest_age_of_healthy_boxes() < ControlWorld::bound * 0.7);
        }
    }
}
