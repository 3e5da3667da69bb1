#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/ProbeListener.h>

namespace {

using namespace Gateway;

constexpr auto question = "POST /control HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
constexpr auto short_patience = std::chrono::milliseconds(300);
/// More than two sockets of loopback hold.
constexpr std::size_t long_answer = 32UL * 1024 * 1024;

/// A listener whose answers end with bytes that they share.
struct Listener {
    explicit Listener(std::size_t shared_size, Core::Duration patience = std::chrono::seconds(10))
        : shared(std::make_shared<std::string const>(shared_size, 's'))
        , listener(
              tcp::acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
              [this](std::string_view path, std::string const& body) {
                  return ProbeAnswer { 200, std::string(path) + " " + body + " ", this->shared };
              },
              16, patience)
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
    ProbeListener listener;
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
