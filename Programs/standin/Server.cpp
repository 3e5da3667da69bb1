#include "AnswerWriter.h"
#include "Behaviour.h"
#include "HttpSession.h"
#include "Standin.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

DECLARE_string(port_file);
DEFINE_string(store, "", "address of the stand-in store, IP:PORT");
DEFINE_string(service, "desk", "the service that the server belongs to");
DEFINE_string(incarnation, "i-1", "the server's own id");
DEFINE_string(failure_domain, "hall-1", "where the server stands");
DEFINE_int32(server_slots, 64, "requests at once");
DEFINE_int32(server_queue, 0, "requests that may wait for a slot; further ones are rejected");
DEFINE_int32(work_ms, 5, "time for a plain call, and between two events of a stream");
DEFINE_int32(heartbeat_ms, 200, "time between two records in the store");
DEFINE_int32(listed_port, 0, "port in the server's record, such as that of a proxy; 0 for its own");
DEFINE_string(crash_on, "", "the process ends when it runs a request whose body holds this text");
DEFINE_string(crash_on_part, "",
    "the process ends when it begins to answer a request whose prompt has the part with this id, not as its last");
DEFINE_int32(crash_at_event, 0, "the event of a stream inside which it ends so; 0 to end before the answer");
DEFINE_int32(crash_after_ms, 0, "how long it runs such a request before it ends");
DEFINE_int32(listen_after_crash_ms, 0, "how long it still accepts connections after it broke the request's");
DEFINE_string(software_version, "v1", "version of its software in the server's record");
DEFINE_string(behaviour, "", "file that says how often it answers in which style; none for the usual one");
DEFINE_bool(ends_with_connection, false, "answers have neither a length nor chunks, and end with their connection");

/// A server of the users' platform as their pages tell it: keeps itself in the store, checks who a request is for,
/// streams events, says what it did not run, and keeps a journal of what it ran.
namespace {

using namespace Standin;
using nlohmann::json;

class Server {
public:
    Server(asio::io_context& context, Behaviour behaviour)
        : context(context)
        , styles(std::move(behaviour))
    {
    }

    void start(std::uint16_t port)
    {
        this->address = "127.0.0.1:" + std::to_string(FLAGS_listed_port == 0 ? port : FLAGS_listed_port);
        asio::co_spawn(this->context, this->keep_listed(), asio::detached);
    }

    Task<bool> handle(std::shared_ptr<Session> session, Request request)
    {
        std::string const target(request.target());
        if (auto const answer = this->answer_test(target))
            co_return co_await session->answer(200, *answer);
        if (target == "/drain") {
            this->is_draining = true;
            co_await this->tell_store(this->record());
            co_return co_await session->answer(200, "{}");
        }
        std::string const attempt(request["X-Attempt-Id"]);
        this->arrivals_ms.push_back(Core::to_milliseconds(Core::monotonic_now() - this->started));
        if (request["X-Expect-Instance"] != FLAGS_incarnation)
            co_return co_await session->answer(421, "", "X-Instance-Id: " + FLAGS_incarnation + "\r\n");
        if (!this->retry_after.empty())
            co_return co_await session->answer(
                503, "", "X-Not-Executed: 1\r\nRetry-After: " + this->retry_after + "\r\n");
        if (!co_await this->acquire_slot()) {
            this->count_rejection();
            co_return co_await session->answer(503, "", "X-Not-Executed: 1\r\n" + this->brittle_header());
        }
        this->report_run(request, attempt);
        if (!FLAGS_crash_on.empty() && request.body().find(FLAGS_crash_on) != std::string::npos) {
            co_await Gateway::sleep_for(std::chrono::milliseconds(FLAGS_crash_after_ms));
            crash(*session);
        }
        bool const is_harmful = has_harmful_part(request["X-Prompt-Prefix"]);
        if (is_harmful && FLAGS_crash_at_event == 0) {
            co_await Gateway::sleep_for(std::chrono::milliseconds(FLAGS_crash_after_ms));
            crash(*session);
        }
        bool const is_open = co_await this->run(*session, request, attempt, is_harmful ? FLAGS_crash_at_event : 0);
        if (is_harmful)
            crash(*session);
        this->release_slot();
        co_return is_open && !this->is_draining;
    }

private:
    /// What a test asks of the server itself; nothing for a request that the server has to run.
    std::optional<std::string> answer_test(std::string const& target)
    {
        if (target == "/journal")
            return json(this->runs).dump();
        if (target == "/arrivals")
            return json(this->arrivals_ms).dump();
        if (target == "/rejected")
            return json(this->rejected).dump();
        if (target.starts_with(limit_path))
            this->limit = target.substr(limit_path.size());
        else if (target.starts_with(retry_after_path))
            this->retry_after = target.substr(retry_after_path.size());
        else if (target.starts_with(brittle_path))
            this->max_rejections = target.substr(brittle_path.size());
        else if (target.starts_with(queue_path))
            this->queue_length = std::stoul(target.substr(queue_path.size()));
        else if (target.starts_with(break_off_path))
            this->broken_event = std::stoi("0" + target.substr(break_off_path.size()));
        else if (target == "/leave" || target == "/stay")
            this->tells_draining = target == "/leave";
        else
            return {};
        return "{}";
    }

