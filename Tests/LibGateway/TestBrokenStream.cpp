#include <TestMain.h>

#include "ScriptedExchange.h"

#include <array>

using namespace Gateway;

namespace {

std::string const open_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n";
std::string const open_stream_head = open_head + "Content-Type: text/event-stream\r\n\r\n";

/// The body of a chunked answer to the client, without the framing, and whether its last chunk has come.
struct ReceivedBody {
    std::string text;
    bool is_complete { false };
};

ReceivedBody body_of(std::string const& received)
{
    constexpr int hexadecimal = 16;
    ReceivedBody body;
    auto at = received.find("\r\n\r\n") + 4;
    while (at < received.size()) {
        auto const line_end = received.find("\r\n", at);
        auto const size = std::stoul(received.substr(at, line_end - at), nullptr, hexadecimal);
        if (size == 0)
            return { body.text, true };
        body.text += received.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
    return body;
}

/// Whether closing the client's connection resets it.
bool is_reset_on_close(tcp::socket const& socket)
{
    asio::socket_base::linger linger;
    socket.get_option(linger);
    return linger.enabled() && linger.timeout() == 0;
}

}

TEST_CASE("a stream whose endpoint closes the connection inside an event is not framed as complete")
{
    std::string const whole = "id: 1\ndata: a\n\n";
    std::string const cut_event = "id: 2\ndata: b\n\n";
    for (std::size_t cut = 1; cut < cut_event.size(); ++cut) {
        CAPTURE(cut);
        Exchange request(RouteKind::Streaming);
        request.start();
        auto& endpoint = *request.endpoints[request.wait_for_arrival()];
        endpoint.answer(open_stream_head + whole + cut_event.substr(0, cut));
        endpoint.close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 200 "));
        CHECK(body_of(request.received).text.starts_with(whole));
        CHECK_FALSE(body_of(request.received).is_complete);
        CHECK_FALSE(request.keeps_client);
    }
}

TEST_CASE("a stream cut between the two bytes of a line end is not framed as complete")
{
    Exchange request(RouteKind::Streaming);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(open_stream_head + "id: 1\r\ndata: a\r\n\r");
    endpoint.close();
    REQUIRE(request.ends());
    CHECK_FALSE(body_of(request.received).is_complete);
}

TEST_CASE(
    "a client of HTTP/1.0 sees a reset where its stream was broken off inside an event, and an end where it was whole")
{
    Exchange request(RouteKind::Streaming);
    request.http_version = 10;
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    SUBCASE("broken off")
    {
        endpoint.answer(open_stream_head + "id: 1\n\nid: 2\n");
        endpoint.close();
        REQUIRE(request.ends());
        CHECK(is_reset_on_close(*request.socket));
    }
    SUBCASE("whole")
    {
        endpoint.answer(open_stream_head + "id: 1\n\nid: 2\n\n");
        endpoint.close();
        REQUIRE(request.ends());
        CHECK_FALSE(is_reset_on_close(*request.socket));
        CHECK(request.received.ends_with("\r\n\r\nid: 1\n\nid: 2\n\n"));
    }
    CHECK_FALSE(request.keeps_client);
}

TEST_CASE("a stream that ended with its connection inside an event goes on at another endpoint if it can be resumed")
{
    for (auto const* const line_end : { "\n", "\r\n", "\r" }) {
        CAPTURE(line_end);
        auto const event
            = [line_end](std::string const& id) { return "id: " + id + line_end + "data: x" + line_end + line_end; };
        Exchange request(RouteKind::Streaming, 2, 2, true);
        request.start();
        auto& first = *request.endpoints[request.wait_for_arrival()];
        first.answer(open_stream_head + event("1") + "id: 2" + line_end);
        first.close();
        auto& second = *request.endpoints[request.wait_for_arrival()];
        CHECK(second.connections[0]->received.find("Last-Event-Id: 1\r\n") != std::string::npos);
        second.answer(open_stream_head + event("2"));
        second.close();
        REQUIRE(request.ends());
        CHECK(body_of(request.received).text == event("1") + event("2"));
        CHECK(body_of(request.received).is_complete);
    }
}

TEST_CASE("a stream that ended with its connection before its first event is tried elsewhere or fails")
{
    for (auto const* const begin : { "", "id: 1\n", ": comment\n\n" }) {
        CAPTURE(begin);
        Exchange request(RouteKind::Streaming, 2, 2, true);
        request.start();
        auto& first = *request.endpoints[request.wait_for_arrival()];
        first.answer(open_stream_head + begin);
        first.close();
        auto& second = *request.endpoints[request.wait_for_arrival()];
        second.answer(open_stream_head + "id: 1\n\n");
        second.close();
        REQUIRE(request.ends());
        CHECK(body_of(request.received).text.ends_with("id: 1\n\n"));
        CHECK(body_of(request.received).is_complete);
    }
    Exchange request(RouteKind::Streaming);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(open_stream_head);
    endpoint.close();
    REQUIRE(request.ends());
    CHECK(request.received.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a stream continued by an answer that ends with its connection before any event is not framed as complete")
{
    SUBCASE("within one answer")
    {
        Exchange request(RouteKind::Streaming, 2, 2, true);
        request.start();
        auto& first = *request.endpoints[request.wait_for_arrival()];
        first.answer(open_stream_head + "id: 1\n\nid: 2");
        first.close();
        auto& second = *request.endpoints[request.wait_for_arrival()];
        second.answer(open_stream_head);
        second.close();
        REQUIRE(request.ends());
        CHECK(body_of(request.received).text == "id: 1\n\n");
        CHECK_FALSE(body_of(request.received).is_complete);
    }
    SUBCASE("taken up by the client")
    {
        Exchange request(RouteKind::Streaming, 1, 1, true);
        request.last_event_id = "1";
        request.start();
        auto& endpoint = *request.endpoints[request.wait_for_arrival()];
        endpoint.answer(open_stream_head);
        endpoint.close();
        REQUIRE(request.ends());
        CHECK(request.received.starts_with("HTTP/1.1 502 "));
    }
}

TEST_CASE("a client of HTTP/1.0 sees a reset if the process of its box ends in the middle of a stream")
{
    Exchange request(RouteKind::Streaming);
    request.http_version = 10;
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(open_stream_head + "id: 1\n\n");
    REQUIRE(request.reach([&] { return request.received.ends_with("id: 1\n\n"); }));
    CHECK(is_reset_on_close(*request.socket));
    endpoint.answer("id: 2\n\n");
    endpoint.close();
    REQUIRE(request.ends());
    CHECK_FALSE(is_reset_on_close(*request.socket));
}

TEST_CASE("a whole stream without length or chunks is passed on as complete")
{
    constexpr std::array streams { std::string_view("id: 1\n\nid: 2\n\n"), std::string_view("id: 1\r\rid: 2\r\r"),
        std::string_view("\xEF\xBB\xBFid: 1\r\n\r\nid: 2\r\n\r\n"), std::string_view("id: 1\n\n: the end\n") };
    for (bool const can_resume : { false, true }) {
        for (auto const stream : streams) {
            Exchange request(RouteKind::Streaming, 2, 2, can_resume);
            request.start();
            auto& endpoint = *request.endpoints[request.wait_for_arrival()];
            endpoint.answer(open_stream_head + std::string(stream));
            endpoint.close();
            REQUIRE(request.ends());
            CHECK(body_of(request.received).text == stream);
            CHECK(body_of(request.received).is_complete);
            CHECK(request.arrival_count() == 1);
        }
    }
}

TEST_CASE("an answer without length or chunks that is no stream is passed on up to the end of its connection")
{
    Exchange request(RouteKind::Streaming);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(open_head + "Content-Type: application/json\r\n\r\n{}");
    endpoint.close();
    REQUIRE(request.ends());
    CHECK(body_of(request.received).text == "{}");
    CHECK(body_of(request.received).is_complete);
}

TEST_CASE("a broken stream counts as one for the record of crashes, and its connection carries no further request")
{
    Exchange request(RouteKind::Streaming);
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(open_stream_head + "id: 1\n\nid: 2");
    endpoint.close();
    REQUIRE(request.ends());
    // The endpoint is asked for a connection again, to find out whether its process has ended.
    CHECK(request.reach([&] { return endpoint.connections.size() > 1; }));
    CHECK(request.arrival_count() == 1);
}
