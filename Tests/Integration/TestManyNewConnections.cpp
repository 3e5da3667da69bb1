#include <TestMain.h>

#include <Harness/PlatformCluster.h>
#include <LibGateway/Asio.h>
#include <boost/asio/read_until.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <sys/time.h>
#include <thread>

namespace {

using Gateway::error_code;
using Gateway::tcp;
namespace asio = Gateway::asio;
using std::chrono::milliseconds;

/// Lets a process run for a small part of the time only, until it is destroyed.
class ProcessorQuota {
public:
    explicit ProcessorQuota(Harness::Process& process)
        : throttle([&process](std::stop_token const& stop) {
            while (!stop.stop_requested()) {
                process.freeze();
                std::this_thread::sleep_for(milliseconds(45));
                process.thaw();
                std::this_thread::sleep_for(milliseconds(5));
            }
        })
    {
    }

private:
    std::jthread throttle;
};

/// The rule holds from the time on that boxes need to learn of a change.
constexpr milliseconds contact { 3000 };

/// Clients that open a connection for each request and wait for its answer for a short time.
class Flood {
public:
    Flood(Harness::PlatformCluster const& site, std::size_t clients, milliseconds length)
    {
        auto const begin = std::chrono::steady_clock::now();
        auto const until = begin + length;
        std::vector<std::jthread> threads;
        threads.reserve(clients);
        for (std::size_t client = 0; client < clients; ++client)
            threads.emplace_back([this, &site, client, begin, until] {
                int number = 0;
                for (auto now = begin; now < until; now = std::chrono::steady_clock::now())
                    this->send(site, "f" + std::to_string(client) + "-" + std::to_string(number++) + "-",
                        now - begin >= contact);
            });
    }

    /// Of the requests that were sent while the rule held.
    std::vector<std::string> served;
    std::vector<std::string> not_served;

private:
    void send(Harness::PlatformCluster const& site, std::string const& id, bool counts)
    {
        asio::io_context context;
        tcp::socket socket(context);
        error_code error;
        socket.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(site.client_port("b1")) }, error);
        timeval const patience { 0, 600'000 };
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
        auto const request = "POST /repeat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Key: key\r\nX-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n";
        if (!error)
            asio::write(socket, asio::buffer(request), error);
        std::array<char, 512> answer {};
        auto const size = error ? -1 : recv(socket.native_handle(), answer.data(), answer.size(), 0);
        bool const is_served
            = size > 0 && std::string_view(answer.data(), static_cast<std::size_t>(size)).starts_with("HTTP/1.1 200 ");
        if (!is_served)
            std::this_thread::sleep_for(milliseconds(20));
        if (!counts)
            return;
        std::scoped_lock const lock(this->mutex);
        (is_served ? this->served : this->not_served).push_back(id);
    }

    std::mutex mutex;
};

}

TEST_CASE("a box that gets many more new connections than it can serve serves the requests that it reads")
{
    Harness::PlatformCluster site;
    for (auto const* name : { "d1", "d2", "d3" })
        site.start_server(name, "desk");
    site.configure(1, { "key" });
    site.start_box("b1");
    site.wait_ready("b1");
    REQUIRE(site.send("b1", "/repeat/x", "warm").status == 200);

    ProcessorQuota quota(site.process("b1"));
    Flood const flood(site, 40, 2 * contact);
    auto const log = site.log_of("b1");
    auto const lost = std::ranges::count_if(
        flood.not_served, [&](auto const& id) { return log.find("id=" + id + " ") != std::string::npos; });
    CAPTURE(flood.not_served.size());
    CHECK(flood.served.size() >= 4);
    // Three quarters of what is read; what is reset unread is sent again elsewhere.
    CHECK(4 * flood.served.size() >= 3 * (flood.served.size() + static_cast<std::size_t>(lost)));
}
