#include "HttpSession.h"
#include "Standin.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <map>
#include <nlohmann/json.hpp>

DECLARE_string(port_file);

/// The users' platform as it takes usage reports and orders of servers: refuses what comes with a lower token than it
/// has seen, and keeps a journal of what it took.
namespace {

using namespace Standin;
using nlohmann::json;

class Cloud {
public:
    Task<bool> handle(std::shared_ptr<Session> session, Request request)
    {
        std::string const target(request.target());
        if (target == "/journal")
            co_return co_await session->answer(200, this->taken.dump());
        if (target == "/faults") {
            auto const faults = json::parse(request.body(), nullptr, false);
            this->mode = faults.value("mode", "");
            co_return co_await session->answer(200, "{}");
        }
        if (this->mode == "reset")
            co_return false;
        if (this->mode == "busy")
            co_return co_await session->answer(503, "{}");
        auto const body = json::parse(request.body(), nullptr, false);
        if (!body.is_object() || (target != "/usage" && target != "/scale"))
            co_return co_await session->answer(400, "{}");
        co_return co_await this->take(*session, request, body);
    }

private:
    Task<bool> take(Session& session, Request const& request, json const& body)
    {
        std::string const target(request.target());
        // Zero if the field is missing.
        std::string digits("0");
        digits += std::string(request["X-Fence-Token"]);
        auto const token = std::stoull(digits);
        auto const subject = target + body.value("service", "") + "/" + body.value("zone", "");
        auto& highest = this->highest_tokens[subject];
        if (token < highest)
            co_return co_await session.answer(409, R"({"reason":"fence"})");
        highest = token;
        json entry = body;
        entry["call"] = target;
        entry["token"] = token;
        entry["box"] = std::string(request["X-Duty-Holder"]);
        this->taken.push_back(std::move(entry));
        co_return co_await session.answer(200, "{}");
    }

    json taken = json::array();
    std::map<std::string, std::uint64_t> highest_tokens;
    std::string mode;
};

}

int run_cloud()
{
    asio::io_context context(1);
    Cloud cloud;
    auto const port = serve(
        context, [&cloud](auto session, auto request) { return cloud.handle(std::move(session), std::move(request)); });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    write_port_file(FLAGS_port_file, port);
    context.run();
    return 0;
}
