#include <TestMain.h>

#include "ScriptedServer.h"
#include <LibGateway/InternalHttpServer.h>
#include <LibGateway/RelayFollower.h>

namespace {

using namespace Gateway;
using Core::monotonic_now;

constexpr auto bound = std::chrono::seconds(8);
/// An ordinary silence between two pieces of an answer, far shorter than a box's timeout with this bound.
constexpr Core::Duration between_pieces = std::chrono::milliseconds(100);
/// Longer than any box waits.
constexpr Core::Duration silence = std::chrono::minutes(1);

/// A relay that answers each request with the same bytes, in pieces.
class SlowRelay {
public:
    SlowRelay(asio::io_context& context, std::string body, std::size_t piece_size)
        : body(std::move(body))
        , piece_size(piece_size)
        , server(context, [this](tcp::socket& socket, std::string const&) { return this->answer(socket); })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }

    int requests { 0 };
    /// Pieces after which the relay falls silent.
    int silent_after { 1'000'000 };
    /// Connections that the requester closed before the end of the answer.
    int aborted { 0 };

private:
    Task<bool> answer(tcp::socket& socket)
    {
        ++this->requests;
        bool const is_sent = co_await this->send(socket);
        if (!is_sent)
            ++this->aborted;
        co_return is_sent;
    }

    Task<bool> send(tcp::socket& socket)
    {
        auto const answer
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(this->body.size()) + "\r\n\r\n" + this->body;
        int pieces = 0;
        for (std::size_t sent = 0; sent < answer.size(); sent += this->piece_size) {
            auto const piece = answer.substr(sent, this->piece_size);
            auto const [error, written] = co_await asio::async_write(socket, asio::buffer(piece), as_value);
            if (error)
                co_return false;
            co_await sleep_for(++pieces < this->silent_after ? between_pieces : silence);
        }
        co_return true;
    }

    std::string body;
    std::size_t piece_size;
    Scripted::ScriptedServer server;
};

/// The answer of a relay that has just read the store: a configuration and a long list of endpoints.
std::string long_answer()
{
    Membership::ControlAnswer answer;
    answer.source = 77;
    answer.endpoints.is_whole = true;
    answer.endpoints.revision = 5;
    for (int number = 0; number < 1900; ++number) {
        auto const name = "i-" + std::to_string(number);
        answer.endpoints.changes.push_back(
            { name, Routing::EndpointRecord { name, "pool", { "10.0.0.1", 80 }, "a", 4, false } });
    }
    answer.configuration_version = 9;
    answer.configuration = std::string(R"({"version":9,"routes":[],"services":[]})");
    return Membership::encode(answer).whole();
}

/// A box whose relay is the first of four boxes, played by the scripted relay.
struct RequestingBox {
    RequestingBox(std::string body, std::size_t piece_size)
        : state(this->context, Routing::RouterSettings {}, 1)
        , records(this->state, "asker", "domain")
        , source("asker", "domain", { bound, bound })
        , relay(this->context, std::move(body), piece_size)
        , follower(
              this->state, this->records, this->source, [] {}, [this] { ++this->missing; })
    {
        Routing::SocketAddress const address { "127.0.0.1", this->relay.port() };
        constexpr std::uint64_t wide = 25'000'000;
        constexpr std::uint64_t narrow = 1'250'000;
        this->source.update_boxes({ { "relay", address, "domain", wide }, { "asker", address, "domain", narrow },
                                      { "b3", address, "domain", narrow }, { "b4", address, "domain", narrow } },
            monotonic_now());
        asio::co_spawn(
            this->context, [this] { return this->follower.run(); }, asio::detached);
    }

    [[nodiscard]] std::uint64_t version() const
    {
        auto const current = this->state.router.configuration();
        return current ? current->version() : 0;
    }
    [[nodiscard]] std::string metrics() const { return this->state.metrics.to_text(); }

    asio::io_context context;
    GatewayState state;
    ControlRecords records;
    Membership::ControlSource source;
    SlowRelay relay;
    RelayFollower follower;
    int missing { 0 };
};

constexpr auto failed = "cleatbeam_relay_questions_total{outcome=\"failed\"}";

}

TEST_CASE("an answer that keeps progressing is accepted however long it takes, and confirms records up to the request")
{
    auto const body = long_answer();
    constexpr int pieces = 20;
    RequestingBox box(body, body.size() / pieces);
    REQUIRE(body.size() > 60'000);
    REQUIRE(pieces * between_pieces > box.source.relay_timeout());
    auto const asked_at = monotonic_now();
    REQUIRE(run_until(box.context, [&] { return box.version() == 9 || box.relay.aborted > 0; }));
    CHECK(box.version() == 9);
    CHECK(box.state.router.endpoint_count() == 1900);
    CHECK(box.relay.requests == 1);
    CHECK(box.metrics().find(failed) == std::string::npos);
    auto const duration = monotonic_now() - asked_at;
    CHECK(duration > box.source.relay_timeout());
    CHECK(box.state.router.configuration_age(monotonic_now()) > duration - between_pieces);
    CHECK(box.missing == 0);
}

TEST_CASE("a relay whose answer would arrive outdated is abandoned although it keeps sending")
{
    auto const body = long_answer();
    constexpr int pieces = 200;
    RequestingBox box(body, body.size() / pieces);
    REQUIRE(pieces * between_pieces > 2 * box.source.max_answer_time());
    auto const asked_at = monotonic_now();
    auto const is_left = [&] { return box.metrics().find(failed) != std::string::npos; };
    REQUIRE(run_until(box.context, is_left));
    auto const left_after = monotonic_now() - asked_at;
    CHECK(left_after >= box.source.max_answer_time());
    CHECK(left_after < pieces * between_pieces);
    CHECK(box.version() == 0);
    CHECK(box.source.reads_store(monotonic_now()));
    auto const next = box.source.relay(monotonic_now());
    CHECK((!next || next->name != "relay"));
}

TEST_CASE("a relay that falls silent within its answer is abandoned after the timeout")
{
    auto const body = long_answer();
    RequestingBox box(body, body.size() / 2);
    box.relay.silent_after = 1;
    auto const asked_at = monotonic_now();
    auto const is_left = [&] { return box.metrics().find(failed) != std::string::npos; };
    REQUIRE(run_until(box.context, is_left));
    CHECK(monotonic_now() - asked_at < box.source.max_answer_time());
    CHECK(box.version() == 0);
}
