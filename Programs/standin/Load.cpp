#include "LoadReport.h"
#include "Standin.h"

#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

DECLARE_string(scenario);
DECLARE_string(policy);
DECLARE_string(endpoint_ports);
DECLARE_double(token_ms);
DECLARE_double(batch_slope);
DECLARE_double(prefill_token_ms);
DEFINE_string(box_ports, "", "callers' ports of the boxes, separated by commas; connections go to them in turn");
DEFINE_string(operator_ports, "", "operators' ports of the boxes, separated by commas");
DEFINE_string(platform_port, "", "port of the platform stand-in, to count appends");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(seconds, 30, "length of the run");

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t sender_threads = 2000;
constexpr int status_ok = 200;

double milliseconds_since(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

/// A UUIDv7 (RFC 9562) whose tail is the request's number.
std::string uuid_now(std::string const& tail)
{
    auto const now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    auto const stamp = fmt::format("{:012x}", now);
    auto const dash = tail.find('-');
    return stamp.substr(0, 8) + "-" + stamp.substr(8) + "-7" + tail.substr(0, dash).substr(1, 3) + "-8000-"
        + tail.substr(dash + 1);
}

/// Puts the pieces of an answer together and checks that they are this request's and all of them.
class AnswerChecker {
public:
    AnswerChecker(std::string token, int length)
        : token(std::move(token))
        , length(length)
    {
    }

    void take(std::string_view bytes) { this->text.append(bytes); }

    [[nodiscard]] bool is_whole_stream() const
    {
        std::string content;
        bool is_ended = false;
        std::size_t at = 0;
        while (at < this->text.size()) {
            auto const end = this->text.find("\n\n", at);
            if (end == std::string::npos)
                return false;
            auto const event = this->text.substr(at, end - at);
            at = end + 2;
            if (event == "data: [DONE]") {
                is_ended = true;
                continue;
            }
            auto const json
                = nlohmann::json::parse(event.substr(std::min<std::size_t>(event.size(), 6)), nullptr, false);
            if (!event.starts_with("data: ") || is_ended || !json.is_object() || !json.contains("choices"))
                return false;
            content += json["choices"][0]["delta"].value("content", "");
        }
        return is_ended && content == this->expected();
    }
    [[nodiscard]] bool is_whole_answer() const
    {
        auto const json = nlohmann::json::parse(this->text, nullptr, false);
        return json.is_object() && json.contains("choices")
            && json["choices"][0]["message"].value("content", "") == this->expected();
    }
    [[nodiscard]] bool is_service_answer() const
    {
        auto const json = nlohmann::json::parse(this->text, nullptr, false);
        return json.is_object() && json.value("token", "") == this->token;
    }
    [[nodiscard]] bool has_error_event() const { return this->text.find("event: error\n") != std::string::npos; }

private:
    [[nodiscard]] std::string expected() const
    {
        std::string expected;
        for (int at = 0; at < this->length; ++at)
            expected += this->token + ":" + std::to_string(at) + " ";
        return expected;
    }

    std::string token;
    int length;
    std::string text;
};

SeenOutcome outcome_of(std::string const& name)
{
    if (name == "not-run")
        return SeenOutcome::NotRun;
    if (name == "undecided")
        return SeenOutcome::Undecided;
    return name == "unknown" ? SeenOutcome::Unknown : SeenOutcome::NoAnswer;
}

class Sender {
public:
    Sender(Scenario const& scenario, std::vector<std::string> box_ports)
        : scenario(scenario)
        , box_ports(std::move(box_ports))
    {
    }

    /// Sends a request, and again after Retry-After as often as its class does, until it is over.
    RequestResult send(PlannedRequest const& planned, Clock::time_point due)
    {
        auto const& load = this->scenario.classes[planned.class_index];
        RequestResult result;
        auto const key = load.repeatable ? "" : uuid_now(planned.key);
        for (int attempt = 0; attempt <= load.most_returns; ++attempt) {
            int retry_after = 0;
            ++result.attempts;
            this->send_once(planned, load, key, due, result, retry_after);
            auto const may_return = result.outcome == SeenOutcome::Undecided || result.outcome == SeenOutcome::NotRun;
            if (!may_return || attempt == load.most_returns)
                break;
            result.was_refused = true;
            std::this_thread::sleep_for(std::chrono::seconds(retry_after));
        }
        return result;
    }

private:
    static std::string body_for(PlannedRequest const& planned, LoadClass const& load)
    {
        nlohmann::json body { { "standin",
            { { "token", planned.token }, { "length", planned.tokens }, { "prompt", load.prompt_tokens },
                { "work_ms", load.work_ms }, { "prefix", load.name } } } };
        if (load.pool == "model") {
            body["model"] = "stand-in";
            body["stream"] = load.streaming;
            body["messages"] = { { { "role", "user" }, { "content", load.name + " " + planned.token } } };
        }
        return body.dump();
    }

    void send_once(PlannedRequest const& planned, LoadClass const& load, std::string const& key, Clock::time_point due,
        RequestResult& result, int& retry_after)
    {
        auto const started = Clock::now();
        auto const& port = this->box_ports[this->next_box++ % this->box_ports.size()];
        httplib::Client client("127.0.0.1", std::atoi(port.c_str()));
        client.set_tcp_nodelay(true);
        client.set_read_timeout(std::chrono::milliseconds(static_cast<long>(load.patience_ms) + 1500));
        httplib::Request request;
        request.method = "POST";
        request.path = load.pool == "model" ? "/v1/chat/completions" : "/records";
        request.headers = { { "Authorization", "Bearer " + account_key(planned.account) },
            { "Content-Type", "application/json" }, { "X-Cleatbeam-Class", load.name } };
        if (!key.empty())
            request.headers.emplace("Idempotency-Key", key);
        request.body = body_for(planned, load);
        AnswerChecker checker(planned.token, planned.tokens);
        double first_ms = 0;
        bool gave_up = false;
        request.response_handler = [](httplib::Response const&) { return true; };
        request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t) {
            if (first_ms == 0)
                first_ms = milliseconds_since(due);
            checker.take({ data, size });
            gave_up = milliseconds_since(started) > load.patience_ms + 1000;
            return !gave_up;
        };
        httplib::Response response;
        auto error = httplib::Error::Success;
        auto const is_answered = client.send(request, response, error);
        result.whole_ms = milliseconds_since(due);
        result.target_ms = load.target_is_first_token && load.streaming ? first_ms : result.whole_ms;
        if (!is_answered) {
            result.outcome = gave_up || error == httplib::Error::Read ? SeenOutcome::GivenUp : SeenOutcome::NoAnswer;
            return;
        }
        if (response.status != status_ok) {
            result.outcome = outcome_of(response.get_header_value("X-Cleatbeam-Outcome"));
            retry_after = std::max(1, std::atoi(response.get_header_value("Retry-After").c_str()));
            return;
        }
        if (checker.has_error_event()) {
            result.outcome = SeenOutcome::Unknown;
            return;
        }
        result.outcome = SeenOutcome::Completed;
        result.wrong_answer = load.pool == "service" ? !checker.is_service_answer()
            : load.streaming                         ? !checker.is_whole_stream()
                                                     : !checker.is_whole_answer();
    }

    Scenario const& scenario;
    std::vector<std::string> box_ports;
    std::atomic<std::size_t> next_box { 0 };
};

