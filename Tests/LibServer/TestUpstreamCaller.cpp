#include <TestMain.h>

#include <LibServer/UpstreamCaller.h>
#include <arpa/inet.h>
#include <array>
#include <thread>
#include <unistd.h>

namespace {

using namespace Server;

/// An endpoint that sends the same bytes to each request and ends the connection.
class CuttingEndpoint {
public:
    explicit CuttingEndpoint(std::string text, bool resets)
        : text(std::move(text))
        , resets(resets)
        , listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(listen(this->listener, 1) == 0);
        socklen_t size = sizeof address;
        REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        this->port = ntohs(address.sin_port);
        this->thread = std::jthread([this] { this->serve_one(); });
    }
    ~CuttingEndpoint()
    {
        this->thread.join();
        close(this->listener);
    }
    CuttingEndpoint(CuttingEndpoint const&) = delete;
    CuttingEndpoint& operator=(CuttingEndpoint const&) = delete;

    int port { 0 };

private:
    void serve_one()
    {
        int const connection = accept(this->listener, nullptr, nullptr);
        std::string received;
        std::array<char, 4096> piece {};
        while (!received.ends_with("body")) {
            auto const size = read(connection, piece.data(), piece.size());
            if (size <= 0)
                break;
            received.append(piece.data(), static_cast<std::size_t>(size));
        }
        static_cast<void>(write(connection, this->text.data(), this->text.size()));
        linger const at_once { 1, 0 };
        if (this->resets)
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close(connection);
    }

    std::string text;
    bool resets;
    int listener;
    std::jthread thread;
};

AttemptReport call(std::string const& answer, bool resets, bool is_streaming)
{
    CuttingEndpoint const endpoint(answer, resets);
    Settings::ClassSettings lookup;
    lookup.patience = std::chrono::seconds(5);
    Traffic::RequestFacts facts;
    facts.streaming = is_streaming;
    RequestFlow flow(facts, "lookup", "hall", lookup, { "/x", "text/plain", "body", "" });
    Settings::EndpointSettings settings;
    settings.host = "127.0.0.1";
    settings.port = endpoint.port;
    UpstreamCaller caller;
    return caller.call(flow, settings, Core::TierId { 0 }, [] {});
}

std::string const common = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

}

TEST_CASE("a whole answer is completed")
{
    auto const report = call(common + "Content-Length: 2\r\n\r\nok", false, false);
    CHECK(report.result == Traffic::AttemptResult::Completed);
    CHECK(report.body == "ok");
}

TEST_CASE("an answer whose head the endpoint did not finish is not completed")
{
    bool is_streaming = false;
    SUBCASE("of a call") { }
    SUBCASE("of a stream")
    {
        is_streaming = true;
    }
    for (auto const& framing :
        { "Content-Length: 2\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "Connection: close\r\n\r\n" }) {
        auto const head = common + framing;
        for (std::size_t length = 0; length < head.size(); ++length) {
            for (bool const resets : { false, true }) {
                auto const cut = head.substr(0, length);
                CAPTURE(cut);
                auto const report = call(cut, resets, is_streaming);
                CHECK(report.result != Traffic::AttemptResult::Completed);
                CHECK_FALSE(report.was_passed_on);
            }
        }
    }
}

// Guards against a caller that gets bytes of an endpoint in trouble as its answer.
TEST_CASE("bytes that are no answer are not completed")
{
    std::string const length = "Content-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nok";
    for (bool const is_streaming : { false, true }) {
        for (std::string const& text : { "HTTP/1.1 000 OK\r\n" + length, "HTTP/1.1 099 OK\r\n" + length,
                 "HTTP/1.1 150 OK\r\n" + length, "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + length,
                 "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + length, "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n" + length }) {
            CAPTURE(text);
            auto const report = call(text, false, is_streaming);
            CHECK(report.result == Traffic::AttemptResult::Failed);
            CHECK_FALSE(report.was_passed_on);
            CHECK(report.body.empty());
        }
    }
}

// Guards against a box whose memory one endpoint fills with a head, or with what stands beside a body.
TEST_CASE("an answer whose head or trailers exceed the limit is not read on")
{
    std::string const filler(std::size_t { 1024 } * 1024, 'f');
    std::string fields;
    while (fields.size() < filler.size())
        fields += "X-Filler: f\r\n";
    auto const chunked = common + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    for (auto const& text : { "HTTP/1.1 200 " + filler, common + "X: " + filler, common + fields,
             chunked + "4;x=" + filler, chunked + "0\r\n" + fields }) {
        auto const report = call(text + "\r\n\r\n", false, false);
        CHECK(report.result == Traffic::AttemptResult::Failed);
    }
}
