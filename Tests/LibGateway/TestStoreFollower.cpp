#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/StoreFollower.h>
#include <functional>

namespace {

using namespace Gateway;

struct Answer {
    unsigned status { 200 };
    std::string body;
};

/// A store that a test scripts: an answer for each target, or nothing to close the connection without one.
class FakeStore {
public:
    using Script = std::function<std::optional<Answer>(std::string const& target)>;

    FakeStore(asio::io_context& context, Script script)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , script(std::move(script))
    {
        asio::co_spawn(
            context, [this] { return this->run(); }, asio::detached);
    }

    [[nodiscard]] Routing::SocketAddress address() const
    {
        return { "127.0.0.1", this->acceptor.local_endpoint().port() };
    }
    std::vector<std::string> targets;

private:
    Task<void> run()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(as_value);
            if (error)
                co_return;
            co_await this->serve(std::move(socket));
        }
    }

    Task<void> serve(tcp::socket socket)
    {
        flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            auto const [read_error, read] = co_await http::async_read(socket, buffer, request, as_value);
            if (read_error)
                co_return;
            this->targets.emplace_back(request.target());
            auto const answer = this->script(this->targets.back());
            if (!answer)
                co_return;
            http::response<http::string_body> response(static_cast<http::status>(answer->status), 11);
            response.body() = answer->body;
            response.prepare_payload();
            auto const [write_error, written] = co_await http::async_write(socket, response, as_value);
            if (write_error)
                co_return;
        }
    }

    tcp::acceptor acceptor;
    Script script;
};

std::string bytes_of(std::uint64_t number, int size)
{
    std::string bytes;
    for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
        bytes += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
    return bytes;
}

std::string record(std::string const& key, std::string const& value)
{
    return bytes_of(1 + key.size() + value.size(), 4) + bytes_of(key.size(), 1) + key + value;
}

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string const nothing_newest = R"({"items":[],"truncated":false,"end":0})";

/// A follower of one topic before a scripted store.
struct Follower {
    Follower(Adapter::Topic topic, FakeStore::Script script, bool knows_boxes = true)
        : state(this->context, Routing::RouterSettings {}, 1)
        , records(this->state, "box", 1)
        , source("box", "domain", {})
        , store(this->context, std::move(script))
        , follower(this->state, this->records, this->source, this->store.address(), topic, { pace, pace })
    {
        if (knows_boxes)
            this->source.boxes_unknown();
        asio::co_spawn(
            this->context, [this] { return this->follower.run(); }, asio::detached);
    }

    [[nodiscard]] std::uint64_t version() const
    {
        auto const current = this->state.router.configuration();
        return current ? current->version() : 0;
    }

    static constexpr StoreFollower::Pace pace { std::chrono::milliseconds(0), std::chrono::milliseconds(1) };

    asio::io_context context;
    GatewayState state;
    ControlRecords records;
    Membership::ControlSource source;
    FakeStore store;
    StoreFollower follower;
};

bool begins_with(std::string const& target, std::string_view path)
{
    return target.starts_with(path);
}

}

TEST_CASE("a box that catches up takes the last version, and an earlier one if the last can't be read")
{
    auto const page = bytes_of(3, 8) + bytes_of(0, 8) + record("config", configuration(4))
        + record("config", configuration(9)) + record("config", "{broken");
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        bool const is_first = target.find("from=0") != std::string::npos;
        return Answer { 200, is_first ? page : bytes_of(3, 8) + bytes_of(0, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() != 0; }));
    CHECK(box.version() == 9);
    auto const text = box.state.metrics.to_text();
    CHECK(text.find("cleatbeam_bad_records_total{kind=\"configuration\"} 1") != std::string::npos);
}

TEST_CASE("when the store's history is gone the newest records are read anew")
{
    bool is_gone = true;
    int newest_reads = 0;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest")) {
            ++newest_reads;
            // {"version":2,...} and {"version":3,...} in base64.
            auto const* const value = newest_reads == 1 ? "eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"
                                                        : "eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119";
            return Answer { 200,
                std::string(R"({"items":[{"tls_key":"config","value":")") + value
                    + R"("}],"truncated":false,"end":7})" };
        }
        if (std::exchange(is_gone, false))
            return Answer { 410, R"({"first":7})" };
        return Answer { 200, bytes_of(7, 8) + bytes_of(7, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 3; }));
    CHECK(newest_reads == 2);
}

TEST_CASE("a connection that lost an answer says nothing more, and the same offset is asked for again")
{
    int calls = 0;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        ++calls;
        if (calls == 1)
            return std::nullopt;
        if (calls == 2)
            return Answer { 503, "{}" };
        return Answer { 200, bytes_of(1, 8) + bytes_of(0, 8) + record("config", configuration(5)) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 5; }));
    REQUIRE(box.store.targets.size() >= 4);
    CHECK(box.store.targets[1] == box.store.targets[2]);
    CHECK(box.store.targets[2] == box.store.targets[3]);
}

TEST_CASE("endpoints come and go with their records, and a broken record harms no other")
{
    bool is_second_page = false;
    std::string const good = R"({"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready"})";
    Follower box(Adapter::Topic::Endpoints, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        if (target.find("from=0") != std::string::npos)
            return Answer { 200,
                bytes_of(3, 8) + bytes_of(0, 8) + record("a", good) + record("b", R"({"service":"s"})")
                    + record("c", good) };
        if (target.find("from=3") != std::string::npos && is_second_page)
            return Answer { 200, bytes_of(4, 8) + bytes_of(0, 8) + record("a", "") };
        return Answer { 200, bytes_of(4, 8) + bytes_of(0, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.state.router.endpoint_count() == 2; }));
    is_second_page = true;
    CHECK(run_until(box.context, [&] { return box.state.router.endpoint_count() == 1; }));
    CHECK(box.state.metrics.to_text().find("cleatbeam_bad_records_total{kind=\"endpoint\"} 1") != std::string::npos);
}

TEST_CASE("a box that knows nothing reads the store before it knows whether there is a relay, and then rests")
{
    auto const script = [](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200,
                R"({"items":[{"tls_key":"config","value":"eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"}],)"
                R"("truncated":false,"end":7})" };
        return Answer { 200, bytes_of(7, 8) + bytes_of(7, 8) };
    };
    Follower box(Adapter::Topic::Operator, script, false);
    REQUIRE(run_until(box.context, [&] { return box.version() == 2; }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 20; }));
    CHECK(box.store.targets.size() == 1);
}
