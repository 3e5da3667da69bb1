#include <LibServer/CallerServer.h>

#include <LibLog/EventLog.h>
#include <sys/resource.h>

namespace Server {

namespace {

using Core::Outcome;
using Core::Reason;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_timeout = 408;
constexpr int status_payload_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;

/// Share of the process's descriptors for callers. The rest is for endpoints, operators, the platform's log and files.
constexpr double share_of_descriptors = 0.6;
/// Parsing a body takes its longest text twice, beside the body itself.
constexpr std::size_t memory_per_body_byte = 3;

std::size_t max_caller_connections()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * share_of_descriptors);
}

InputError input_error_of(Http::ReadEnd end)
{
    switch (end) {
    case Http::ReadEnd::TimedOut:
        return { status_timeout, Reason::DeadlinePassed, "", "the request took too long to arrive" };
    case Http::ReadEnd::HeadTooLarge:
        return { status_header_too_large, Reason::HeaderTooLarge, "", "the head is larger than this box takes" };
    case Http::ReadEnd::BodyTooLarge:
        return { status_payload_too_large, Reason::BodyTooLarge, "", "body is larger than this box takes" };
    case Http::ReadEnd::NoMemory:
        return { status_unavailable, Reason::MemoryLimit, "", "this box has no memory for the request at the moment" };
    case Http::ReadEnd::Complete:
    case Http::ReadEnd::Closed:
    case Http::ReadEnd::Malformed:
        break;
    }
    return { status_bad_request, Reason::MalformedRequest, "", "this request can't be read" };
}

}

std::unique_ptr<CallerServer> CallerServer::try_create(
    EventLoop& loop, BoxState& state, std::uint64_t seed, Core::LastReason& last_reason)
{
    std::unique_ptr<CallerServer> caller(new CallerServer(loop, state, seed));
    auto* self = caller.get();
    ListenerLimits limits;
    limits.max_connections = max_caller_connections();
    limits.requests.max_body_bytes = state.settings().largest_body_bytes;
    limits.requests.memory_per_body_byte = memory_per_body_byte;
    ListenerHandlers handlers {
        [self](RawRequest request) { return self->handle(std::move(request)); },
        [self](Http::ReadEnd end, std::string const&) { return self->answer_unread(end); },
    };
    caller->listener = HttpListener::try_create(
        loop, state.settings().listen, state.settings().threads, limits, std::move(handlers), last_reason);
    return caller->listener ? std::move(caller) : nullptr;
}

Core::RequestId CallerServer::next_id()
{
    std::scoped_lock const lock(this->random_mutex);
    return Core::RequestId { this->random() };
}

HttpAnswer CallerServer::handle(RawRequest request)
{
    auto const arrived = Core::monotonic_now();
    auto const id = this->next_id();
    if (request.method != "POST")
        return this->answer_input_error(id, { status_not_found, Reason::UnknownPath, "", "there is no such path" });
    auto const table = this->state.table();
    if (!table)
        return this->answer_input_error(
            id, { status_unavailable, Reason::SettingsNotLoaded, "", "this box has no settings yet" });
    auto read = read_request(std::move(request), *table);
    if (auto const* error = std::get_if<InputError>(&read))
        return this->answer_input_error(id, *error);
    auto& routed = std::get<RoutedRequest>(read);
    auto const shard = this->state.shard(routed.pool);
    Traffic::RequestFacts const facts { id, routed.request_class->id, routed.account->id, arrived, routed.prefix_hash,
        routed.streaming };
    auto const flow = std::make_shared<RequestFlow>(facts, routed.request_class->settings.name, routed.account->name,
        routed.request_class->settings, std::move(routed.upstream), &this->answers);
    shard->submit(flow, table->pool_checks_keys(routed.pool));
    return this->answer_of(flow, shard);
}

PendingAnswer CallerServer::answer_of(std::shared_ptr<RequestFlow> const& flow, std::shared_ptr<PoolShard> const& shard)
{
    auto const answer = std::make_shared<CallerAnswer>(
        flow, this->headers_for(flow->facts.id), [this, flow](End const& end) { this->finished(*flow, end); });
    return { [answer] { return answer->next(); },
        [flow](std::function<void()> on_part) { flow->set_on_event(std::move(on_part)); },
        [this, flow, shard] {
            shard->abandon(*flow);
            this->finished(*flow, { Outcome::Unknown, Reason::CallerGone, {} });
        } };
}

HeaderList CallerServer::headers_for(Core::RequestId id) const
{
    HeaderList headers { { "X-Cleatbeam-Request-Id", to_hexadecimal(id) } };
    // NOTE: A kept connection would bring new requests after the listener is closed.
    if (this->state.is_draining())
        headers.emplace_back("Connection", "close");
    return headers;
}

WholeAnswer CallerServer::answer_unread(Http::ReadEnd end)
{
    return this->answer_input_error(this->next_id(), input_error_of(end));
}

WholeAnswer CallerServer::answer_input_error(Core::RequestId id, InputError const& error)
{
    this->state.services().metrics.count_refusal(error.reason);
    Log::EventLine("request_refused")
        .with("request", to_hexadecimal(id))
        .with("reason", Core::to_string(error.reason))
        .with("field", error.field)
        .info();
    auto headers = this->headers_for(id);
    for (auto& header : outcome_headers(Outcome::NotRun, error.reason))
        headers.push_back(std::move(header));
    if (error.status >= first_server_error)
        headers.emplace_back("Retry-After", "1");
    auto const type = error.status >= first_server_error ? "server_error" : "invalid_request_error";
    return { error.status, "application/json", error_body(error.message, type, error.field, error.reason),
        std::move(headers) };
}

void CallerServer::finished(RequestFlow const& flow, End const& end)
{
    auto const taken = Core::monotonic_now() - flow.facts.arrived;
    auto& metrics = this->state.services().metrics;
    metrics.count_outcome(flow.class_name, end.outcome);
    if (end.outcome == Outcome::Completed)
        metrics.observe_answer(flow.class_name, taken);
    Log::EventLine("request_finished")
        .with("request", to_hexadecimal(flow.facts.id))
        .with("class", flow.class_name)
        .with("account", flow.account_name)
        .with("outcome", Core::to_string(end.outcome))
        .with("reason", Core::to_string(end.reason))
        .with("ms", Core::to_milliseconds(taken))
        .info();
}

}
