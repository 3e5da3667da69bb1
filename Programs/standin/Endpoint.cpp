#include "SlotScheduler.h"
#include "Standin.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <gflags/gflags.h>
#include <httplib.h>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

DECLARE_string(port_file);
DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_int32(slots, 4, "requests served at once");
DEFINE_double(token_ms, 10, "time of one token for a request alone, in milliseconds");
DEFINE_double(batch_slope, 0.06, "growth of the token time with each further request in the batch");
DEFINE_double(prefill_token_ms, 0.2, "time of one prompt token, in milliseconds");
DEFINE_int32(prefix_cache, 32, "prompt prefixes kept");
DEFINE_int32(report_lag_ms, 200, "age of the load reports, in milliseconds");
DEFINE_bool(checks_keys, false, "runs each idempotency key at most once by itself");

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int tokens_per_chunk = 4;
constexpr int lowest_priority = 9;

/// What a caller asks of the stand-in, in the field `standin` of its body.
struct Job {
    std::string token;
    std::string key;
    int length { 16 };
    int prompt { 32 };
    double work_ms { 20 };
    std::string prefix;
    int priority { lowest_priority };
    bool stream { false };
};

struct JournalEntry {
    std::string token;
    std::string key;
    int tokens { 0 };
    /// Whether it still holds its slot.
    bool open { true };
    bool finished { false };
};

/// Every request that ran, for the checker.
class Journal {
public:
    std::size_t open(Job const& job)
    {
        std::scoped_lock const lock(this->mutex);
        this->entries.push_back({ job.token, job.key, 0, true, false });
        return this->entries.size() - 1;
    }
    void add_tokens(std::size_t entry, int tokens)
    {
        std::scoped_lock const lock(this->mutex);
        this->entries[entry].tokens += tokens;
    }
    void close(std::size_t entry, bool finished)
    {
        std::scoped_lock const lock(this->mutex);
        this->entries[entry].open = false;
        this->entries[entry].finished = finished;
    }
    nlohmann::json to_json()
    {
        std::scoped_lock const lock(this->mutex);
        auto list = nlohmann::json::array();
        for (auto const& entry : this->entries)
            list.push_back({ { "token", entry.token }, { "key", entry.key }, { "tokens", entry.tokens },
                { "open", entry.open }, { "finished", entry.finished } });
        return list;
    }

private:
    std::mutex mutex;
    std::deque<JournalEntry> entries;
};

class PrefixCache {
public:
    /// Whether the prefix was there; it is from now on.
    bool touch(std::string const& prefix)
    {
        std::scoped_lock const lock(this->mutex);
        auto const found = std::find(this->order.begin(), this->order.end(), prefix);
        auto const was_there = found != this->order.end();
        if (was_there)
            this->order.erase(found);
        this->order.push_front(prefix);
        if (this->order.size() > static_cast<std::size_t>(FLAGS_prefix_cache))
            this->order.pop_back();
        return was_there;
    }

private:
    std::mutex mutex;
    std::list<std::string> order;
};

struct Load {
    Clock::time_point at;
    int running { 0 };
    int queued { 0 };
};

class Endpoint {
public:
    Endpoint()
        : slots(FLAGS_slots)
        , reporter([this] { this->take_load_samples(); })
    {
    }
    ~Endpoint()
    {
        this->is_stopping = true;
        this->reporter.join();
    }
    Endpoint(Endpoint const&) = delete;
    Endpoint& operator=(Endpoint const&) = delete;

    void add_handlers(httplib::Server& server)
    {
        server.Get("/load",
            [this](auto const&, auto& response) { response.set_content(this->load_report(), "application/json"); });
        server.Get("/journal", [this](auto const&, auto& response) {
            response.set_content(this->journal.to_json().dump(), "application/json");
        });
        server.Post("/faults", [this](auto const& request, auto& response) {
            auto const json = nlohmann::json::parse(request.body, nullptr, false);
            this->slow_factor = json.value("slow", this->slow_factor.load());
            this->leaving = json.value("leaving", this->leaving.load());
            this->freeze_before_answer = json.value("freeze_before_answer", this->freeze_before_answer.load());
            response.set_content("ok\n", "text/plain");
        });
        server.Post("/v1/(chat/)?completions",
            [this](auto const& request, auto& response) { this->serve_model(request, response); });
        server.Post("/.*", [this](auto const& request, auto& response) { this->serve_plain(request, response); });
    }

private:
    static Job read_job(httplib::Request const& request)
    {
        auto const json = nlohmann::json::parse(request.body, nullptr, false);
        Job job;
        if (json.is_object()) {
            auto const wanted = json.value("standin", nlohmann::json::object());
            job.token = wanted.value("token", "");
            job.length = wanted.value("length", job.length);
            job.prompt = wanted.value("prompt", job.prompt);
            job.work_ms = wanted.value("work_ms", job.work_ms);
            job.prefix = wanted.value("prefix", "");
            job.stream = json.value("stream", false);
        }
        job.key = request.get_header_value("Idempotency-Key");
        if (request.has_header("X-Request-Priority"))
            job.priority = std::atoi(request.get_header_value("X-Request-Priority").c_str());
        return job;
    }

    void serve_model(httplib::Request const& request, httplib::Response& response)
    {
        auto const job = read_job(request);
        auto const type = job.stream ? "text/event-stream" : "application/json";
        response.set_chunked_content_provider(
            type, [this, job](std::size_t, httplib::DataSink& sink) { return this->generate(job, sink); });
    }

