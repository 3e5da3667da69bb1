#include <LibServer/CallerServer.h>

#include <LibLog/EventLog.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Server {

namespace {

using Core::Outcome;
using Core::Reason;

constexpr int status_ok = 200;
constexpr int status_payload_too_large = 413;
constexpr int status_conflict = 409;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

std::string hex(Core::RequestId id)
{
    return fmt::format("{:016x}", id.value());
}

/// An error in the format of the callers' API.
std::string error_body(std::string const& message, std::string const& type, std::string const& field, Reason reason)
{
    nlohmann::json error { { "message", message }, { "type", type }, { "code", Core::to_string(reason) } };
    error["param"] = field.empty() ? nlohmann::json() : nlohmann::json(field);
    return nlohmann::json { { "error", error } }.dump();
}

long long whole_seconds(Core::Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(std::max(duration, Core::Duration { std::chrono::seconds(1) }))
        .count();
}

int status_of(End const& end)
{
    if (end.reason == Reason::KeyReusedForOtherRequest)
        return status_conflict;
    return end.outcome == Outcome::Unknown ? status_bad_gateway : status_unavailable;
}

std::string message_of(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "the whole answer is here";
    case Outcome::NotRun:
        return "this request did not run";
    case Outcome::Undecided:
        return "this attempt did not run it; send it again with the same key";
    case Outcome::Unknown:
        return "the request may have run; it will not be run again";
    }
    return "";
}

/// The event that ends an incomplete stream, so that it is not taken for a complete short answer.
std::string broken_stream_event(RequestFlow const& flow, End const& end)
{
    auto body = nlohmann::json::parse(error_body(message_of(end.outcome), "server_error", "", end.reason));
    body["error"]["outcome"] = Core::to_string(end.outcome);
    body["error"]["request_id"] = hex(flow.facts.id);
    return "event: error\ndata: " + body.dump() + "\n\n";
}

RawRequest raw_request(httplib::Request const& request)
{
    RawRequest raw { request.path, {}, request.body };
    for (auto const& [name, value] : request.headers) {
        auto lower = name;
        std::ranges::transform(
            lower, lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        raw.headers.emplace(std::move(lower), value);
    }
    return raw;
}

}

std::unique_ptr<CallerServer> CallerServer::try_create(
    BoxState& state, std::uint64_t seed, Core::LastReason& last_reason)
{
    std::unique_ptr<CallerServer> caller(new CallerServer(state, seed));
    auto* self = caller.get();
    ListenerLimits limits;
    limits.threads = state.settings().threads;
    limits.largest_body_bytes = state.settings().largest_body_bytes;
    caller->listener = HttpListener::try_create(
        state.settings().listen, limits,
        [self](httplib::Server& server) {
            server.Post(".*", [self](auto const& request, auto& response) { self->handle(request, response); });
            server.set_error_handler([self](httplib::Request const&, httplib::Response& response) {
                if (!response.body.empty())
                    return;
                auto const reason
                    = response.status == status_payload_too_large ? Reason::BodyTooLarge : Reason::UnknownPath;
                auto const message = reason == Reason::BodyTooLarge ? "body is larger than this box takes"
                                                                    : "this request can't be read or has no such path";
                self->answer_input_error(self->next_id(), { response.status, reason, "", message }, response);
            });
        },
        last_reason);
    return caller->listener ? std::move(caller) : nullptr;
}

Core::RequestId CallerServer::next_id()
{
    std::scoped_lock const lock(this->random_mutex);
    return Core::RequestId { this->random() };
}

void CallerServer::handle(httplib::Request const& request, httplib::Response& response)
{
    auto const arrived = Core::monotonic_now();
    auto const id = this->next_id();
    auto const table = this->state.table();
    if (!table) {
        this->answer_input_error(
            id, { status_unavailable, Reason::SettingsNotLoaded, "", "this box has no settings yet" }, response);
        return;
    }
    auto const read = read_request(raw_request(request), *table);
    if (auto const* error = std::get_if<InputError>(&read)) {
        this->answer_input_error(id, *error, response);
        return;
    }
    auto const& routed = std::get<RoutedRequest>(read);
    auto const shard = this->state.shard(routed.pool);
    Traffic::RequestFacts const facts { id, routed.request_class->id, routed.account->id, arrived, routed.prefix_hash,
        routed.streaming };
    auto const flow = std::make_shared<RequestFlow>(facts, routed.request_class->settings.name, routed.account->name,
        routed.request_class->settings, routed.upstream);
    shard->submit(flow, table->pool_checks_keys(routed.pool));
    this->answer(flow, shard, response);
}

