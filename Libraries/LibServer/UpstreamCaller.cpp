#include <LibServer/UpstreamCaller.h>

namespace Server {

namespace {

constexpr auto connect_timeout = std::chrono::milliseconds(1000);
constexpr auto patience_grace = std::chrono::seconds(1);
/// Without a limit the kernel takes megabytes of an answer whose caller doesn't read.
constexpr int receive_buffer_bytes = 64 * 1024;
constexpr std::size_t most_idle_clients = 64;
constexpr int first_failure_status = 500;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr std::string_view end_of_stream = "data: [DONE]";

/// Notices whether a stream of server-sent events ended with its closing event.
class StreamEndWatcher {
public:
    void take(std::string_view bytes)
    {
        this->tail.append(bytes);
        if (this->tail.size() > longest_tail)
            this->tail.erase(0, this->tail.size() - longest_tail);
    }
    [[nodiscard]] bool is_whole() const { return this->tail.find(end_of_stream) != std::string::npos; }

private:
    static constexpr std::size_t longest_tail = 64;
    std::string tail;
};

Traffic::AttemptResult result_of_failure(Http::CallFault fault, RequestFlow const& flow, bool any_delivered)
{
    using Traffic::AttemptResult;
    if (flow.is_preempted())
        return AttemptResult::Preempted;
    if (flow.must_stop())
        return AttemptResult::CallerGone;
    if (fault == Http::CallFault::NotConnected)
        return AttemptResult::ConnectionRefused;
    return any_delivered ? AttemptResult::BrokenAfterDelivery : AttemptResult::Failed;
}

Traffic::AttemptResult result_of_status(int status)
{
    if (status == status_too_many || status == status_unavailable)
        return Traffic::AttemptResult::EndpointBusy;
    return status >= first_failure_status ? Traffic::AttemptResult::Failed : Traffic::AttemptResult::Completed;
}

/// The body stays where it is, in the flow.
Http::OutgoingRequest request_for(RequestFlow const& flow, Core::TierId tier)
{
    Http::OutgoingRequest request { "POST", flow.upstream.path,
        { { "Content-Type", flow.upstream.content_type }, { "X-Request-Id", std::to_string(flow.facts.id.value()) },
            { "X-Request-Priority", std::to_string(tier.value()) } },
        flow.upstream.body };
    if (!flow.upstream.idempotency_key.empty())
        request.fields.emplace_back("Idempotency-Key", flow.upstream.idempotency_key);
    return request;
}

/// Counts what is collected of an answer until the attempt is over.
class CollectedBytes {
public:
    explicit CollectedBytes(AnswerMemory* memory)
        : memory(memory)
    {
    }
    ~CollectedBytes()
    {
        if (this->memory != nullptr)
            this->memory->remove(this->bytes);
    }
    CollectedBytes(CollectedBytes const&) = delete;
    CollectedBytes& operator=(CollectedBytes const&) = delete;
    void add(std::size_t more)
    {
        this->bytes += more;
        if (this->memory != nullptr)
            this->memory->add(more);
    }

private:
    AnswerMemory* memory;
    std::size_t bytes { 0 };
};

}

UpstreamCaller::UpstreamCaller() = default;
UpstreamCaller::~UpstreamCaller() = default;

AttemptReport UpstreamCaller::call(RequestFlow& flow, Settings::EndpointSettings const& endpoint, Core::TierId tier,
    OnFirstPiece const& on_first_piece)
{
    AttemptReport report;
    auto client = this->take_client(endpoint, flow.class_settings.repeatable);
    if (!flow.begin_attempt(*client)) {
        report.result = flow.is_preempted() ? Traffic::AttemptResult::Preempted : Traffic::AttemptResult::CallerGone;
        flow.end_attempt();
        return report;
    }
    CollectedBytes collected(flow.answer_memory());
    StreamEndWatcher stream_end;
    bool is_streamed = false;
    bool any_piece = false;
    auto const on_head = [&](Http::AnswerHead const& head) {
        report.status = static_cast<int>(head.status);
        report.content_type = head.content_type;
        is_streamed = flow.facts.streaming && report.content_type.starts_with("text/event-stream");
        return true;
    };
    auto const on_piece = [&](std::string_view piece) {
        if (flow.must_stop())
            return false;
        if (!any_piece)
            on_first_piece();
        if (!is_streamed) {
            if (!flow.may_collect()) {
                report.error = "no memory for the answer";
                return false;
            }
            collected.add(piece.size());
            report.body.append(piece);
        } else {
            report.was_passed_on = true;
            if (!any_piece)
                flow.push(Head { report.status, report.content_type });
            stream_end.take(piece);
            if (!flow.push_piece(std::string(piece)))
                return false;
        }
        any_piece = true;
        return true;
    };
    Http::CallLimits limits;
    limits.connect = connect_timeout;
    limits.silence = flow.class_settings.patience + patience_grace;
    auto const failure = client->call(request_for(flow, tier), limits, { on_head, on_piece });
    bool const is_answered = !failure;
    if (is_answered) {
        report.result = result_of_status(report.status);
        if (is_streamed && any_piece && !stream_end.is_whole())
            report.result = Traffic::AttemptResult::BrokenAfterDelivery;
    } else {
        report.result = result_of_failure(failure->fault, flow, is_streamed && any_piece);
        if (report.error.empty())
            report.error = failure->reason;
    }
    flow.end_attempt();
    if (is_answered && flow.class_settings.repeatable)
        this->give_back(endpoint, std::move(client));
    return report;
}

UpstreamCaller::ClientPointer UpstreamCaller::take_client(Settings::EndpointSettings const& endpoint, bool may_reuse)
{
    if (may_reuse) {
        std::scoped_lock const lock(this->mutex);
        auto& idle = this->idle_clients[{ endpoint.host, endpoint.port }];
        if (!idle.empty()) {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
    }
    return std::make_unique<Http::BlockingClient>(endpoint.host, endpoint.port, receive_buffer_bytes);
}

void UpstreamCaller::give_back(Settings::EndpointSettings const& endpoint, ClientPointer client)
{
    if (client->is_stopped())
        return;
    std::scoped_lock const lock(this->mutex);
    auto& idle = this->idle_clients[{ endpoint.host, endpoint.port }];
    if (idle.size() < most_idle_clients)
        idle.push_back(std::move(client));
}

}
