#include <TestMain.h>

#include <platform/RequestCodec.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>

namespace {

using namespace Adapter;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

HttpRequestHead request_head(std::string const& text)
{
    constexpr std::uint32_t max_header_bytes = 64 * 1024;
    http::request_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    REQUIRE(parser.is_header_done());
    return parser.get();
}

HttpAnswerHead answer_head(std::string const& text)
{
    http::response_parser<http::string_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    REQUIRE(parser.is_header_done());
    return parser.get();
}

std::string const streaming_request
    = "POST /a/b?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c41\r\nX-Model: m\r\n"
      "X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4:250\r\n"
      "x-oWn: Kept\r\nX-Deadline-Ms: 4000\r\nX-Key: secret\r\nX-Tenant: forged\r\n"
      "X-Expect-Instance: forged\r\nX-Request-Urgency: 0\r\nConnection: keep-alive, X-Hop\r\n"
      "X-Hop: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nContent-Length: 2\r\n\r\nab";

std::string changed_case(std::string text, int (*change)(int))
{
    for (auto& letter : text)
        letter = static_cast<char>(change(static_cast<unsigned char>(letter)));
    return text;
}

bool contains(std::string const& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_CASE("a header that only a box may set never passes from a client, however it is written")
{
    std::string const long_value(10'000, '7');
    for (std::string const name : { "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Expect-Version",
             "X-Tenant", "X-Expect-Instance", "X-Request-Urgency" }) {
        CAPTURE(name);
        auto const upper = changed_case(name, [](int letter) { return std::toupper(letter); });
        std::string const once = name + ": forged\r\n";
        for (auto const& fields :
            { once, once + once, upper + ": forged\r\n", name + ":\r\n", name + ": " + long_value + "\r\n",
                name + ":forged,\r\n" + upper + ": forged\r\n", "Connection: " + name + "\r\n" + once }) {
            auto const head = request_head("GET /a HTTP/1.1\r\nX-First: 1\r\n" + fields + "Host: h\r\n\r\n");
            auto const encoded = encode_request(head, {});
            CHECK_FALSE(contains(encoded, "forged"));
            CHECK_FALSE(contains(encoded, long_value));
            bool const is_set_by_box = name == "X-Expect-Instance" || name == "X-Request-Urgency";
            CHECK(contains(changed_case(encoded, [](int letter) { return std::toupper(letter); }), upper + ":")
                == is_set_by_box);
        }
    }
}

TEST_CASE("a reserved header behind a body in chunks does not pass either")
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    std::string const text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-Hold\r\n\r\n"
                             "2\r\nab\r\n0\r\nX-Hold: forged\r\n\r\n";
    parser.put(boost::asio::buffer(text), error);
    REQUIRE(parser.is_done());
    CHECK_FALSE(contains(encode_request(parser.get(), {}), "forged"));
}

TEST_CASE("a request's head is read into what the product knows of requests")
{
    Core::LastReason reason;
    auto const read = decode_request(request_head(streaming_request), reason);
    REQUIRE(read);
    CHECK(read->attempt == "9c41");
    CHECK(read->host == "h.example");
    CHECK(read->target == "/a/b?q=1");
    CHECK(read->api_key == "secret");
    CHECK(read->patience == std::chrono::seconds(4));
    CHECK(read->workload.prompt_tokens == 1460);
    CHECK(read->workload.answer_tokens == 80);
    CHECK(read->workload.prompt
        == std::vector<Routing::PromptPart> { { 0x5c1e07a2, 800 }, { 0x91bd3f06, 410 }, { 0xe4, 250 } });
}

TEST_CASE("heads that no endpoint could be given are refused")
{
    Core::LastReason reason;
    CHECK_FALSE(decode_request(request_head("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), reason)->takes_up_stream);
    CHECK(
        decode_request(request_head("GET / HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 2\r\n\r\n"), reason)->takes_up_stream);
    auto const resumed = decode_request(request_head("GET / HTTP/1.1\r\nHost: h\r\nResumes: 9c41\r\n\r\n"), reason);
    CHECK(resumed->takes_up_stream);
    CHECK(resumed->taken_up_attempt == "9c41");
    CHECK_FALSE(decode_request(request_head("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"), reason));
    CHECK_FALSE(decode_request(request_head("GET / HTTP/1.1\r\n\r\n"), reason));
    CHECK_FALSE(decode_request(request_head("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"), reason));
    CHECK_FALSE(decode_request(request_head("GET / HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: soon\r\n\r\n"), reason));
    CHECK_FALSE(decode_request(request_head("GET / HTTP/1.1\r\nHost: a\r\nX-Key: 1\r\nX-Key: 2\r\n\r\n"), reason));
    CHECK(decode_request(request_head("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), reason));
}

TEST_CASE("an endpoint gets the client's head without its key and its connection's headers, and this box's own")
{
    auto const sent
        = encode_request(request_head(streaming_request), { "account", "i-1", 2, milliseconds(1500), 2, {} });
    CHECK(sent.starts_with("POST /a/b?q=1 HTTP/1.1\r\nHost: h.example\r\n"));
    CHECK(sent.ends_with("\r\n\r\n"));
    for (auto const* part : { "X-Attempt-Id: 9c41\r\n", "X-Model: m\r\n", "X-Token-Count: 1460,80\r\n",
             "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4:250\r\n", "x-oWn: Kept\r\n", "X-Deadline-Ms: 1500\r\n",
             "X-Tenant: account\r\n", "X-Expect-Instance: i-1\r\n", "X-Request-Urgency: 2\r\n",
             "Content-Length: 2\r\n" })
        CHECK_MESSAGE(contains(sent, part), part);
    for (auto const* part : { "secret", "forged", "X-Key", "Connection", "X-Hop", "Keep-Alive", "TE:", "4000" })
        CHECK_MESSAGE(!contains(sent, part), part);
}

TEST_CASE("a request without a body gets no length, and no account where it has none")
{
    auto const sent = encode_request(request_head("GET /a/ HTTP/1.1\r\nHost: h\r\nX-Tenant: forged\r\n\r\n"),
        { "", "i-1", 0, milliseconds(1), {}, {} });
    CHECK_FALSE(contains(sent, "Content-Length"));
    CHECK_FALSE(contains(sent, "X-Tenant"));
}

TEST_CASE("a run that goes on names the last event, whatever the client sent")
{
    auto const head = request_head("POST /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c41\r\nLast-Event-Id: 3\r\n\r\n");
    auto const goes_on = encode_request(head, { "", "i-1", 0, milliseconds(1), {}, "5" });
    CHECK(contains(goes_on, "Last-Event-Id: 5\r\n"));
    CHECK_FALSE(contains(goes_on, "Last-Event-Id: 3"));
    CHECK(contains(encode_request(head, { "", "i-1", 0, milliseconds(1), {}, {} }), "Last-Event-Id: 3\r\n"));
}

TEST_CASE("what an endpoint says of a request is read from its answer's head")
{
    auto const facts = [](std::string const& text) { return decode_answer(answer_head(text + "\r\n"), "9c41"); };
    AnswerFacts own;
    own.names_request = true;
    CHECK(facts("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n") == own);
    CHECK(facts("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\n").lacks_proof);
    CHECK(facts("HTTP/1.1 206 OK\r\n").lacks_proof);
    CHECK_FALSE(facts("HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n").names_request);
    CHECK_FALSE(facts("HTTP/1.1 500 No\r\n").lacks_proof);
    CHECK(facts("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Attempt-Id: other\r\n").is_for_other_request);
    CHECK(facts("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n").is_for_other_request);
    CHECK(facts("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n").not_run);
    CHECK_FALSE(facts("HTTP/1.1 503 No\r\n").not_run);
    auto const moved = facts("HTTP/1.1 421 Misdirected Request\r\n");
    CHECK(moved.not_run);
    CHECK(moved.is_other_endpoint);
    CHECK(facts("HTTP/1.1 200 OK\r\nX-Server-Load: 3,0,8\r\n").load == Routing::ReportedLoad { 3, 0, 8 });
    CHECK_FALSE(facts("HTTP/1.1 200 OK\r\nX-Server-Load: 3,x,8\r\n").load);
    CHECK_FALSE(facts("HTTP/1.1 200 OK\r\nX-Server-Load: 3,0\r\n").load);
}

// Guards against a box that dropped the whole report where it has a fourth figure.
TEST_CASE("a load report may say how long work takes, and one that can't be read is kept for the log")
{
    auto const facts = [](std::string const& value) {
        return decode_answer(answer_head("HTTP/1.1 200 OK\r\nX-Server-Load: " + value + "\r\n\r\n"), "9c41");
    };
    CHECK(facts("3,0,8,250").load == Routing::ReportedLoad { 3, 0, 8, 250 });
    CHECK(facts(" 3 , 0 , 8 , 100 ").load == Routing::ReportedLoad { 3, 0, 8, 100 });
    CHECK(facts("3,0,8,100").unreadable_load.empty());
    for (std::string const unreadable :
        { "3,0,8,", "3,0,8,100,1", "3,0,8,x", "3,0,8,-1", "-3,0,8,100", "3,0", "busy", "99999999999,0,8,100" }) {
        CAPTURE(unreadable);
        CHECK_FALSE(facts(unreadable).load);
        CHECK(facts(unreadable).unreadable_load == unreadable);
    }
    CHECK(facts(std::string(1000, 'x')).unreadable_load.size() == 40);
}

TEST_CASE("the rate limit that an endpoint names is read from its answer's head")
{
    auto const limit = [](std::string const& line) {
        return decode_answer(answer_head("HTTP/1.1 200 OK\r\n" + line + "\r\n"), "9c41").rate_limit;
    };
    CHECK(limit("") == Routing::RateLimit {});
    CHECK(limit("Server-Limit: 1.1\r\n") == Routing::RateLimit { 1.1 });
    CHECK(limit("server-limit:  20 \r\n") == Routing::RateLimit { 20 });
    CHECK(limit("Server-Limit: 0\r\n") == Routing::RateLimit { 0 });
    for (auto const* unreadable : { "", "few", "1.1x", "-1", "nan", "inf", "1e999", "1,1" })
        CHECK_FALSE(limit(std::string("Server-Limit: ") + unreadable + "\r\n"));
}

TEST_CASE("how many requests an endpoint can reject is read from its answer's head, and nothing from what is no number")
{
    auto const read = [](std::string const& value) {
        HttpAnswerHead head;
        head.result(503);
        head.set("Server-Brittle", value);
        return decode_answer(head, "9c41").max_rejections;
    };
    CHECK(read("5") == 5);
    CHECK(read(" 0.5") == 0.5);
    CHECK(read("0") == 0);
    for (auto const* text : { "", "-1", "many", "5,5", "inf", "nan", "1e999" }) {
        CAPTURE(text);
        CHECK_FALSE(read(text));
    }
}

TEST_CASE("an endpoint that leaves is told by its answer's head")
{
    auto const leaving = [](std::string const& line) {
        return decode_answer(answer_head("HTTP/1.1 200 OK\r\n" + line + "\r\n"), "9c41").is_draining;
    };
    CHECK_FALSE(leaving(""));
    CHECK(leaving("Server-Leaving: 1\r\n"));
    CHECK(leaving("server-leaving:  1 \r\n"));
    for (auto const* other : { "", "0", "no", "11" })
        CHECK_FALSE(leaving(std::string("Server-Leaving: ") + other + "\r\n"));
}

TEST_CASE("how long an endpoint wants nothing is read from an answer that turns a request away")
{
    auto const backoff = [](std::string const& status, std::string const& value) {
        return decode_answer(answer_head("HTTP/1.1 " + status + "\r\nRetry-After: " + value + "\r\n\r\n"), "9c41")
            .backoff;
    };
    CHECK(backoff("503 No", "3") == std::chrono::seconds(3));
    CHECK(backoff("429 No", "0.25") == milliseconds(250));
    CHECK(backoff("503 No", "1e9") == std::chrono::seconds(600));
    CHECK_FALSE(backoff("200 OK", "3"));
    CHECK_FALSE(backoff("500 No", "3"));
    CHECK_FALSE(decode_answer(answer_head("HTTP/1.1 503 No\r\n\r\n"), "9c41").backoff);
    for (auto const* unreadable : { "", "soon", "3s", "-1", "0", "nan", "inf", "Thu, 03 Dec 2026 10:00:00 GMT" })
        CHECK_FALSE(backoff("503 No", unreadable));
}

TEST_CASE("an answer is passed on unchanged but for what concerns its connection")
{
    auto const head
        = answer_head("HTTP/1.1 200 Fine\r\nX-Response-Stamp: 3e1b.07\r\nx-Odd: A b\r\nConnection: close\r\n"
                      "Keep-Alive: timeout=4\r\nContent-Length: 5\r\n\r\n");
    auto const kept = encode_answer(head, { BodyFraming::Length, true });
    CHECK(kept == "HTTP/1.1 200 Fine\r\nX-Response-Stamp: 3e1b.07\r\nx-Odd: A b\r\nContent-Length: 5\r\n\r\n");
    CHECK(encode_answer(head, { BodyFraming::Chunked, false })
        == "HTTP/1.1 200 Fine\r\nX-Response-Stamp: 3e1b.07\r\nx-Odd: A b\r\nTransfer-Encoding: chunked\r\n"
           "Connection: close\r\n\r\n");
    CHECK(decode_keep_alive_timeout(head) == std::chrono::seconds(4));
    CHECK_FALSE(decode_keep_alive_timeout(answer_head("HTTP/1.1 200 OK\r\nKeep-Alive: max=4\r\n\r\n")));
}

TEST_CASE("an own answer names its reason and when to come back")
{
    auto const text = encode_local_answer({ 503, "9c41", Core::Reason::EndpointFull, milliseconds(150), false, false });
    CHECK(text.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    CHECK(contains(text, "X-Attempt-Id: 9c41\r\n"));
    CHECK(contains(text, "Retry-After: 0.150\r\n"));
    CHECK(contains(text, "Connection: close\r\n"));
    CHECK(text.ends_with("{\"reason\":\"endpoint-full\"}\n"));
    CHECK_FALSE(contains(text, "X-Response-Stamp"));
}