void CallerServer::answer(
    std::shared_ptr<RequestFlow> const& flow, std::shared_ptr<PoolShard> const& shard, httplib::Response& response)
{
    response.set_header("X-Cleatbeam-Request-Id", hex(flow->facts.id));
    // NOTE: A kept connection would bring new requests after the listener is closed.
    if (this->state.is_draining())
        response.set_header("Connection", "close");
    auto first = flow->pop();
    if (auto const* end = std::get_if<End>(&first)) {
        this->answer_end(*flow, *end, response);
        return;
    }
    auto const head = std::get<Head>(first);
    response.status = head.status;
    if (!flow->facts.streaming || !head.content_type.starts_with("text/event-stream")) {
        std::string body;
        End end;
        for (bool is_over = false; !is_over;) {
            auto const event = flow->pop();
            if (auto const* chunk = std::get_if<Chunk>(&event))
                body += chunk->bytes;
            if (auto const* last = std::get_if<End>(&event)) {
                end = *last;
                is_over = true;
            }
        }
        if (end.outcome != Outcome::Completed) {
            this->answer_end(*flow, end, response);
            return;
        }
        response.set_header("X-Cleatbeam-Outcome", std::string(Core::to_string(end.outcome)));
        response.set_header("X-Cleatbeam-Reason", std::string(Core::to_string(end.reason)));
        response.set_content(body, head.content_type);
        this->finished(*flow, end);
        return;
    }
    response.set_chunked_content_provider(head.content_type, [this, flow, shard](std::size_t, httplib::DataSink& sink) {
        auto const event = flow->pop();
        if (auto const* chunk = std::get_if<Chunk>(&event)) {
            if (sink.is_writable() && sink.write(chunk->bytes.data(), chunk->bytes.size()))
                return true;
            shard->abandon(*flow);
            this->finished(*flow, { Outcome::Unknown, Reason::CallerGone, {} });
            return false;
        }
        auto const end = std::get<End>(event);
        if (end.outcome != Outcome::Completed) {
            auto const text = broken_stream_event(*flow, end);
            sink.write(text.data(), text.size());
        }
        this->finished(*flow, end);
        sink.done();
        return true;
    });
}

void CallerServer::answer_end(RequestFlow const& flow, End const& end, httplib::Response& response)
{
    response.status = end.outcome == Outcome::Completed ? status_ok : status_of(end);
    response.set_header("X-Cleatbeam-Outcome", std::string(Core::to_string(end.outcome)));
    response.set_header("X-Cleatbeam-Reason", std::string(Core::to_string(end.reason)));
    if (end.outcome == Outcome::NotRun || end.outcome == Outcome::Undecided)
        response.set_header("Retry-After", std::to_string(whole_seconds(end.retry_after)));
    response.set_content(
        end.outcome == Outcome::Completed ? "" : error_body(message_of(end.outcome), "server_error", "", end.reason),
        "application/json");
    this->finished(flow, end);
}

void CallerServer::answer_input_error(Core::RequestId id, InputError const& error, httplib::Response& response)
{
    constexpr int first_server_error = 500;
    this->state.services().metrics.count_refusal(error.reason);
    Log::EventLine("request_refused")
        .with("request", hex(id))
        .with("reason", Core::to_string(error.reason))
        .with("field", error.field)
        .info();
    response.status = error.status;
    response.set_header("X-Cleatbeam-Request-Id", hex(id));
    response.set_header("X-Cleatbeam-Outcome", std::string(Core::to_string(Outcome::NotRun)));
    response.set_header("X-Cleatbeam-Reason", std::string(Core::to_string(error.reason)));
    if (error.status >= first_server_error)
        response.set_header("Retry-After", "1");
    auto const type = error.status >= first_server_error ? "server_error" : "invalid_request_error";
    response.set_content(error_body(error.message, type, error.field, error.reason), "application/json");
}

void CallerServer::finished(RequestFlow const& flow, End const& end)
{
    auto const taken = Core::monotonic_now() - flow.facts.arrived;
    auto& metrics = this->state.services().metrics;
    metrics.count_outcome(flow.class_name, end.outcome);
    if (end.outcome == Outcome::Completed)
        metrics.observe_answer(flow.class_name, taken);
    Log::EventLine("request_finished")
        .with("request", hex(flow.facts.id))
        .with("class", flow.class_name)
        .with("account", flow.account_name)
        .with("outcome", Core::to_string(end.outcome))
        .with("reason", Core::to_string(end.reason))
        .with("ms", Core::to_milliseconds(taken))
        .info();
}

}
