#include <TestMain.h>

#include "ScriptedExchange.h"

/// Endpoints that send bytes which are no answer, or of no use, until their connection is closed.
namespace {

using namespace Gateway;

/// Writes the bytes again and again for as long as the endpoint's connection is open. Returns how many were written by
/// the time that it closed, or nothing if it did not close.
std::optional<std::size_t> send_until_closed(Exchange& play, std::size_t where, std::string const& repeated)
{
    constexpr std::size_t piece_bytes = 16 * 1024;
    constexpr std::size_t max_bytes = std::size_t { 64 } * 1024 * 1024;
    std::string piece;
    while (piece.size() < piece_bytes)
        piece += repeated;
    auto& socket = play.endpoints.at(where)->connections.at(0)->socket;
    std::size_t sent = 0;
    bool is_open = true;
    static_cast<void>(play.reach([&] {
        error_code error;
        sent += socket.write_some(asio::buffer(piece), error);
        is_open = !error || error == asio::error::would_block;
        return !is_open || sent > max_bytes;
    }));
    return is_open ? std::nullopt : std::optional(sent);
}

/// The box reads less than 1 MB. The kernel holds up to 10 MB on the way, which the endpoint can't tell from bytes that
/// were read: 4 MB at the sender and 6 MB at the receiver, by its defaults.
constexpr std::size_t max_sent_bytes = std::size_t { 11 } * 1024 * 1024;

std::string const echo = "X-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";

struct Endless {
    std::string name;
    std::string begin;
    std::string repeated;
    std::string part;
};

std::vector<Endless> const endless_answers {
    { "head", "HTTP/1.1 200 OK\r\n" + echo, "X-Filler: f\r\n", "head" },
    { "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", "skipped" },
    { "answers to others", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: o\r\nContent-Length: 5\r\n\r\nother", "skipped" },
    { "empty answers to others", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: o\r\nContent-Length: 0\r\n\r\n", "skipped" },
    { "an answer to another", "HTTP/1.1 200 OK\r\nX-Attempt-Id: o\r\nTransfer-Encoding: chunked\r\n\r\n",
        "5\r\nother\r\n", "skipped" },
    { "chunk extension", stream_head + "4;x=", "f", "beside-body" },
    { "trailers", stream_head + "2\r\nok\r\n0\r\n", "X-Filler: f\r\n", "beside-body" },
};

}

// Guards against a box whose memory fills with an answer that never ends, and whose client waits for its time to run
// out.
TEST_CASE("an endpoint that sends without end is cut off, and its client is answered at once")
{
    for (auto const& endless : endless_answers) {
        CAPTURE(endless.name);
        Exchange play(RouteKind::NonIdempotent);
        play.start();
        auto const where = play.wait_for_arrival();
        play.endpoints[where]->answer(endless.begin);
        auto const sent = send_until_closed(play, where, endless.repeated);
        REQUIRE(sent);
        CHECK(*sent <= max_sent_bytes);
        REQUIRE(play.ends());
        // The request may have run, so nothing else is promised.
        bool const has_begun = play.received.starts_with("HTTP/1.1 200");
        CHECK((has_begun || play.received.starts_with("HTTP/1.1 502")));
        CHECK_FALSE(play.received.ends_with("0\r\n\r\n"));
        CHECK(play.arrival_count() == 1);
        auto const counted = "cleatbeam_answer_excesses_total{part=\"" + endless.part + "\"} 1";
        CHECK(play.state.metrics.to_text().find(counted) != std::string::npos);
    }
}

TEST_CASE("the rest of a rejection that never ends is not waited for")
{
    Exchange play(RouteKind::NonIdempotent, 2, 2);
    play.start();
    auto const first = play.wait_for_arrival();
    play.endpoints[first]->answer(
        "HTTP/1.1 503 Busy\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    SUBCASE("many bytes")
    {
        CHECK(send_until_closed(play, first, "5\r\nfills\r\n"));
    }
    SUBCASE("no more bytes") { }
    auto const second = play.wait_for_arrival();
    play.endpoints[second]->answer(whole_answer);
    REQUIRE(play.ends());
    CHECK(play.received.starts_with("HTTP/1.1 200"));
    CHECK(play.received.ends_with("ok"));
}

// Guards against a body that reaches the client as if its transfer coding had been removed.
TEST_CASE("an answer with a transfer coding other than chunked can't be read")
{
    for (std::string const coding : { "gzip", "gzip, chunked", "chunked, gzip" }) {
        CAPTURE(coding);
        Exchange play(RouteKind::NonIdempotent);
        play.start();
        auto const where = play.wait_for_arrival();
        play.endpoints[where]->answer(
            "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: " + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        play.endpoints[where]->close();
        REQUIRE(play.ends());
        CHECK(play.received.starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("a long head, and one answer to another request, are still read")
{
    Exchange play(RouteKind::NonIdempotent);
    play.start();
    auto const where = play.wait_for_arrival();
    std::string const long_field = "X-Filler: " + std::string(30'000, 'f') + "\r\n";
    play.endpoints[where]->answer(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: o\r\nContent-Length: "
        "5\r\n\r\nother");
    play.endpoints[where]->answer("HTTP/1.1 200 OK\r\n" + echo + long_field + "Content-Length: 2\r\n\r\nok");
    REQUIRE(play.ends());
    CHECK(play.received.starts_with("HTTP/1.1 200"));
    CHECK(play.received.ends_with("ok"));
}

TEST_CASE("a stream whose endpoint sends without end between two events goes on at another endpoint")
{
    Exchange play(RouteKind::Streaming, 2, 2, true);
    play.start();
    auto const first = play.wait_for_arrival();
    play.endpoints[first]->answer(stream_head + "f\r\nid: 1\ndata: a\n\n\r\n");
    REQUIRE(play.reach([&] { return play.received.find("data: a") != std::string::npos; }));
    play.endpoints[first]->answer("4;x=");
    CHECK(send_until_closed(play, first, "f"));
    auto const second = play.wait_for_arrival();
    play.endpoints[second]->answer(stream_head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    REQUIRE(play.ends());
    CHECK(play.received.find("data: b") != std::string::npos);
    CHECK(play.received.ends_with("0\r\n\r\n"));
}

// Guards against a box whose memory fills with an event that is held back until it is whole and never is.
TEST_CASE("a stream whose endpoint sends an event without end goes on at another endpoint")
{
    Exchange play(RouteKind::Streaming, 2, 2, true);
    play.start();
    auto const first = play.wait_for_arrival();
    play.endpoints[first]->answer(stream_head + "f\r\nid: 1\ndata: a\n\n\r\n");
    REQUIRE(play.reach([&] { return play.received.find("data: a") != std::string::npos; }));
    play.endpoints[first]->answer("6\r\ndata: \r\n");
    std::string const filler(4096, 'f');
    auto const sent = send_until_closed(play, first, "1000\r\n" + filler + "\r\n");
    REQUIRE(sent);
    CHECK(*sent <= max_sent_bytes);
    auto const second = play.wait_for_arrival();
    CHECK(play.state.answer_buffers->held_bytes() == 0);
    play.endpoints[second]->answer(stream_head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    REQUIRE(play.ends());
    CHECK(play.received.find("data: b") != std::string::npos);
    CHECK(play.received.find("fff") == std::string::npos);
    CHECK(play.received.ends_with("0\r\n\r\n"));
    CHECK(play.state.metrics.to_text().find("cleatbeam_answer_excesses_total{part=\"event\"} 1") != std::string::npos);
}

// Guards against answers that are held back beside the account of memory, where many of them fill the box.
TEST_CASE("what is held back of an answer counts for the box, and is given up first where there is no room")
{
    Exchange play(RouteKind::Streaming, 2, 2, true);
    constexpr std::size_t small_box = 64 * 1024;
    play.state.answer_buffers->set_max_bytes(small_box);
    play.start();
    auto const first = play.wait_for_arrival();
    play.endpoints[first]->answer(stream_head + "6\r\ndata: \r\n");
    std::string const chunk = "1000\r\n" + std::string(4096, 'f') + "\r\n";
    play.endpoints[first]->answer(chunk + chunk);
    REQUIRE(play.reach([&] { return play.state.answer_buffers->held_bytes() > 8192; }));
    REQUIRE(send_until_closed(play, first, chunk));
    CHECK(play.state.answer_buffers->held_bytes() == 0);
    auto const second = play.wait_for_arrival();
    play.endpoints[second]->answer(stream_head + "f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n");
    REQUIRE(play.ends());
    CHECK(play.received.find("data: b") != std::string::npos);
}

TEST_CASE("a short answer is passed on as it arrives where there is no room to hold it back")
{
    Exchange play(RouteKind::NonIdempotent);
    play.state.answer_buffers->set_max_bytes(0);
    play.start();
    auto const where = play.wait_for_arrival();
    std::string const half(24 * 1024, 'a');
    play.endpoints[where]->answer(
        "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: " + std::to_string(2 * half.size()) + "\r\n\r\n" + half);
    REQUIRE(play.reach([&] { return play.received.size() > half.size() / 2; }));
    play.endpoints[where]->answer(half);
    REQUIRE(play.ends());
    CHECK(play.received.ends_with("\r\n\r\n" + half + half));
}
