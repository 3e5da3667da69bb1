#include <TestMain.h>

#include <LibHttp/ConnectionBudget.h>

#include <optional>
#include <vector>

namespace {

using namespace Http;
using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t connection = ConnectionBudget::connection_bytes;

/// A client's connection that records how it had to give way.
struct Client {
    Client(ConnectionBudget& budget, ConnectionGroup& group, Instant now)
        : budgeted(budget.try_open(group, now))
    {
        if (this->budgeted)
            this->budgeted->set_on_evicted([this](Eviction how) { this->eviction = how; });
    }

    std::unique_ptr<BudgetedConnection> budgeted;
    std::optional<Eviction> eviction;
};

struct World {
    explicit World(MemoryLimits limits, std::size_t max_connections = 100)
        : budget(std::make_shared<ConnectionBudget>(limits))
        , group(this->budget->add_group(max_connections))
    {
    }

    Client& connect()
    {
        return *this->clients.emplace_back(std::make_unique<Client>(*this->budget, this->group, this->now));
    }
    /// A client that has been granted a body of that size.
    Client& send_body(std::size_t bytes)
    {
        auto& client = this->connect();
        client.budgeted->set_state(ConnectionState::ReadingBody, this->now);
        this->is_granted = client.budgeted->try_resize(bytes, this->now);
        return client;
    }
    void pass(Duration duration) { this->now += duration; }

    Instant now { 1h };
    std::shared_ptr<ConnectionBudget> budget;
    ConnectionGroup& group;
    std::vector<std::unique_ptr<Client>> clients;
    bool is_granted { false };
};

/// Room for two bodies of 100 KB beside three connections.
constexpr MemoryLimits two_bodies { 2 * 100 * kilobyte + 3 * connection, 0, 0 };

}

TEST_CASE("what connections take is counted until they are closed")
{
    World world(two_bodies);
    world.send_body(100 * kilobyte);
    CHECK(world.is_granted);
    CHECK(world.budget->used_bytes() == 100 * kilobyte + connection);
    world.clients.clear();
    CHECK(world.budget->used_bytes() == 0);
    CHECK(world.group.connections() == 0);
}

// Guards against a crowd of which each member takes a part and none is served.
TEST_CASE("bodies that were granted are completed, and further ones are refused")
{
    World world(two_bodies);
    auto const& first = world.send_body(100 * kilobyte);
    auto const& second = world.send_body(100 * kilobyte);
    auto const& third = world.send_body(100 * kilobyte);
    CHECK_FALSE(world.is_granted);
    CHECK_FALSE(first.eviction);
    CHECK_FALSE(second.eviction);
    CHECK_FALSE(third.eviction);
    CHECK(world.budget->counts() == BudgetCounts { 0, 1 });
}

// Guards against bodies that fill the memory because their clients never end them.
TEST_CASE("a body that has stopped gives way to another one")
{
    World world(two_bodies);
    auto const& stopped = world.send_body(100 * kilobyte);
    auto const& going_on = world.send_body(100 * kilobyte);
    for (int piece = 0; piece < 3; ++piece) {
        world.pass(500ms);
        going_on.budgeted->note_progress(100 * kilobyte, world.now);
    }
    world.send_body(100 * kilobyte);
    CHECK(world.is_granted);
    CHECK(stopped.eviction == Eviction::RefuseRequest);
    CHECK(stopped.budgeted->state() == ConnectionState::Refused);
    CHECK_FALSE(stopped.budgeted->try_resize(1, world.now));
    CHECK_FALSE(going_on.eviction);
}

// Guards against clients that keep their memory with a byte now and then.
TEST_CASE("a body of which a byte comes now and then gives way to another one")
{
    World world(two_bodies);
    auto const& dripping = world.send_body(100 * kilobyte);
    world.send_body(100 * kilobyte);
    dripping.budgeted->note_progress(90 * kilobyte, world.now);
    for (int byte = 0; byte < 12; ++byte) {
        world.pass(200ms);
        dripping.budgeted->note_progress(1, world.now);
        world.clients.back()->budgeted->note_progress(50 * kilobyte, world.now);
    }
    world.send_body(100 * kilobyte);
    CHECK(world.is_granted);
    CHECK(dripping.eviction == Eviction::RefuseRequest);
}

TEST_CASE("nobody is refused in vain if a request would not fit all the same")
{
    World world(two_bodies);
    auto const& stopped = world.send_body(100 * kilobyte);
    world.pass(2s);
    world.send_body(300 * kilobyte);
    CHECK_FALSE(world.is_granted);
    CHECK_FALSE(stopped.eviction);
}

TEST_CASE("a request that may be running is never refused for another one")
{
    World world(two_bodies);
    for (int number = 0; number < 2; ++number)
        world.send_body(100 * kilobyte).budgeted->set_state(ConnectionState::Serving, world.now);
    world.pass(10s);
    world.send_body(100 * kilobyte);
    CHECK_FALSE(world.is_granted);
    CHECK_FALSE(world.clients[0]->eviction);
    CHECK_FALSE(world.clients[1]->eviction);
}

