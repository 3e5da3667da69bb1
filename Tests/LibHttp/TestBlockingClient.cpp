// Guards against threads of a box that take a part of an answer, or bytes that are no answer, for an answer, and
// against a peer that fills the box's memory or holds the thread for as long as it sends.

#include <TestMain.h>

#include <LibHttp/BlockingClient.h>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <thread>
#include <unistd.h>

namespace {

using namespace Http;

/// What the peer does with each connection, one after another.
struct Script {
    /// How much of the request it reads first.
    std::size_t read_bytes { 1 };
    std::string answer;
    /// Sent again and again behind it, until the connection breaks.
    std::string repeated {};
    bool resets { false };
    bool stays_open { false };
};

class ScriptedPeer {
public:
    explicit ScriptedPeer(std::vector<Script> scripts)
        : scripts(std::move(scripts))
        , listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(listen(this->listener, 8) == 0);
        socklen_t size = sizeof address;
        REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        this->port = ntohs(address.sin_port);
        this->thread = std::jthread([this] { this->serve(); });
    }
    ~ScriptedPeer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        for (auto const connection : this->kept)
            close(connection);
        close(this->listener);
    }
    ScriptedPeer(ScriptedPeer const&) = delete;
    ScriptedPeer& operator=(ScriptedPeer const&) = delete;

    int port { 0 };
    std::atomic<std::size_t> sent { 0 };

private:
    void serve()
    {
        for (auto const& script : this->scripts) {
            int const connection = accept(this->listener, nullptr, nullptr);
            if (connection < 0)
                return;
            this->play(connection, script);
            linger const at_once { 1, 0 };
            if (script.resets)
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            if (script.stays_open)
                this->kept.push_back(connection);
            else
                close(connection);
        }
    }

    void play(int connection, Script const& script)
    {
        std::array<char, 65536> piece {};
        for (std::size_t read_bytes = 0; read_bytes < script.read_bytes;) {
            auto const size = read(connection, piece.data(), piece.size());
            if (size <= 0)
                return;
            read_bytes += static_cast<std::size_t>(size);
        }
        static_cast<void>(send(connection, script.answer.data(), script.answer.size(), MSG_NOSIGNAL));
        std::string bytes;
        while (!script.repeated.empty() && bytes.size() < 64 * 1024)
            bytes += script.repeated;
        constexpr std::size_t max_sent = std::size_t { 256 } * 1024 * 1024;
        while (!bytes.empty() && this->sent < max_sent) {
            auto const size = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0)
                return;
            this->sent += static_cast<std::size_t>(size);
        }
    }

    std::vector<Script> scripts;
    int listener;
    std::vector<int> kept;
    std::jthread thread;
};

CallLimits const limits { std::chrono::seconds(1), std::chrono::seconds(5), std::nullopt, 1024UL * 1024 };
std::string const head = "HTTP/1.1 200 OK\r\n";
/// The peer reads 64 KB and what is on the way, the kernel holds some megabytes more.
constexpr std::size_t max_sent_bytes = std::size_t { 16 } * 1024 * 1024;

std::optional<WholeAnswer> answer_to(Script const& script, CallFailure& failure, std::string const& body = "body")
{
    ScriptedPeer const peer({ script });
    BlockingClient client("127.0.0.1", peer.port);
    return client.fetch({ "POST", "/x", {}, body }, limits, failure);
}

}

