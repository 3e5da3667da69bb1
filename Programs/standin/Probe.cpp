#include "Scenario.h"
#include "Standin.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

DECLARE_string(box_ports);
DECLARE_string(endpoint_ports);
DEFINE_int32(calls, 300, "calls of each kind");

namespace {

using Clock = std::chrono::steady_clock;

struct Call {
    double first_byte_ms { 0 };
    double whole_ms { 0 };
    bool ok { false };
};

/// One call over a connection that is kept.
Call call(httplib::Client& client, std::string const& path, std::string const& body, httplib::Headers const& headers)
{
    constexpr int status_ok = 200;
    Call seen;
    auto const start = Clock::now();
    auto const elapsed = [&] { return std::chrono::duration<double, std::milli>(Clock::now() - start).count(); };
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = headers;
    request.body = body;
    request.content_receiver = [&](char const*, std::size_t, std::uint64_t, std::uint64_t) {
        if (seen.first_byte_ms == 0)
            seen.first_byte_ms = elapsed();
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    seen.ok = client.send(request, response, error) && response.status == status_ok;
    seen.whole_ms = elapsed();
    return seen;
}

double percentile(std::vector<double> values, double share)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::unique_ptr<httplib::Client> connect(std::string const& port)
{
    auto client = std::make_unique<httplib::Client>("127.0.0.1", std::atoi(port.c_str()));
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

void compare(std::string const& name, std::string const& direct_port, std::string const& box_port,
    std::string const& path, std::function<std::string()> const& body, std::function<httplib::Headers()> const& headers)
{
    auto const direct = connect(direct_port);
    auto const through = connect(box_port);
    std::vector<double> direct_first;
    std::vector<double> direct_whole;
    std::vector<double> through_first;
    std::vector<double> through_whole;
    int failed = 0;
    // NOTE: In turn, so that whatever else the machine does falls on both alike.
    for (int number = 0; number < FLAGS_calls; ++number) {
        auto const one = call(*direct, path, body(), headers());
        auto const two = call(*through, path, body(), headers());
        failed += one.ok && two.ok ? 0 : 1;
        direct_first.push_back(one.first_byte_ms);
        direct_whole.push_back(one.whole_ms);
        through_first.push_back(two.first_byte_ms);
        through_whole.push_back(two.whole_ms);
    }
    auto const print = [&](char const* what, std::vector<double> const& straight, std::vector<double> const& box) {
        auto const a = percentile(straight, 0.5);
        auto const b = percentile(box, 0.5);
        std::cout << fmt::format("probe={} part={} calls={} failed={} direct_p50_ms={:.3f} through_p50_ms={:.3f} "
                                 "added_p50_ms={:.3f} ratio={:.3f} through_p99_ms={:.3f}\n",
            name, what, FLAGS_calls, failed, a, b, b - a, b / a, percentile(box, 0.99));
    };
    print("first-byte", direct_first, through_first);
    print("whole", direct_whole, through_whole);
}

std::string uuid(int number)
{
    auto const now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    auto const stamp = fmt::format("{:012x}", now);
    return fmt::format("{}-{}-7000-8000-{:012x}", stamp.substr(0, 8), stamp.substr(8), number);
}

}

int run_probe()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const boxes = split(FLAGS_box_ports, ',');
    auto const endpoints = split(FLAGS_endpoint_ports, ',');
    if (boxes.empty() || endpoints.size() < 2) {
        std::cerr << "standin: probe needs --box_ports and --endpoint_ports of an engine and a service\n";
        return 2;
    }
    httplib::Headers const common { { "Authorization", "Bearer " + account_key(0) },
        { "Content-Type", "application/json" } };
    auto const with_class = [&](std::string const& name) {
        auto headers = common;
        headers.emplace("X-Cleatbeam-Class", name);
        return headers;
    };
    nlohmann::json const chat { { "model", "stand-in" }, { "stream", true },
        { "messages", { { { "role", "user" }, { "content", "probe" } } } },
        { "standin", { { "token", "probe" }, { "length", 1 }, { "prompt", 1 } } } };
    compare(
        "streamed-chat", endpoints.front(), boxes.front(), "/v1/chat/completions", [&] { return chat.dump(); },
        [&] { return with_class("lookup"); });
    nlohmann::json const job { { "standin", { { "token", "probe" }, { "work_ms", 1 } } } };
    int number = 0;
    compare(
        "keyed-service-call", endpoints.back(), boxes.front(), "/records", [&] { return job.dump(); },
        [&] {
            auto headers = with_class("sighting");
            headers.emplace("Idempotency-Key", uuid(++number));
            return headers;
        });
    return 0;
}
