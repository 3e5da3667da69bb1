#include "Standin.h"

#include <LibPlatform/Base64.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <gflags/gflags.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

DECLARE_string(port_file);
DEFINE_int32(appends_per_second, 300, "appends that the log takes a second");
DEFINE_int32(append_ms, 3, "time that an append takes, in milliseconds");
DEFINE_int64(retention_records, 1000000, "records that a stream keeps");

namespace {

using Clock = std::chrono::steady_clock;

constexpr int status_created = 201;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

/// Faults that a test switches on with POST /faults.
struct Faults {
    std::atomic<bool> outage { false };
    std::atomic<bool> refuse_appends { false };
    /// Reads answer as if nothing had been appended since.
    std::atomic<bool> hold_reads { false };
    /// The next so many appends take effect, but their answers are lost.
    std::atomic<int> lost_answers { 0 };
    /// The next so many appends lose their answers and take effect only after `late_ms`.
    std::atomic<int> late_appends { 0 };
    std::atomic<int> late_ms { 0 };
};

struct Stream {
    std::uint64_t first { 0 };
    std::deque<std::string> records;
    [[nodiscard]] std::uint64_t next() const { return this->first + this->records.size(); }
};

class Log {
public:
    /// The offset, or nothing when the rate is exceeded.
    std::optional<std::uint64_t> append(std::string const& name, std::string payload)
    {
        std::scoped_lock const lock(this->mutex);
        auto const now = Clock::now();
        auto const seconds = std::chrono::duration<double>(now - this->last_refill).count();
        this->tokens = std::min<double>(FLAGS_appends_per_second, this->tokens + seconds * FLAGS_appends_per_second);
        this->last_refill = now;
        if (this->tokens < 1)
            return {};
        this->tokens -= 1;
        ++this->appends;
        return this->add(name, std::move(payload));
    }

    std::uint64_t append_late(std::string const& name, std::string payload)
    {
        std::scoped_lock const lock(this->mutex);
        return this->add(name, std::move(payload));
    }

    nlohmann::json read(std::string const& name, std::uint64_t from, std::uint64_t most, std::chrono::milliseconds wait)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, wait, [&] { return this->streams[name].next() > from; });
        auto const& stream = this->streams[name];
        nlohmann::json page { { "earliest", stream.first }, { "next", stream.next() },
            { "records", nlohmann::json::array() } };
        for (auto offset = std::max(from, stream.first); offset < stream.next() && page["records"].size() < most;
             ++offset)
            page["records"].push_back(
                { { "offset", offset }, { "data", Platform::to_base64(stream.records[offset - stream.first]) } });
        return page;
    }

    std::uint64_t count(std::string const& name)
    {
        std::scoped_lock const lock(this->mutex);
        return this->streams[name].next();
    }

    std::uint64_t append_count()
    {
        std::scoped_lock const lock(this->mutex);
        return this->appends;
    }

private:
    std::uint64_t add(std::string const& name, std::string payload)
    {
        auto& stream = this->streams[name];
        stream.records.push_back(std::move(payload));
        while (stream.records.size() > static_cast<std::size_t>(FLAGS_retention_records)) {
            stream.records.pop_front();
            ++stream.first;
        }
        this->changed.notify_all();
        return stream.next() - 1;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Stream> streams;
    double tokens { static_cast<double>(FLAGS_appends_per_second) };
    Clock::time_point last_refill { Clock::now() };
    std::uint64_t appends { 0 };
};

/// Closes the connection in place of an answer.
void lose_answer(httplib::Response& response)
{
    response.set_content_provider(1, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

bool take_one(std::atomic<int>& counter)
{
    auto left = counter.load();
    while (left > 0) {
        if (counter.compare_exchange_weak(left, left - 1))
            return true;
    }
    return false;
}

void handle_append(Log& log, Faults& faults, httplib::Request const& request, httplib::Response& response)
{
    if (faults.outage || faults.refuse_appends) {
        response.status = status_unavailable;
        return;
    }
    auto const name = request.matches[1].str();
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_append_ms));
    if (take_one(faults.late_appends)) {
        std::thread([&log, name, body = request.body, late = faults.late_ms.load()] {
            std::this_thread::sleep_for(std::chrono::milliseconds(late));
            log.append_late(name, body);
        }).detach();
        lose_answer(response);
        return;
    }
    auto const offset = log.append(name, request.body);
    if (!offset) {
        response.status = status_too_many;
        return;
    }
    if (take_one(faults.lost_answers)) {
        lose_answer(response);
        return;
    }
    response.status = status_created;
    response.set_content(nlohmann::json { { "offset", *offset } }.dump(), "application/json");
}

void handle_read(Log& log, Faults& faults, httplib::Request const& request, httplib::Response& response)
{
    if (faults.outage) {
        response.status = status_unavailable;
        return;
    }
    auto const number
        = [&](char const* name) { return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10); };
    auto page = log.read(
        request.matches[1].str(), number("from"), number("max"), std::chrono::milliseconds(number("wait_ms")));
    if (faults.hold_reads) {
        page["records"] = nlohmann::json::array();
        page["next"] = std::max(number("from"), page["earliest"].get<unsigned long long>());
    }
    response.set_content(page.dump(), "application/json");
}

void handle_faults(Faults& faults, httplib::Request const& request, httplib::Response& response)
{
    auto const json = nlohmann::json::parse(request.body, nullptr, false);
    faults.outage = json.value("outage", faults.outage.load());
    faults.refuse_appends = json.value("refuse_appends", faults.refuse_appends.load());
    faults.hold_reads = json.value("hold_reads", faults.hold_reads.load());
    faults.lost_answers = json.value("lost_answers", faults.lost_answers.load());
    faults.late_ms = json.value("late_ms", faults.late_ms.load());
    faults.late_appends = json.value("late_appends", faults.late_appends.load());
    response.set_content("ok\n", "text/plain");
}

}

int run_platform()
{
    constexpr std::size_t threads = 64;
    block_end_signals();
    Log log;
    Faults faults;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.Post("/streams/([a-z0-9-]+)/records",
        [&](auto const& request, auto& response) { handle_append(log, faults, request, response); });
    server.Get("/streams/([a-z0-9-]+)/records",
        [&](auto const& request, auto& response) { handle_read(log, faults, request, response); });
    server.Post("/faults", [&](auto const& request, auto& response) { handle_faults(faults, request, response); });
    // For the checker; no fault applies to it.
    server.Get("/streams/([a-z0-9-]+)/count", [&](auto const& request, auto& response) {
        response.set_content(std::to_string(log.count(request.matches[1].str())), "text/plain");
    });
    server.Get("/appends",
        [&](auto const&, auto& response) { response.set_content(std::to_string(log.append_count()), "text/plain"); });
    auto const port = server.bind_to_any_port("127.0.0.1");
    std::thread listener([&] { server.listen_after_bind(); });
    write_port_file(FLAGS_port_file, port);
    wait_for_end_signal();
    server.stop();
    listener.join();
    return 0;
}