    [[nodiscard]] std::string brittle_header() const
    {
        return this->max_rejections.empty() ? "" : "Server-Brittle: " + this->max_rejections + "\r\n";
    }

    /// Waits for a free slot and occupies it. False if too many requests wait already.
    Task<bool> acquire_slot()
    {
        if (this->running < FLAGS_server_slots) {
            ++this->running;
            co_return true;
        }
        if (this->waiting.size() >= this->queue_length)
            co_return false;
        auto const turn = std::make_shared<asio::steady_timer>(this->context, asio::steady_timer::time_point::max());
        this->waiting.push_back(turn);
        co_await turn->async_wait(Gateway::as_value);
        co_return true;
    }

    /// Passes the slot on to the request that has waited longest, if there is one.
    void release_slot()
    {
        if (this->waiting.empty()) {
            --this->running;
            return;
        }
        this->waiting.front()->cancel();
        this->waiting.pop_front();
    }

    /// Whether a list of prompt parts, "ID:TOKENS" each, has the harmful one before its last entry.
    [[nodiscard]] static bool has_harmful_part(std::string_view list)
    {
        if (FLAGS_crash_on_part.empty())
            return false;
        for (auto comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
            if (list.substr(0, list.find(':')) == FLAGS_crash_on_part)
                return true;
            list.remove_prefix(comma + 1);
        }
        return false;
    }

