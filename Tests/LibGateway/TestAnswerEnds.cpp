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

// What follows such bytes would reach the client as its answer.
TEST_CASE("bytes with a status that no answer has are no answer, and what follows them is not read")
{
    for (std::string const status :
        { "000", "001", "099", "101", "104", "150", "199", "600", "999", "20", "2000", "-20" }) {
        CAPTURE(status);
        Exchange play(RouteKind::NonIdempotent);
        play.start("body");
        auto const where = play.wait_for_arrival();
        play.endpoints[where]->answer("HTTP/1.1 " + status + " Odd\r\n" + common
            + "Content-Length: " + std::to_string(whole_answer.size()) + "\r\n\r\n" + whole_answer);
        REQUIRE(play.ends());
        CHECK(play.received.starts_with("HTTP/1.1 502 "));
        CHECK(play.received.find("\r\n\r\nok") == std::string::npos);
        CHECK(play.reach([&] { return play.endpoints[where]->connections[0]->is_closed; }));
    }
}

TEST_CASE("interim answers that HTTP knows precede the answer")
{
    for (std::string const status : { "100", "102", "103" }) {
        CAPTURE(status);
        Exchange play(RouteKind::NonIdempotent);
        play.start("body");
        play.endpoints[play.wait_for_arrival()]->answer("HTTP/1.1 " + status + " Interim\r\n\r\n" + whole_answer);
        REQUIRE(play.ends());
        CHECK(play.received.starts_with("HTTP/1.1 200 OK\r\n"));
    }
}

TEST_CASE("an answer whose head names a field with a blank or a control byte is no answer")
{
    for (std::string const field : { "X Bad: 1", "X\tBad: 1", "X\x01: 1", "Content-Length : 9", " X: 1", "X\x7f: 1" }) {
        CAPTURE(field);
        Exchange play(RouteKind::NonIdempotent);
        play.start("body");
        play.endpoints[play.wait_for_arrival()]->answer(
            "HTTP/1.1 200 OK\r\n" + field + "\r\n" + common + "Content-Length: 2\r\n\r\nok");
        REQUIRE(play.ends());
        CHECK(play.received.starts_with("HTTP/1.1 502 "));
    }
}

// An endpoint in trouble sends the bytes of its last answer again, without what names the request, and they arrive when
// the next request is there.
TEST_CASE("an answer that names no request is not the one to the next request of its connection")
{
    for (std::string const head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n",
             "HTTP/1.1 500 No\r\nX-Response-Stamp: s\r\n" }) {
        CAPTURE(head);
        Exchange play(RouteKind::NonIdempotent);
        play.start("first");
        play.endpoints[play.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(play.ends());
        play.received.clear();
        play.has_ended = false;
        play.endpoints[0]->connections[0]->received.clear();
        play.answered.clear();
        play.start("second");
        auto const where = play.wait_for_arrival();
        REQUIRE(play.endpoints[where]->connections.size() == 1);
        play.endpoints[where]->answer(head + "Content-Length: 5\r\n\r\nfirst");
        REQUIRE(play.ends());
        CHECK(play.received.starts_with("HTTP/1.1 502 "));
        CHECK(play.received.find("first") == std::string::npos);
    }
}

TEST_CASE("a success without the endpoint's proof is no success, and a rejection may lack the request's name")
{
    Exchange unproven(RouteKind::NonIdempotent);
    unproven.start();
    unproven.endpoints[unproven.wait_for_arrival()]->answer(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(unproven.ends());
    CHECK(unproven.received.starts_with("HTTP/1.1 502 "));

    Exchange rejected(RouteKind::NonIdempotent);
    rejected.start();
    rejected.endpoints[rejected.wait_for_arrival()]->answer(
        "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(rejected.ends());
    CHECK(rejected.received.starts_with("HTTP/1.1 503 "));
}
