#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/EndpointConnections.h>
#include <thread>

using namespace Gateway;

// Guards against ejecting a healthy endpoint: while the event loop stalls, a connect succeeds and its timeout expires.
// The queued timeout handler can't be cancelled and must not fail the connect. Three failures in a row eject an
// endpoint.
TEST_CASE("a connect that was done while the event loop stood still is not given up")
{
    asio::io_context context;
    EndpointConnections connections(context);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    error_code error;
    SharedConnection connection;
    bool is_over = false;
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
            Routing::SocketAddress const address { "127.0.0.1", acceptor.local_endpoint().port() };
            connection = co_await connections.connect(EndpointId { 1 }, address, error);
            is_over = true;
        },
        asio::detached);
    // What decoding a large configuration does to the loop.
    asio::post(context, [] { std::this_thread::sleep_for(std::chrono::milliseconds(350)); });
    REQUIRE(run_until(context, [&] { return is_over; }));
    MESSAGE("error: ", error.message());
    CHECK_FALSE(error);
    CHECK(connection != nullptr);
}

// A full accept queue leaves a connect unanswered. It must fail soon after the timeout of 250 ms, before the kernel
// retries after 1 s.
TEST_CASE("a connect that isn't answered is given up")
{
    asio::io_context context;
    EndpointConnections connections(context);
    tcp::acceptor acceptor(context, tcp::v4());
    acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    acceptor.listen(0);
    error_code error;
    std::vector<SharedConnection> queued;
    Core::Duration taken { 0 };
    bool is_over = false;
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
            Routing::SocketAddress const address { "127.0.0.1", acceptor.local_endpoint().port() };
            constexpr std::size_t more_than_the_queue_holds = 4;
            while (!error && queued.size() < more_than_the_queue_holds) {
                auto const began = Core::monotonic_now();
                queued.push_back(co_await connections.connect(EndpointId { 1 }, address, error));
                taken = Core::monotonic_now() - began;
            }
            is_over = true;
        },
        asio::detached);
    REQUIRE(run_until(context, [&] { return is_over; }));
    CHECK(error);
    CHECK(queued.back() == nullptr);
    CHECK(taken >= std::chrono::milliseconds(240));
    CHECK(taken < std::chrono::milliseconds(900));
}
