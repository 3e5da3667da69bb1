// Guards against a client that takes a part of an answer, or bytes that are no answer, for a whole one.

#include <TestMain.h>

#include "ScriptedExchange.h"

using namespace Gateway;

namespace {

std::string const common = "X-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";

/// More than the kernel takes of an upload that the endpoint doesn't read.
constexpr std::size_t long_upload = std::size_t { 24 } * 1024 * 1024;

}

// The kernel reports a reset once: where the write of the upload takes it, the read sees an end of file.
TEST_CASE("an answer that ends with its connection while the upload is being written is not whole")
{
    auto const kind = [] {
        SUBCASE("of a call that may run once")
        {
            return RouteKind::NonIdempotent;
        }
        return RouteKind::Streaming;
    }();
    for (int round = 0; round < 4; ++round) {
        Exchange play(kind, 1);
        play.start(std::string(long_upload, 'u'));
        auto const where = play.wait_for_arrival();
        auto& endpoint = *play.endpoints[where];
        endpoint.answer("HTTP/1.1 200 OK\r\n" + common + "\r\nid: 1\ndata: a\n\n");
        if (round % 2 == 0)
            endpoint.connections[0]->socket.set_option(asio::socket_base::linger(true, 0));
        endpoint.close();
        endpoint.connections.clear();
        REQUIRE(play.ends());
        CHECK_FALSE(play.received.ends_with("0\r\n\r\n"));
        CHECK((play.received.starts_with("HTTP/1.1 502 ") || !play.keeps_client));
    }
}

TEST_CASE("an answer that ends with its connection after the whole upload was written is whole")
{
    Exchange play(RouteKind::NonIdempotent);
    play.start(std::string(long_upload, 'u'));
    auto const where = play.wait_for_arrival();
    auto& connection = *play.endpoints[where]->connections[0];
    REQUIRE(play.reach([&] { return connection.received.size() > long_upload; }));
    play.endpoints[where]->answer("HTTP/1.1 200 OK\r\n" + common + "\r\nwhole");
    play.endpoints[where]->close();
    REQUIRE(play.ends());
    CHECK(play.received.ends_with("5\r\nwhole\r\n0\r\n\r\n"));
}