    bool generate(Job const& job, httplib::DataSink& sink)
    {
        if (!this->slots.acquire(job.priority, [&] { return !sink.is_writable(); }))
            return false;
        auto const entry = this->journal.open(job);
        auto const is_whole = this->generate_tokens(job, entry, sink);
        this->slots.release();
        this->journal.close(entry, is_whole);
        if (!is_whole)
            return false;
        sink.done();
        return true;
    }

    bool generate_tokens(Job const& job, std::size_t entry, httplib::DataSink& sink)
    {
        constexpr double cached_prefill_share = 0.2;
        auto const is_cached = !job.prefix.empty() && this->prefixes.touch(job.prefix);
        auto due = Clock::now();
        auto const pass = [&](double milliseconds) {
            due += std::chrono::duration_cast<Clock::duration>(Milliseconds(milliseconds * this->slow_factor));
            std::this_thread::sleep_until(due);
        };
        pass(job.prompt * FLAGS_prefill_token_ms * (is_cached ? cached_prefill_share : 1));
        std::string whole;
        for (int at = 0; at < job.length; at += tokens_per_chunk) {
            auto const count = std::min(tokens_per_chunk, job.length - at);
            pass(count * FLAGS_token_ms * (1 + FLAGS_batch_slope * (this->slots.running() - 1)));
            if (!sink.is_writable())
                return false;
            this->journal.add_tokens(entry, count);
            std::string text;
            for (int token = at; token < at + count; ++token)
                text += job.token + ":" + std::to_string(token) + " ";
            whole += text;
            if (!job.stream)
                continue;
            nlohmann::json const event { { "object", "chat.completion.chunk" },
                { "choices", { { { "index", 0 }, { "delta", { { "content", text } } } } } } };
            auto const line = "data: " + event.dump() + "\n\n";
            if (!sink.write(line.data(), line.size()))
                return false;
        }
        if (job.stream)
            return sink.write("data: [DONE]\n\n", 14);
        nlohmann::json const answer { { "object", "chat.completion" },
            { "choices", { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", whole } } } } } } };
        auto const text = answer.dump();
        return sink.write(text.data(), text.size());
    }

    void serve_plain(httplib::Request const& request, httplib::Response& response)
    {
        auto const job = read_job(request);
        if (FLAGS_checks_keys && !job.key.empty()) {
            std::scoped_lock const lock(this->known_mutex);
            auto const [known, is_new] = this->known_keys.emplace(job.key, job.token);
            if (!is_new) {
                response.set_content(
                    nlohmann::json { { "token", known->second }, { "done", true } }.dump(), "application/json");
                return;
            }
        }
        // NOTE: A plain service goes on with what it has begun when its caller leaves.
        if (!this->slots.acquire(job.priority, [] { return false; }))
            return;
        auto const entry = this->journal.open(job);
        std::this_thread::sleep_for(Milliseconds(job.work_ms * this->slow_factor));
        this->journal.add_tokens(entry, 1);
        this->journal.close(entry, true);
        this->slots.release();
        while (this->freeze_before_answer && !this->is_stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        response.set_content(nlohmann::json { { "token", job.token }, { "done", true } }.dump(), "application/json");
    }

    void take_load_samples()
    {
        constexpr auto sample_interval = std::chrono::milliseconds(25);
        while (!this->is_stopping) {
            {
                std::scoped_lock const lock(this->load_mutex);
                this->loads.push_back({ Clock::now(), this->slots.running(), this->slots.queued() });
                auto const oldest_wanted = Clock::now() - std::chrono::milliseconds(FLAGS_report_lag_ms);
                while (this->loads.size() > 1 && this->loads[1].at <= oldest_wanted)
                    this->loads.pop_front();
            }
            std::this_thread::sleep_for(sample_interval);
        }
    }

    std::string load_report()
    {
        std::scoped_lock const lock(this->load_mutex);
        auto const load = this->loads.empty() ? Load { Clock::now(), 0, 0 } : this->loads.front();
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - load.at).count();
        return nlohmann::json {
            { "running", load.running }, { "queued", load.queued }, { "slots", FLAGS_slots }, { "age_ms", age },
            { "leaving", this->leaving.load() }
        }.dump();
    }

    SlotScheduler slots;
    Journal journal;
    PrefixCache prefixes;
    std::atomic<double> slow_factor { 1 };
    std::atomic<bool> leaving { false };
    std::atomic<bool> freeze_before_answer { false };
    std::atomic<bool> is_stopping { false };
    std::mutex known_mutex;
    std::map<std::string, std::string> known_keys;
    std::mutex load_mutex;
    std::deque<Load> loads;
    std::thread reporter;
};

}

int run_endpoint()
{
    constexpr std::size_t threads = 400;
    block_end_signals();
    Endpoint endpoint;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(100000);
    endpoint.add_handlers(server);
    auto const port = FLAGS_port == 0                  ? server.bind_to_any_port("127.0.0.1")
        : server.bind_to_port("127.0.0.1", FLAGS_port) ? FLAGS_port
                                                       : -1;
    if (port <= 0)
        return 1;
    std::thread listener([&] { server.listen_after_bind(); });
    write_port_file(FLAGS_port_file, port);
    wait_for_end_signal();
    server.stop();
    listener.join();
    return 0;
}
