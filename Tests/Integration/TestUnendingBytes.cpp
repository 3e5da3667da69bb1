#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <LibGateway/Asio.h>
#include <boost/asio/read.hpp>

#include <atomic>
#include <fstream>
#include <thread>

/// A box before endpoints and clients that send bytes which are no answer or no body, until their connection is closed.
namespace {

using Gateway::error_code;
using Gateway::tcp;
namespace asio = Gateway::asio;
using Clock = std::chrono::steady_clock;

/// Number of calls at once whose peers send without end.
constexpr int calls_at_once = 8;

/// Sanitizers keep memory that was freed, 256 MB of it, and what they know of it.
#ifdef __SANITIZE_ADDRESS__
constexpr long max_growth_kilobytes = 512 * 1024;
#else
constexpr long max_growth_kilobytes = 64 * 1024;
#endif

/// The most memory that the process has held so far, in kilobytes.
long peak_memory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        long kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes;
    }
    return 0;
}

/// A box before two endpoints that answer in one style and a third that answers as usual.
struct EndlessSite : Harness::PlatformCluster {
    explicit EndlessSite(std::string const& style = {})
    {
        this->start_server("m1", "model");
        std::vector<std::string> flags;
        if (!style.empty())
            flags.push_back("--behaviour=" + this->write_file("d1.yaml", "seed: 7\nanswers:\n  " + style + ": 1.0\n"));
        this->start_server("d1", "desk", flags);
        this->configure(1, { "key" });
        this->start_box("b1", { 8000, 8000, 20000 });
        this->wait_ready("b1");
        // Requests that the box has served count as its usual memory.
        for (int number = 0; number < calls_at_once; ++number)
            REQUIRE(this->stream("warm-" + std::to_string(number)).status == 200);
        this->memory_before = peak_memory(this->process("b1").process_id());
    }

    [[nodiscard]] Harness::Reply stream(std::string const& attempt) const
    {
        return this->send("b1", "/stream/x", attempt, { { "X-Standin-Events", "3" }, { "X-Deadline-Ms", "3000" } });
    }

    /// Sends streams for as long as `is_running`, and returns how long the slowest took. All must be served.
    [[nodiscard]] std::chrono::milliseconds slowest_stream_while(std::atomic<bool> const& is_running) const
    {
        std::chrono::milliseconds slowest { 0 };
        for (int number = 0; is_running || number == 0; ++number) {
            auto const began = Clock::now();
            CHECK(this->stream("other-" + std::to_string(number)).status == 200);
            slowest = std::max(slowest, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began));
        }
        return slowest;
    }

    void check_memory()
    {
        auto const growth = peak_memory(this->process("b1").process_id()) - this->memory_before;
        MESSAGE("memory grew by " << growth << " KB");
        CHECK(growth < max_growth_kilobytes);
    }

    long memory_before { 0 };
};

/// Usual streams take about 20 ms. Beside requests whose peers never end, they must not wait for these.
constexpr std::chrono::milliseconds max_stream_time { 1000 };
/// Far below the request's deadline.
constexpr std::chrono::milliseconds max_answer_time { 1500 };
/// The request's deadline and a little more.
constexpr std::chrono::milliseconds max_passed_on_time { 6500 };

/// What a client receives that sends `begin` and then `repeated` until its connection is closed.
std::string answer_to_endless(int port, std::string const& begin, std::string const& repeated)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) });
    asio::write(socket, asio::buffer(begin));
    std::string piece;
    while (piece.size() < 64 * 1024)
        piece += repeated;
    // Far more than the box may read.
    constexpr std::size_t max_bytes = std::size_t { 256 } * 1024 * 1024;
    error_code error;
    socket.non_blocking(true);
    std::string received;
    std::array<char, 4096> buffer {};
    auto const ends_at = Clock::now() + std::chrono::seconds(10);
    for (std::size_t sent = 0; sent < max_bytes && Clock::now() < ends_at;) {
        error_code read_error;
        received.append(buffer.data(), socket.read_some(asio::buffer(buffer), read_error));
        if (read_error && read_error != asio::error::would_block)
            break;
        auto const written = socket.write_some(asio::buffer(piece), error);
        sent += written;
        if (error && error != asio::error::would_block && received.empty() && read_error == asio::error::would_block)
            break;
        if (written == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return received;
}

}

// Guards against a box whose memory an endpoint fills, and that serves its other requests late meanwhile.
TEST_CASE("endpoints that send without end are cut off, and the box serves its other requests as before")
{
    for (auto const* style : { "head_without_end", "interim_answers_without_end", "other_answers_without_end",
             "chunk_extension_without_end", "trailers_without_end", "failed_body_without_end" }) {
        CAPTURE(style);
        EndlessSite site(style);
        // An error that is not retried is passed on with its body, for as long as the request has time.
        bool const may_be_passed_on = std::string_view(style) == "failed_body_without_end";
        auto const* const path = may_be_passed_on ? "/repeat/x" : "/once/x";
        auto const max_time = may_be_passed_on ? max_passed_on_time : max_answer_time;
        std::atomic<bool> is_running { true };
        std::vector<std::thread> callers;
        std::array<Harness::Reply, calls_at_once> replies;
        std::array<std::chrono::milliseconds, calls_at_once> times {};
        std::atomic<int> open { calls_at_once };
        for (std::size_t number = 0; number < calls_at_once; ++number) {
            callers.emplace_back([&, number] {
                auto const began = Clock::now();
                replies[number]
                    = site.send("b1", path, "endless-" + std::to_string(number), { { "X-Deadline-Ms", "6000" } });
                times[number] = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began);
                is_running = --open > 0;
            });
        }
        auto const slowest = site.slowest_stream_while(is_running);
        for (auto& caller : callers)
            caller.join();
        CHECK(slowest < max_stream_time);
        for (std::size_t number = 0; number < calls_at_once; ++number) {
            CAPTURE(number);
            // The request may have run, so the answer promises nothing. One that has begun is cut off.
            CHECK((replies[number].status == 502 || replies[number].status == 0));
            CHECK(times[number] < max_time);
        }
        site.check_memory();
    }
}

