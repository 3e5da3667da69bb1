#include <LibServer/OperatorServer.h>

#include <LibPlatform/Digest.h>
#include <LibServer/Credentials.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Server {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr char const* plain_text = "text/plain";
constexpr std::string_view explain_path = "/explain/";

constexpr int operator_threads = 8;
/// Enough for load balancers, metrics scrapers and people.
constexpr std::size_t max_operator_connections = 64;
/// Questions have no body.
constexpr std::size_t max_question_bytes = 4 * 1024;

WholeAnswer text_answer(int status, std::string text)
{
    return { status, plain_text, std::move(text) };
}

}

std::unique_ptr<OperatorServer> OperatorServer::try_create(
    EventLoop& loop, BoxState& state, Core::LastReason& last_reason)
{
    std::unique_ptr<OperatorServer> operators(new OperatorServer(state));
    auto* self = operators.get();
    ListenerLimits limits;
    limits.max_connections = max_operator_connections;
    limits.requests.max_body_bytes = max_question_bytes;
    ListenerHandlers handlers {
        [self](RawRequest const& request) { return HttpAnswer { self->handle(request) }; },
        [](Http::ReadEnd, std::string const&) {
            return text_answer(status_bad_request, "this request can't be read\n");
        },
    };
    operators->listener = HttpListener::try_create(
        loop, state.settings().operator_listen, operator_threads, limits, std::move(handlers), last_reason);
    return operators->listener ? std::move(operators) : nullptr;
}

WholeAnswer OperatorServer::handle(RawRequest const& request) const
{
    bool const is_question = request.method == "GET" || request.method == "HEAD";
    if (is_question && request.path == "/live")
        return text_answer(status_ok, "live\n");
    if (is_question && request.path == "/ready") {
        bool const is_ready = this->state.is_ready();
        return text_answer(is_ready ? status_ok : status_unavailable, is_ready ? "ready\n" : "not ready\n");
    }
    bool const is_operator_path
        = request.path == "/metrics" || request.path == "/status" || request.path.starts_with(explain_path);
    if (!is_question || !is_operator_path)
        return text_answer(status_not_found, "there is no such path\n");
    if (!this->is_allowed(request))
        return text_answer(status_unauthorized, "operator key missing or wrong\n");
    return this->answer_operator(request.path);
}

WholeAnswer OperatorServer::answer_operator(std::string_view path) const
{
    if (path.starts_with(explain_path))
        return this->explain(path.substr(explain_path.size()));
    if (path == "/status")
        return { status_ok, "application/json", this->status_text() };
    for (auto const& shard : this->state.shards())
        shard->publish_status();
    return { status_ok, "text/plain; version=0.0.4", this->state.services().metrics.to_text() };
}

bool OperatorServer::is_allowed(RawRequest const& request) const
{
    auto const& wanted = this->state.settings().operator_key_hash;
    if (wanted.empty())
        return true;
    auto const credential = request.headers.find("authorization");
    auto const key = credential == request.headers.end() ? std::string() : std::string(bearer_key(credential->second));
    return equal_in_constant_time(Platform::sha256_hex(key), wanted);
}

std::string OperatorServer::status_text() const
{
    auto const table = this->state.table();
    nlohmann::json status { { "box", this->state.settings().name },
        { "failure_domain", this->state.settings().failure_domain }, { "draining", this->state.is_draining() },
        { "settings_version", table ? table->version().value() : 0 }, { "pools", nlohmann::json::object() } };
    for (auto const& shard : this->state.shards()) {
        auto const pool = shard->status();
        status["pools"][shard->name()] = { { "queued", pool.queued }, { "running", pool.running },
            { "leaving", pool.leaving }, { "lower_tier_sheds", pool.lower_tier_sheds },
            { "urgent_refusals_beside_lower_work", pool.urgent_refusals_beside_lower_work } };
    }
    return status.dump(2) + "\n";
}

WholeAnswer OperatorServer::explain(std::string_view number) const
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t max_digits = 16;
    std::uint64_t id = 0;
    auto const* const end = number.data() + number.size();
    auto const [position, error] = std::from_chars(number.data(), end, id, hexadecimal);
    bool const is_id = !number.empty() && number.size() <= max_digits && error == std::errc {} && position == end;
    if (!is_id)
        return text_answer(status_not_found, "there is no such path\n");
    auto const records = this->state.services().records.find(Core::RequestId { id });
    if (records.empty())
        return text_answer(status_not_found, "this box knows no such request\n");
    std::string timeline;
    for (auto const& record : records)
        timeline += record.to_sentence() + "\n";
    return text_answer(status_ok, std::move(timeline));
}

}