    /// Ends the process. Its connections don't end at the same time, as on a busy host.
    [[noreturn]] static void crash(Session& session)
    {
        Gateway::error_code ignored;
        session.socket.close(ignored);
        // NOTE: Blocks the event loop, so that only the kernel accepts connections.
        std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_listen_after_crash_ms));
        std::_Exit(EXIT_FAILURE);
    }

    /// Ends the process if it has rejected too many requests within a second.
    void count_rejection()
    {
        ++this->rejected;
        if (this->max_rejections.empty())
            return;
        auto const now = Core::monotonic_now();
        this->rejections.push_back(now);
        std::erase_if(this->rejections, [now](auto at) { return now - at > std::chrono::seconds(1); });
        if (static_cast<double>(this->rejections.size()) > std::stod(this->max_rejections)) {
            std::cerr << "ended after " << this->rejected << " rejections\n";
            std::_Exit(EXIT_FAILURE);
        }
    }

    void report_run(Request const& request, std::string const& attempt)
    {
        auto& run = this->runs.try_emplace(attempt, json::object()).first->second;
        run["count"] = run.value("count", 0) + 1;
        run["tenant"] = std::string(request["X-Tenant"]);
        run["key_seen"] = request.count("X-Key") > 0;
        run["left_ms"] = std::string(request["X-Deadline-Ms"]);
        run["body"] = request.body();
    }

    /// `broken_event` is the event of a stream inside which it breaks off; 0 for none but what else is asked for.
    Task<bool> run(Session& session, Request const& request, std::string const& attempt, int broken_event)
    {
        AnswerWriter writer(session, this->draw_style(), { attempt, this->fields(attempt) });
        auto const events = std::string(request["X-Standin-Events"]);
        if (events.empty()) {
            co_await Gateway::sleep_for(std::chrono::milliseconds(FLAGS_work_ms));
            auto const padding = std::stoul("0" + std::string(request["X-Standin-Padding-Bytes"]));
            co_return co_await writer.write_body("ran " + attempt + std::string(padding, '.'));
        }
        std::string const last_event(request["Last-Event-Id"]);
        EventRange range { std::stoi("0" + last_event) + 1, std::stoi(events) };
        range.pause = std::chrono::milliseconds(FLAGS_work_ms);
        if (broken_event > 0)
            range.broken_event = std::max(broken_event, range.first);
        else if (range.first == 1)
            range.broken_event = this->broken_event;
        co_return co_await writer.write_events(range);
    }

    [[nodiscard]] AnswerStyle draw_style()
    {
        auto style = this->styles.draw();
        if (FLAGS_ends_with_connection && style.framing == AnswerStyle::Framing::Usual)
            style.framing = AnswerStyle::Framing::Connection;
        return style;
    }

    /// What the head of an answer says of the server.
    [[nodiscard]] std::string fields(std::string const& attempt) const
    {
        return fmt::format("X-Response-Stamp: {}.{}\r\nX-Server-Load: {},{},{}\r\nKeep-Alive: timeout=5\r\n{}{}{}{}",
            FLAGS_incarnation, attempt, this->running, this->waiting.size(), FLAGS_server_slots,
            this->is_draining ? "Connection: close\r\n" : "",
            this->limit.empty() ? "" : "Server-Limit: " + this->limit + "\r\n",
            this->tells_draining ? "Server-Leaving: 1\r\n" : "", this->brittle_header());
    }

    [[nodiscard]] std::string record() const
    {
        return json {
            { "service", FLAGS_service }, { "address", this->address }, { "zone", FLAGS_failure_domain },
            { "version", FLAGS_software_version }, { "slots", FLAGS_server_slots },
            { "state", this->is_draining ? "draining" : "ready" }, { "cold_left_ms", 0 },
            { "call_seq", this->heartbeats }, { "born", this->born_ms }
        }.dump();
    }

    Task<void> keep_listed()
    {
        for (;;) {
            ++this->heartbeats;
            co_await this->tell_store(this->record());
            co_await Gateway::sleep_for(std::chrono::milliseconds(FLAGS_heartbeat_ms));
        }
    }

    /// Appends the server's record under its id.
    Task<void> tell_store(std::string value)
    {
        auto const length = 1 + FLAGS_incarnation.size() + value.size();
        std::string body;
        for (int shift = 24; shift >= 0; shift -= 8)
            body += static_cast<char>(length >> static_cast<unsigned>(shift) & 0xffU);
        body += static_cast<char>(FLAGS_incarnation.size());
        body += FLAGS_incarnation + value;
        auto const colon = FLAGS_store.find(':');
        tcp::socket socket(this->context);
        auto const place = Gateway::to_tcp_endpoint(
            { FLAGS_store.substr(0, colon), static_cast<std::uint16_t>(std::stoi(FLAGS_store.substr(colon + 1))) });
        // NOTE: The store may never answer, and the next heartbeat has to be sent all the same.
        asio::steady_timer timer(this->context, store_timeout);
        auto const is_over = std::make_shared<bool>(false);
        timer.async_wait([&socket, is_over](Gateway::error_code cancelled) {
            if (!cancelled && !*is_over)
                socket.close(cancelled);
        });
        auto const [connect_error] = co_await socket.async_connect(*place, Gateway::as_value);
        if (connect_error) {
            *is_over = true;
            co_return;
        }
        auto const call = fmt::format("POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n"
                                      "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
            body.size(), body);
        auto const [write_error, written] = co_await asio::async_write(socket, asio::buffer(call), Gateway::as_value);
        Gateway::flat_buffer buffer;
        http::response<http::string_body> answer;
        if (!write_error)
            co_await http::async_read(socket, buffer, answer, Gateway::as_value);
        *is_over = true;
    }

    static constexpr auto store_timeout = std::chrono::milliseconds(500);

    /// Behind it comes the limit that the server names from then on; nothing ends it.
    static constexpr std::string_view limit_path = "/limit/";
    /// Behind it come the seconds after which boxes may come back, while all requests are turned away; nothing ends it.
    static constexpr std::string_view retry_after_path = "/retry-after/";

    /// Behind it come the requests that the server can reject in a second, which it names from then on; nothing ends
    /// it.
    static constexpr std::string_view brittle_path = "/brittle/";

    /// Behind it comes the number of requests that may wait for a slot from then on.
    static constexpr std::string_view queue_path = "/queue/";

    /// Behind it comes the number of the event inside which each new stream that reaches it is broken off from then on,
    /// by an orderly close of the connection; nothing ends it.
    static constexpr std::string_view break_off_path = "/break-off/";

    asio::io_context& context;
    AnswerStyles styles;
    std::string address;
    Core::Instant started { Core::monotonic_now() };
    std::int64_t born_ms { Core::wall_clock_milliseconds() };
    /// When requests reached the server, run or not.
    std::vector<double> arrivals_ms;
    std::string limit;
    std::string retry_after;
    std::string max_rejections;
    std::vector<Core::Instant> rejections;
    /// 0 for none.
    int broken_event { 0 };
    /// Whether answers say that the server drains; its entry in the store doesn't.
    bool tells_draining { false };
    std::map<std::string, json> runs;
    int running { 0 };
    /// Requests that wait for a slot, in order of arrival; cancelling the timer grants it.
    std::deque<std::shared_ptr<asio::steady_timer>> waiting;
    std::size_t queue_length { static_cast<std::size_t>(FLAGS_server_queue) };
    /// Requests that were rejected since no slot was free.
    int rejected { 0 };
    int heartbeats { 0 };
    bool is_draining { false };
};

/// The behaviour that the file at this path says; the usual one for an empty path.
std::optional<Behaviour> behaviour_of_file(std::string const& path, Core::LastReason& last_reason)
{
    if (path.empty())
        return Behaviour {};
    std::ifstream file(path);
    if (!file) {
        last_reason.text = "can't be read";
        return {};
    }
    std::string const text { std::istreambuf_iterator<char>(file), {} };
    return read_behaviour(text, last_reason);
}

}

int run_server()
{
    Core::LastReason last_reason;
    auto const behaviour = behaviour_of_file(FLAGS_behaviour, last_reason);
    if (!behaviour) {
        std::cerr << "standin: " << FLAGS_behaviour << ": " << last_reason.text << "\n";
        return 2;
    }
    asio::io_context context(1);
    Server server(context, *behaviour);
    auto const port = serve(context,
        [&server](auto session, auto request) { return server.handle(std::move(session), std::move(request)); });
    server.start(port);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    write_port_file(FLAGS_port_file, port);
    context.run();
    return 0;
}