// Guards against a box that exceeds its memory with events that are held back until they are whole.
TEST_CASE("streams whose endpoints send events without end don't fill the box")
{
    Harness::PlatformCluster site;
    auto const behaviour = site.write_file("m1.yaml", "seed: 7\nanswers:\n  event_without_end: 1.0\n");
    site.start_server("m1", "model", { "--behaviour=" + behaviour });
    site.start_server("d1", "desk");
    site.configure(1, { "key" });
    site.start_box("b1", { 8000, 8000, 20000 });
    site.wait_ready("b1");
    auto const call_desk = [&](std::string const& attempt) { return site.send("b1", "/once/x", attempt).status; };
    for (int number = 0; number < calls_at_once; ++number)
        REQUIRE(call_desk("warm-" + std::to_string(number)) == 200);
    auto const before = peak_memory(site.process("b1").process_id());
    std::vector<std::thread> callers;
    std::array<Harness::Reply, calls_at_once> replies;
    for (std::size_t number = 0; number < calls_at_once; ++number) {
        callers.emplace_back([&, number] {
            replies[number] = site.send("b1", "/resume/x", "endless-" + std::to_string(number),
                { { "X-Standin-Events", "3" }, { "X-Deadline-Ms", "3000" } });
        });
    }
    for (auto& caller : callers)
        caller.join();
    for (auto const& reply : replies)
        CHECK(reply.status != 200);
    CHECK(call_desk("after") == 200);
    auto const growth = peak_memory(site.process("b1").process_id()) - before;
    MESSAGE("memory grew by " << growth << " KB");
    CHECK(growth < max_growth_kilobytes);
    CHECK(site.metric("b1", "cleatbeam_answer_excesses_total{part=\"event\"}") > 0);
}

// Guards against a box that passes such bytes on to another one, or whose memory fills with them.
TEST_CASE("an endpoint that sends without end is cut off by the box that serves the request for another one")
{
    Harness::PlatformCluster site;
    auto const behaviour = site.write_file("d1.yaml", "seed: 7\nanswers:\n  chunk_extension_without_end: 1.0\n");
    site.start_proxied_server("m1", "model");
    site.start_proxied_server("d1", "desk", { "--behaviour=" + behaviour });
    site.configure(1, { "key" });
    for (auto const* box : { "b1", "b2" })
        site.start_box(box, { 8000, 8000, 20000, true });
    for (auto const* box : { "b1", "b2" }) {
        site.wait_ready(box);
        Harness::wait_until(
            std::string(box) + " knows the other", [&] { return site.metric(box, "cleatbeam_boxes ") == 2; });
    }
    auto const stream = [&](std::string const& attempt) {
        return site.send("b1", "/stream/x", attempt, { { "X-Standin-Events", "3" } }).status;
    };
    site.cut_off("b1", Harness::Fault::Reset);
    Harness::wait_until("the box forwards requests",
        [&] { return stream("probe") == 200 && site.metric("b1", "cleatbeam_endpoints_unreachable ") == 1; });
    auto const before = peak_memory(site.process("b1").process_id()) + peak_memory(site.process("b2").process_id());
    for (int number = 0; number < calls_at_once; ++number) {
        auto const began = Clock::now();
        auto const status
            = site.send("b1", "/once/x", "endless-" + std::to_string(number), { { "X-Deadline-Ms", "6000" } }).status;
        CHECK((status == 502 || status == 0));
        CHECK(Clock::now() - began < max_answer_time);
    }
    CHECK(site.metric("b2", "cleatbeam_answer_excesses_total{part=\"beside-body\"}") > 0);
    CHECK(stream("after") == 200);
    auto const after = peak_memory(site.process("b1").process_id()) + peak_memory(site.process("b2").process_id());
    CHECK(after - before < 2 * max_growth_kilobytes);
}

// Guards against a client without a key that fills the box's memory.
TEST_CASE("clients that send without end beside a body are refused, and the box serves its other requests as before")
{
    EndlessSite site;
    std::string const begin = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const& endless : { std::pair { begin + "4;x=", std::string("f") },
             std::pair { begin + "2\r\nok\r\n0\r\n", std::string("X-Filler: f\r\n") } }) {
        CAPTURE(endless.first);
        std::atomic<bool> is_running { true };
        std::atomic<int> open { calls_at_once };
        std::vector<std::thread> clients;
        std::array<std::string, calls_at_once> received;
        for (std::size_t number = 0; number < calls_at_once; ++number) {
            clients.emplace_back([&, number] {
                received[number] = answer_to_endless(site.client_port("b1"), endless.first, endless.second);
                is_running = --open > 0;
            });
        }
        auto const slowest = site.slowest_stream_while(is_running);
        for (auto& client : clients)
            client.join();
        CHECK(slowest < max_stream_time);
        // The refusal may be lost, since the connection is reset while the client sends.
        for (auto const& answer : received)
            CHECK((answer.empty() || answer.starts_with("HTTP/1.1 431 ")));
    }
    site.check_memory();
    CHECK(site.metric("b1", "cleatbeam_refusals_total{reason=\"header-too-large\"}") == 2 * calls_at_once);
    CHECK(site.runs("") == 0);
}
