#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/EndpointConnections.h>
#include <thread>

using namespace Gateway;

// Users see requests refused, and an endpoint that is up taken out of use, after a box applied a large configuration.
// Order of events: a connect starts; the event loop stands still longer than the limit on a connect; the connect was
// done long before, and its completion and the limit's handler are queued together. Cause: a handler that is queued
// can't be cancelled, and that was taken for a connect that took too long; three in a row eject an endpoint. Evidence:
// the error was "Connection timed out" though the connect had succeeded.
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

// Users would wait for an endpoint that is gone if the limit on a connect no longer held. Order of events: connects
// fill the queue of a listener that accepts none; the next one gets no answer. Evidence: it ends with an error soon
// after the limit of 250 ms, long before the kernel asks again, which is after 1 s.
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
