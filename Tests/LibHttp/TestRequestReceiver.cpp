#include <TestMain.h>

#include <LibHttp/RequestReceiver.h>

#include <boost/asio/write.hpp>

namespace {

using namespace Http;

constexpr std::size_t kilobyte = 1024;

/// A connection whose request is received under a budget; the test sends from the other side.
struct Receiving {
    explicit Receiving(std::size_t memory_bytes)
        : budget(std::make_shared<ConnectionBudget>(MemoryLimits { memory_bytes, 0, 0 }))
        , group(this->budget->add_group(10))
        , connection(this->budget->try_open(this->group, Core::monotonic_now()))
        , near(this->context)
        , far(this->context)
    {
        tcp::acceptor acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        this->far.connect(acceptor.local_endpoint());
        this->near = acceptor.accept();
        this->receiver.emplace(this->near, *this->connection);
        this->connection->set_on_evicted([this](Eviction) { this->receiver->evict(); });
        asio::co_spawn(
            this->context, [this] { return this->receive(); }, asio::detached);
    }

    Task<void> receive()
    {
        if (!co_await this->receiver->wait(std::chrono::seconds(30)))
            co_return;
        RequestLimits const limits { 16 * kilobyte, kilobyte * kilobyte, std::chrono::seconds(30),
            std::chrono::seconds(30) };
        this->end = co_await this->receiver->read(limits);
    }
    void send(std::string_view text) { asio::write(this->far, asio::buffer(text)); }
    /// Runs the loop until the condition holds; false if it does not within a generous time.
    template <typename Condition> bool reach(Condition condition)
    {
        auto const gives_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > gives_up_at)
                return false;
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }
    [[nodiscard]] std::size_t used() const { return this->budget->used_bytes(); }

    asio::io_context context;
    std::shared_ptr<ConnectionBudget> budget;
    ConnectionGroup& group;
    std::unique_ptr<BudgetedConnection> connection;
    tcp::socket near;
    tcp::socket far;
    std::optional<RequestReceiver> receiver;
    std::optional<ReadEnd> end;
};

std::string head(std::string const& fields)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n";
}

constexpr std::size_t ample = 8 * kilobyte * kilobyte;

}

TEST_CASE("a request is received, and its memory is released once it is answered")
{
    Receiving site(ample);
    site.send(head("Content-Length: 5") + "hello");
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.end == ReadEnd::Complete);
    CHECK(site.connection->state() == ConnectionState::Serving);
    CHECK(site.receiver->take().body() == "hello");
    site.receiver->finish();
    CHECK(site.connection->state() == ConnectionState::Idle);
    CHECK(site.used() < 8 * kilobyte);
}

TEST_CASE("requests that arrive together are received one after another")
{
    Receiving site(ample);
    site.send(head("Content-Length: 3") + "one" + head("Transfer-Encoding: chunked") + "3\r\ntwo\r\n0\r\n\r\n");
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.receiver->take().body() == "one");
    site.receiver->finish();
    site.end.reset();
    asio::co_spawn(
        site.context, [&] { return site.receive(); }, asio::detached);
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.receiver->take().body() == "two");
}

// Guards against memory that is taken for what a client only announces.
TEST_CASE("a body that doesn't fit is refused at its head")
{
    Receiving site(200 * kilobyte);
    site.send(head("Content-Length: 1000000") + std::string(1000, 'b'));
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.end == ReadEnd::NoMemory);
    CHECK(site.connection->state() == ConnectionState::Refused);
    CHECK(site.used() == ConnectionBudget::connection_bytes);
}

// Guards against heads that count only once they are complete.
TEST_CASE("a head counts while it arrives")
{
    Receiving site(ample);
    site.send("POST /x HTTP/1.1\r\nHost: h\r\nX-Filler: " + std::string(10 * kilobyte, 'f'));
    CHECK(site.reach([&] { return site.used() > 10 * kilobyte; }));
    CHECK_FALSE(site.end);
}

// Guards against the memory of parsed fields, each of which is a block of its own.
TEST_CASE("a head of many fields counts with what its parsed form takes")
{
    Receiving site(ample);
    std::string fields = "Content-Length: 5";
    for (int field = 0; field < 2000; ++field)
        fields += "\r\na:";
    site.send(head(fields));
    CHECK(site.reach([&] { return site.used() > 150 * kilobyte; }));
}

// Guards against a buffer that grows by doubling while only the received bytes are counted.
TEST_CASE("a body in chunks counts with the capacity of its buffer")
{
    Receiving site(ample);
    site.send(head("Transfer-Encoding: chunked"));
    std::string const chunk = "2710\r\n" + std::string(10000, 'c') + "\r\n";
    for (int number = 1; number <= 40; ++number) {
        site.send(chunk);
        auto const received = 10000UL * static_cast<std::size_t>(number);
        REQUIRE(site.reach([&] { return site.used() > received; }));
    }
    site.send("0\r\n\r\n");
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    auto const request = site.receiver->take();
    CHECK(request.body().size() == 400000);
    CHECK(site.used() >= request.body().capacity());
}

TEST_CASE("a body in chunks is refused when it outgrows the memory")
{
    Receiving site(100 * kilobyte);
    site.send(head("Transfer-Encoding: chunked"));
    std::string const chunk = "2710\r\n" + std::string(10000, 'c') + "\r\n";
    for (int number = 0; number < 12; ++number)
        site.send(chunk);
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.end == ReadEnd::NoMemory);
    CHECK(site.used() == ConnectionBudget::connection_bytes);
}

TEST_CASE("a request that gives way to another one is refused, and its memory is free at once")
{
    Receiving site(300 * kilobyte);
    site.send(head("Content-Length: 200000") + std::string(1000, 'b'));
    REQUIRE(site.reach([&] { return site.used() > 200000; }));
    auto const other = site.budget->try_open(site.group, Core::monotonic_now());
    auto const later = Core::monotonic_now() + std::chrono::seconds(5);
    CHECK(other->try_resize(200000, later));
    CHECK(site.used() < 210 * kilobyte);
    REQUIRE(site.reach([&] { return site.end.has_value(); }));
    CHECK(site.end == ReadEnd::NoMemory);
}
