#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <LibGateway/Asio.h>
#include <boost/asio/read.hpp>

#include <array>
#include <string>
#include <thread>

namespace {

using Gateway::error_code;
using Gateway::tcp;
namespace asio = Gateway::asio;

/// All bytes of an answer, up to the end of its connection.
struct RawAnswer {
    std::string text;
    /// Whether the connection was closed in order instead of reset.
    bool is_closed_in_order { false };
};

/// Two boxes before endpoints whose answers have neither a length nor chunks.
struct OpenEndedSite : Harness::PlatformCluster {
    static constexpr std::array models { "m1", "m2" };

    OpenEndedSite()
    {
        for (auto const* name : models)
            this->start_proxied_server(name, "model", { "--ends_with_connection" });
        for (auto const* name : { "d1", "d2", "d3" })
            this->start_proxied_server(name, "desk", { "--ends_with_connection" });
        this->configure(1, { "key" });
        for (auto const* box : { "b1", "b2" })
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : { "b1", "b2" }) {
            this->wait_ready(box);
            Harness::wait_until(
                std::string(box) + " knows the other", [&] { return this->metric(box, "cleatbeam_boxes ") == 2; });
        }
    }

    /// All streams from now on are broken off inside this event; none if it is empty.
    void break_off(std::string const& event) const
    {
        for (auto const* name : models)
            static_cast<void>(this->get(name, "/break-off/" + event));
    }

    /// Whether the box has passed the begin of an answer on since it started.
    [[nodiscard]] bool is_streaming(std::string const& box) const
    {
        return this->metric(box, "cleatbeam_first_byte_seconds_count") > 0;
    }

    /// Sends a request with this version of HTTP, and reads to the end of the connection.
    [[nodiscard]] RawAnswer read(
        std::string const& path, std::string const& http_version, std::string const& events = "5") const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(this->client_port("b1")) });
        asio::write(socket,
            asio::buffer("POST " + path + " HTTP/" + http_version
                + "\r\nHost: h.example\r\nX-Attempt-Id: a\r\nX-Key: key\r\nX-Deadline-Ms: 5000\r\nX-Standin-Events: "
                + events
                + "\r\n"
                  "Connection: close\r\nContent-Length: 0\r\n\r\n"));
        RawAnswer answer;
        error_code error;
        asio::read(socket, asio::dynamic_buffer(answer.text), error);
        answer.is_closed_in_order = error == asio::error::eof;
        return answer;
    }
};

bool is_framed_as_complete(RawAnswer const& answer, std::string const& http_version)
{
    return http_version == "1.0" ? answer.is_closed_in_order : answer.text.ends_with("0\r\n\r\n");
}

}

TEST_CASE(
    "a stream that its endpoint broke off inside an event reaches no client as complete, directly or by another box")
{
    OpenEndedSite site;
    bool is_cut_off = false;
    SUBCASE("directly") { }
    SUBCASE("by way of another box")
    {
        site.cut_off("b1", Harness::Fault::Reset);
        is_cut_off = true;
    }
    if (is_cut_off) {
        Harness::wait_until("the box forwards requests", [&] {
            return site.send("b1", "/once/x", "probe").status == 200
                && site.metric("b1", "cleatbeam_endpoints_unreachable ") == 1;
        });
    }
    for (auto const* version : { "1.0", "1.1" }) {
        CAPTURE(version);
        site.break_off("3");
        auto const broken = site.read("/stream/x", version);
        CHECK(broken.text.starts_with("HTTP/1.1 200 "));
        CHECK_FALSE(is_framed_as_complete(broken, version));
        site.break_off("");
        auto const whole = site.read("/stream/x", version);
        CAPTURE(whole.text);
        CHECK(whole.text.find("data: a:5\n\n") != std::string::npos);
        CHECK(is_framed_as_complete(whole, version));
    }
}

TEST_CASE("a stream whose box is killed in the middle of it reaches no client as complete")
{
    OpenEndedSite site;
    for (auto const* version : { "1.0", "1.1" }) {
        CAPTURE(version);
        RawAnswer broken;
        std::jthread client([&] { broken = site.read("/stream/x", version, "2000"); });
        Harness::wait_until("the stream has begun", [&] { return site.is_streaming("b1"); });
        site.process("b1").kill();
        client.join();
        CHECK(broken.text.find("data: a:1\n\n") != std::string::npos);
        CHECK_FALSE(is_framed_as_complete(broken, version));
        site.start_box("b1", { 8000, 8000, 20000, true });
        site.wait_ready("b1");
    }
}
