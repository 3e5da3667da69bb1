#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/InternalHttpServer.h>
#include <thread>

namespace {

using namespace Gateway;

constexpr auto question = "POST /control HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
constexpr auto short_patience = std::chrono::milliseconds(300);
/// More than two sockets of loopback hold.
constexpr std::size_t long_answer = 32UL * 1024 * 1024;

constexpr Http::MemoryLimits ample_memory { 1UL << 30U, 0, 0 };

/// A listener whose answers end with bytes that they share.
struct Listener {
    explicit Listener(std::size_t shared_size, Core::Duration patience = std::chrono::seconds(10))
        : shared(std::make_shared<std::string const>(shared_size, 's'))
        , listener(tcp::acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
              [this](std::string_view path, std::string const& body) {
                  return InternalHttpResponse { 200, std::string(path) + " " + body + " ", this->shared };
              },
              *this->budget, { 16, patience })
    {
        asio::co_spawn(
            this->context, [this] { return this->listener.run(); }, asio::detached);
    }

    /// A connection on which the question was sent.
    [[nodiscard]] tcp::socket asked()
    {
        tcp::socket socket(this->context);
        socket.connect({ asio::ip::address_v4::loopback(), this->listener.port() });
        asio::write(socket, asio::buffer(std::string_view(question)));
        return socket;
    }

    asio::io_context context;
    std::shared_ptr<std::string const> shared;
    std::shared_ptr<Http::ConnectionBudget> budget { std::make_shared<Http::ConnectionBudget>(ample_memory) };
    InternalHttpServer listener;
};

}

TEST_CASE("an answer is sent with its shared end, and the connection is kept")
{
    Listener listener(100'000);
    auto socket = listener.asked();
    flat_buffer buffer;
    for (int round = 0; round < 2; ++round) {
        http::response_parser<http::string_body> parser;
        bool is_read = false;
        http::async_read(socket, buffer, parser, [&](error_code error, std::size_t) { is_read = !error; });
        REQUIRE(run_until(listener.context, [&] { return is_read; }));
        CHECK(parser.get().result_int() == 200);
        CHECK(parser.get().body() == "/control hi " + *listener.shared);
        asio::write(socket, asio::buffer(std::string_view(question)));
    }
}

TEST_CASE("answers under way hold their shared end once, and let go of it when their peers are gone")
{
    Listener listener(long_answer);
    std::vector<tcp::socket> peers;
    constexpr std::size_t most = 5;
    peers.reserve(most);
    for (std::size_t peer = 0; peer < most; ++peer)
        peers.push_back(listener.asked());
    CHECK(run_until(listener.context, [&] { return listener.shared.use_count() == static_cast<long>(1 + most); }));
    peers.clear();
    CHECK(run_until(listener.context, [&] { return listener.shared.use_count() == 1; }));
}

TEST_CASE("a peer that doesn't read its answer loses the connection, and the answer is let go of")
{
    Listener listener(long_answer, short_patience);
    auto const peer = listener.asked();
    CHECK(run_until(listener.context, [&] { return listener.shared.use_count() == 2; }));
    CHECK(run_until(listener.context, [&] { return listener.shared.use_count() == 1; }));
}

// Guards against truncated answers to other boxes: while the event loop stalls, a request arrives and the idle timeout
// expires. Resetting the timer doesn't cancel the queued handler, which must not close the connection.
TEST_CASE("an answer to another box is whole though the event loop stood still past the limit on idle connections")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto const place = acceptor.local_endpoint();
    std::size_t const bytes = 16 * 1024 * 1024;
    constexpr Core::Duration patience = std::chrono::milliseconds(600);
    auto const budget = std::make_shared<Http::ConnectionBudget>(ample_memory);
    InternalHttpServer listener(std::move(acceptor),
        [&](std::string_view, std::string const&) {
            InternalHttpResponse answer;
            answer.body = std::string(bytes, 'x');
            return answer;
        },
        *budget, { 16, patience });
    asio::co_spawn(
        context, [&] { return listener.run(); }, asio::detached);
    tcp::socket client(context);
    client.connect(place);
    auto const connected = std::chrono::steady_clock::now();
    // A first question, so that the connection is served.
    context.run_for(std::chrono::milliseconds(50));
    while (std::chrono::steady_clock::now() < connected + std::chrono::milliseconds(500)) {
        context.restart();
        context.run_for(std::chrono::milliseconds(50));
    }
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    std::size_t received = 0;
    bool has_ended = false;
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
            std::array<char, 65536> piece {};
            while (received < bytes) {
                auto const [error, size] = co_await client.async_read_some(asio::buffer(piece), as_value);
                received += size;
                if (error)
                    break;
            }
            has_ended = true;
        },
        asio::detached);
    REQUIRE(run_until(context, [&] { return has_ended; }));
    CHECK(received >= bytes);
}

// Guards against truncated answers over slow links: the idle timeout must count from the last progress of a peer that
// reads steadily, not from the start of the answer.
TEST_CASE("an answer that its peer keeps reading is whole though it takes longer than the peer may be silent")
{
    Listener listener(long_answer, short_patience);
    auto socket = listener.asked();
    socket.non_blocking(true);
    std::string piece(1024UL * 1024, '-');
    std::size_t received = 0;
    std::size_t whole = 0;
    bool has_ended = false;
    auto const began = Core::monotonic_now();
    auto next_read = began;
    REQUIRE(run_until(listener.context, [&] {
        if (Core::monotonic_now() < next_read)
            return false;
        next_read = Core::monotonic_now() + std::chrono::milliseconds(25);
        error_code error;
        auto const size = socket.read_some(asio::buffer(piece), error);
        if (whole == 0 && size > 0)
            whole = piece.find("\r\n\r\n") + 4 + std::string_view("/control hi ").size() + long_answer;
        received += size;
        has_ended = error && error != asio::error::would_block;
        return has_ended || (whole != 0 && received >= whole);
    }));
    CHECK(whole > long_answer);
    CHECK(received == whole);
    CHECK(Core::monotonic_now() - began > 2 * short_patience);
}