// Guards against ordinary requests that are refused because others have filled the memory with large ones.
TEST_CASE("small requests have memory of their own, and take more from large ones that are incomplete")
{
    MemoryLimits limits = two_bodies;
    limits.reserved_bytes = 10 * kilobyte;
    limits.small_request_bytes = 8 * kilobyte;
    limits.all_bytes += limits.reserved_bytes;
    World world(limits);
    world.send_body(100 * kilobyte);
    world.send_body(100 * kilobyte);
    CHECK(world.is_granted);
    world.send_body(100 * kilobyte);
    CHECK_FALSE(world.is_granted);
    world.clients.pop_back();
    world.send_body(4 * kilobyte);
    CHECK(world.is_granted);
    CHECK_FALSE(world.clients[0]->eviction);
    world.send_body(4 * kilobyte);
    CHECK(world.is_granted);
    CHECK((world.clients[0]->eviction.has_value() || world.clients[1]->eviction.has_value()));
}

// Guards against silence that holds all connections.
TEST_CASE("if all connections are open, the one that has been silent for longest is closed")
{
    World world({ kilobyte * kilobyte, 0, 0 }, 2);
    auto const& first = world.connect();
    world.pass(1ms);
    auto const& second = world.connect();
    world.pass(1ms);
    auto const& third = world.connect();
    CHECK(third.budgeted);
    CHECK(first.eviction == Eviction::CloseConnection);
    CHECK_FALSE(second.eviction);
    CHECK(world.group.connections() == 2);
}

TEST_CASE("refused connections are closed before silent ones, and these before those that read a head or rest")
{
    World world({ kilobyte * kilobyte, 0, 0 }, 4);
    auto const& idle = world.connect();
    idle.budgeted->set_state(ConnectionState::Serving, world.now);
    idle.budgeted->set_state(ConnectionState::Idle, world.now);
    auto const& reading = world.connect();
    reading.budgeted->set_state(ConnectionState::ReadingHead, world.now);
    auto const& silent = world.connect();
    auto const& refused = world.connect();
    refused.budgeted->set_state(ConnectionState::Refused, world.now);
    world.pass(2s);
    for (auto const* const next : { &refused, &silent, &reading, &idle }) {
        CHECK_FALSE(next->eviction);
        world.connect().budgeted->set_state(ConnectionState::Serving, world.now);
        CHECK(next->eviction == Eviction::CloseConnection);
    }
    CHECK_FALSE(world.connect().budgeted);
}

TEST_CASE("a head that is still fresh keeps its connection")
{
    World world({ kilobyte * kilobyte, 0, 0 }, 1);
    world.connect().budgeted->set_state(ConnectionState::ReadingHead, world.now);
    world.pass(100ms);
    CHECK_FALSE(world.connect().budgeted);
    world.pass(1s);
    CHECK(world.connect().budgeted);
}

// Guards against clients that hold connections, and what stands behind them, because they don't read.
TEST_CASE("a client that takes its answer slowly gives way, and one that takes it fast doesn't")
{
    World world({ kilobyte * kilobyte, 0, 0 }, 2);
    auto const& slow = world.connect();
    auto const& fast = world.connect();
    slow.budgeted->set_state(ConnectionState::Delivering, world.now);
    fast.budgeted->set_state(ConnectionState::Delivering, world.now);
    for (int piece = 0; piece < 5; ++piece) {
        world.pass(500ms);
        slow.budgeted->note_progress(10, world.now);
        fast.budgeted->note_progress(100 * kilobyte, world.now);
    }
    CHECK(world.connect().budgeted);
    CHECK(slow.eviction == Eviction::CloseConnection);
    CHECK_FALSE(fast.eviction);
    CHECK_FALSE(world.budget->close_slowest_reader(world.now));
}

// Guards against bytes that the kernel holds for connections which nobody reads.
TEST_CASE("unread bytes count, and the connection with the most of them is closed when they exceed the limit")
{
    World world(two_bodies);
    auto const& little = world.connect();
    auto const& much = world.connect();
    little.budgeted->set_unread(50 * kilobyte);
    much.budgeted->set_unread(100 * kilobyte);
    world.budget->enforce_limit(world.now);
    CHECK_FALSE(much.eviction);
    little.budgeted->set_unread(120 * kilobyte);
    much.budgeted->set_unread(200 * kilobyte);
    world.budget->enforce_limit(world.now);
    CHECK(much.eviction == Eviction::CloseConnection);
    CHECK_FALSE(little.eviction);
    CHECK(world.budget->used_bytes() == 120 * kilobyte + connection);
}

TEST_CASE("memory that is accounted for elsewhere leaves less for requests")
{
    World world(two_bodies);
    std::size_t answers = 150 * kilobyte;
    world.budget->set_other_memory([&answers] { return answers; });
    world.send_body(100 * kilobyte);
    CHECK_FALSE(world.is_granted);
    answers = 0;
    world.send_body(100 * kilobyte);
    CHECK(world.is_granted);
}