TEST_CASE("a whole answer is read, however its end is marked")
{
    CallFailure failure;
    for (std::string const framing : { "Content-Length: 5\r\n\r\nwhole",
             "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "\r\nwhole" }) {
        CAPTURE(framing);
        auto const answer = answer_to({ 1, head + framing }, failure);
        REQUIRE_MESSAGE(answer, failure.reason);
        CHECK(answer == WholeAnswer { 200, "whole" });
    }
    auto const answer
        = answer_to({ 1, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n" }, failure);
    CHECK(answer == WholeAnswer { 404, "" });
}

TEST_CASE("bytes that are no answer are none")
{
    std::string const length = "Content-Length: 2\r\n\r\nok";
    for (std::string const& text : { std::string("HTTP/1.1 000 OK\r\n") + length, "HTTP/1.1 099 OK\r\n" + length,
             "HTTP/1.1 101 OK\r\n" + length, "HTTP/1.1 150 OK\r\n" + length, "HTTP/1.1 600 OK\r\n" + length,
             "HTTP/1.1 20 OK\r\n" + length, "HTTP/1.1 -20 OK\r\n" + length, head + "X Bad: 1\r\n" + length,
             head + "X\x01: 1\r\n" + length, head + "Content-Length : 2\r\n\r\nok", head + " X: 1\r\n" + length,
             head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", head + "Transfer-Encoding: gzip\r\n\r\nok",
             head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
             head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
             std::string("\x16\x03\x01 no answer\r\n\r\n") }) {
        CAPTURE(text);
        CallFailure failure;
        CHECK_FALSE(answer_to({ 1, text }, failure));
        CHECK(failure.fault == CallFault::Broken);
    }
}

TEST_CASE("an answer that is cut short is not whole")
{
    for (bool const resets : { false, true }) {
        for (std::string const& text : { head, head + "Content-Length: 5\r\n\r\nwho",
                 head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n" }) {
            CAPTURE(text);
            CallFailure failure;
            CHECK_FALSE(answer_to({ 1, text, {}, resets }, failure));
        }
    }
    CallFailure failure;
    CHECK_FALSE(answer_to({ 1, head + "\r\npart", {}, true }, failure));
}

// The kernel reports a reset once, to the write; the read then sees an end of file.
TEST_CASE("an answer that ends with its connection while the request is being written is not whole")
{
    std::string const upload(std::size_t { 24 } * 1024 * 1024, 'u');
    for (bool const resets : { false, true }) {
        CallFailure failure;
        CHECK_FALSE(answer_to({ 1, head + "\r\npart", {}, resets }, failure, upload));
    }
}

TEST_CASE("a peer that sends without end is cut off")
{
    auto const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<Script> const endless { { 1, "HTTP/1.1 200 ", "f" }, { 1, head + "X: ", "f" },
        { 1, head, "X-Filler: f\r\n" }, { 1, "", "HTTP/1.1 103 Early Hints\r\n\r\n" }, { 1, chunked + "4;x=", "f" },
        { 1, chunked, "0" }, { 1, chunked + "2\r\nok\r\n0\r\n", "X-Filler: f\r\n" },
        { 1, chunked + "2\r\nok\r\n0\r\nX: ", "f" }, { 1, head + "\r\n", "f" } };
    for (auto const& script : endless) {
        CAPTURE(script.answer);
        ScriptedPeer const peer({ script });
        BlockingClient client("127.0.0.1", peer.port);
        CallFailure failure;
        CHECK_FALSE(client.fetch({ "GET", "/x" }, limits, failure));
        CHECK(peer.sent <= max_sent_bytes);
    }
}

TEST_CASE("a peer that falls silent within its head ends the call in time")
{
    CallLimits const short_limits { std::chrono::seconds(1), std::chrono::milliseconds(100),
        std::chrono::milliseconds(300), 1024 };
    ScriptedPeer const peer({ { 1, head, {}, false, true } });
    BlockingClient client("127.0.0.1", peer.port);
    CallFailure failure;
    auto const began = Core::monotonic_now();
    CHECK_FALSE(client.fetch({ "GET", "/x" }, short_limits, failure));
    CHECK(Core::monotonic_now() - began < std::chrono::seconds(5));
}

TEST_CASE("a connection is used again only if nothing came on it since the last answer")
{
    auto const whole = head + "Content-Length: 5\r\n\r\nfirst";
    std::string const extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    std::string behind;
    SUBCASE("bytes behind the answer")
    {
        behind = extra;
    }
    SUBCASE("a connection that is closed") { }
    ScriptedPeer const peer({ { 1, whole + behind }, { 1, head + "Content-Length: 6\r\n\r\nsecond" } });
    BlockingClient client("127.0.0.1", peer.port);
    CallFailure failure;
    CHECK(client.fetch({ "GET", "/x" }, limits, failure) == WholeAnswer { 200, "first" });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(client.fetch({ "GET", "/x" }, limits, failure) == WholeAnswer { 200, "second" });
}

TEST_CASE("a client that is stopped ends its call, and one that finds nobody says that nothing was sent")
{
    CallFailure failure;
    {
        ScriptedPeer const peer({ { 1, head, {}, false, true } });
        BlockingClient client("127.0.0.1", peer.port);
        std::jthread const stopper([&client] {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            client.stop();
        });
        CHECK_FALSE(client.fetch({ "GET", "/x" }, limits, failure));
        CHECK(failure.fault == CallFault::Stopped);
        CHECK_FALSE(client.fetch({ "GET", "/x" }, limits, failure));
        CHECK(failure.fault == CallFault::Stopped);
    }
    int closed_port = 0;
    {
        ScriptedPeer const peer({});
        closed_port = peer.port;
    }
    BlockingClient client("127.0.0.1", closed_port);
    CHECK_FALSE(client.fetch({ "GET", "/x" }, limits, failure));
    CHECK(failure.fault == CallFault::NotConnected);
}