std::string get(std::string const& port, std::string const& path)
{
    httplib::Client client("127.0.0.1", std::atoi(port.c_str()));
    client.set_read_timeout(std::chrono::seconds(10));
    auto const result = client.Get(path);
    return result ? result->body : "";
}

std::map<std::string, JournalCount> read_journals()
{
    std::map<std::string, JournalCount> counts;
    for (auto const& port : split(FLAGS_endpoint_ports, ',')) {
        auto const journal = nlohmann::json::parse(get(port, "/journal"), nullptr, false);
        for (auto const& entry : journal) {
            auto& count = counts[entry.value("token", "")];
            ++count.runs;
            count.tokens += entry.value("tokens", 0);
        }
    }
    return counts;
}

RunFigures read_figures()
{
    RunFigures figures;
    for (auto const& port : split(FLAGS_operator_ports, ',')) {
        auto const status = nlohmann::json::parse(get(port, "/status"), nullptr, false);
        if (!status.is_object())
            continue;
        for (auto const& pool : status["pools"]) {
            figures.lower_tier_sheds += pool.value("lower_tier_sheds", std::uint64_t { 0 });
            figures.urgent_refusals_beside_lower_work
                += pool.value("urgent_refusals_beside_lower_work", std::uint64_t { 0 });
        }
    }
    figures.seconds = FLAGS_seconds;
    if (!FLAGS_platform_port.empty())
        figures.appends_per_second = std::atof(get(FLAGS_platform_port, "/appends").c_str()) / FLAGS_seconds;
    return figures;
}

}

int run_load()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const scenario = find_scenario(FLAGS_scenario);
    if (!scenario || FLAGS_box_ports.empty()) {
        std::cerr << "standin: load needs a known --scenario and --box_ports\n";
        return 2;
    }
    auto const plan
        = plan_load(*scenario, FLAGS_seconds, FLAGS_seed, FLAGS_token_ms, FLAGS_batch_slope, FLAGS_prefill_token_ms);
    std::vector<RequestResult> results(plan.size());
    Sender sender(*scenario, split(FLAGS_box_ports, ','));
    httplib::ThreadPool threads(sender_threads);
    auto const start = Clock::now();
    double latest_start_ms = 0;
    for (std::size_t index = 0; index < plan.size(); ++index) {
        auto const due = start
            + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(plan[index].due_seconds));
        std::this_thread::sleep_until(due);
        latest_start_ms = std::max(latest_start_ms, milliseconds_since(due));
        threads.enqueue([&, index, due] { results[index] = sender.send(plan[index], due); });
    }
    threads.shutdown();
    std::cerr << fmt::format("scenario={} policy={} requests={} latest_start_ms={:.1f} whole_run_s={:.1f}\n",
        scenario->name, FLAGS_policy, plan.size(), latest_start_ms, milliseconds_since(start) / 1000);
    print_report(*scenario, FLAGS_policy, plan, results, read_journals(), read_figures());
    return 0;
}
