#include <LibGateway/RequestExchange.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <fmt/format.h>

namespace Gateway {

using Core::monotonic_now;
using Core::Reason;
using Routing::RouteKind;

namespace {

unsigned status_of(Reason reason)
{
    switch (reason) {
    case Reason::RouteUnknown:
        return status_not_found;
    case Reason::KeyUnknown:
        return status_unauthorized;
    default:
        return status_unavailable;
    }
}

/// Whether the body consists of server-sent events. Answers of streaming routes do unless they name another type.
bool has_events(Adapter::HttpAnswerHead const& head, Routing::Route const& route)
{
    constexpr std::string_view event_stream = "text/event-stream";
    auto const type = head[http::field::content_type];
    if (type.empty())
        return route.kind == RouteKind::Streaming;
    return boost::beast::iequals(type.substr(0, type.find_first_of("; ")), event_stream);
}

/// Whether the connection ended before a byte of the answer arrived.
bool is_lost(error_code const& error)
{
    return error == http::error::end_of_stream || error.category() == boost::system::system_category();
}

constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr unsigned http_1_1 = 11;

}

RequestExchange::RequestExchange(GatewayState& state, Request request, ClientSide client)
    : state(state)
    , request(std::move(request))
    , client(std::move(client))
    , arrived(monotonic_now())
    , expiry(state.context)
    , silence(state.context)
    , held_progress(state.context)
    , held(state.answer_buffers, [this] { this->held_progress.interrupt(); })
    , keeps_client(this->client.keeps_connection)
{
}

Task<bool> RequestExchange::run()
{
    this->state.check_for_suspension();
    Core::LastReason last_reason;
    auto head = Adapter::decode_request(this->request, last_reason);
    if (!head) {
        Log::EventLine("request_malformed").with("reason", last_reason.text).info();
        co_await this->answer(status_bad_request, Reason::MalformedRequest, {});
        co_return this->keeps_client;
    }
    this->attempt_id = head->attempt;
    this->workload = head->workload;
    this->takes_up_stream = head->takes_up_stream;
    this->taken_up_attempt = head->taken_up_attempt;
    this->patience = head->patience;
    if (this->state.awaits_other_boxes) {
        co_await this->refuse({ Reason::ConfigurationMissing, retry_after_start });
        co_return this->keeps_client && !this->client_is_broken;
    }
    if (auto const refusal = this->accept_forwarded(*head)) {
        co_await this->refuse(*refusal);
        co_return this->keeps_client && !this->client_is_broken;
    }
    auto decision = this->state.router.admit(*head, this->arrived);
    if (auto const* const rejected = std::get_if<Routing::Rejected>(&decision)) {
        this->note_unadmitted(*head);
        co_await this->refuse(*rejected);
        co_return this->keeps_client && !this->client_is_broken;
    }
    this->admitted = std::move(std::get<Routing::Admitted>(decision));
    auto const fingerprint
        = Routing::fingerprint_of(this->admitted->account, head->host, head->target, this->request.body());
    this->suspects = Routing::suspects_of(fingerprint, this->admitted->service, this->workload.prompt);
    if (this->may_outlast_process()) {
        co_await this->refuse({ Reason::Draining, retry_after_draining });
        co_return false;
    }
    this->arm_expiry();
    co_await this->serve();
    if (!this->checks_connection)
        this->end_probe();
    this->is_finished = true;
    this->expiry.cancel();
    co_return this->keeps_client && !this->client_is_broken && !this->has_client_left;
}

bool RequestExchange::may_outlast_process() const
{
    // NOTE: On a kept connection a client may send its next request seconds after the signal to stop, too late for this
    // process to finish it before the exit.
    return this->state.shutdown_deadline && this->admitted->expires > *this->state.shutdown_deadline;
}

Task<void> RequestExchange::serve()
{
    for (;;) {
        this->state.check_for_suspension();
        auto const crash_status = this->state.crash_exchange.request_crashes(this->suspects);
        if (crash_status.refused_for) {
            this->log_refused_suspect(crash_status);
            co_await this->end_unplaced({ Reason::RequestCrashesEndpoints, crash_status.refused_for });
            co_return;
        }
        if (crash_status.is_probed && this->probed.empty()) {
            co_await this->end_unplaced({ Reason::RequestProbed, retry_after_probe });
            co_return;
        }
        if (this->goes_through_other_box() && co_await this->serve_through_other_box())
            co_return;
        if (auto const refusal = co_await this->resolve_stream_origin()) {
            co_await this->end_unplaced(*refusal);
            co_return;
        }
        auto decision = this->state.router.place(*this->admitted, this->workload, this->tried, monotonic_now());
        if (auto const* const rejected = std::get_if<Routing::Rejected>(&decision)) {
            co_await this->end_unplaced(*rejected);
            co_return;
        }
        Attempt attempt;
        attempt.placed = std::move(std::get<Routing::Placed>(decision));
        attempt.started = monotonic_now();
        attempt.known_crashes = crash_status.known;
        this->begin_probe(crash_status.to_probe);
        this->last_end = co_await this->try_endpoint(attempt);
        this->record_attempt(attempt, this->last_end, monotonic_now());
        this->report_run(attempt, this->last_end);
        if (this->last_end == AttemptEnd::Delivered) {
            co_await this->end_delivered(attempt.status);
            co_return;
        }
        this->tried.push_back(attempt.placed.choice.endpoint);
        bool ends_here = this->is_cancelled() || !this->may_try_again(this->last_end);
        if (ends_here)
            this->check_broken_connection_in_background(attempt);
        else
            ends_here = co_await this->has_crashed_again(attempt) || this->is_cancelled();
        if (ends_here) {
            co_await this->end_unserved(attempt.status);
            co_return;
        }
        this->state.metrics.count_retry(this->retry_reason(this->last_end));
        this->events.discard_partial_event();
        static_cast<void>(this->held.try_hold_back(0));
        this->event_rate.reset();
    }
}

Task<void> RequestExchange::end_unplaced(Routing::Rejected const& rejected)
{
    this->standing = rejected.standing;
    if (this->answer_begun)
        co_await this->end_unserved(0);
    else if (this->sent_attempts == 0 && this->unsent_attempts == 0)
        co_await this->refuse(rejected);
    else
        co_await this->give_up(rejected.reason, rejected.retry_after);
}

Task<void> RequestExchange::end_unserved(unsigned last_status)
{
    if (!this->answer_begun) {
        co_await this->give_up(this->reason_for_giving_up(), {});
        co_return;
    }
    // NOTE: A chunked answer without its last chunk shows the client that it is incomplete.
    this->keeps_client = false;
    // NOTE: What arrived before the answer broke is still sent, as where the client reads fast.
    static_cast<void>(co_await this->deliver_held(this->admitted->expires));
    this->log_end(last_status, this->has_client_left ? Reason::CallerGone : Reason::AnswerCutShort);
}

Task<AttemptEnd> RequestExchange::try_endpoint(Attempt& attempt)
{
    auto const endpoint = attempt.placed.choice.endpoint;
    this->log_placement(attempt);
    this->state.router.attempt_started(*this->admitted, this->workload, attempt.placed.choice, attempt.started);
    this->call = std::make_shared<EndpointCall>(
        this->state, this->state.connections, this->attempt_id, this->request.method() == http::verb::head);
    auto const error = co_await this->call->open(endpoint, attempt.placed.endpoint.address);
    attempt.reused_connection = this->call->is_reused();
    attempt.connection_opened = this->call->connection_opened_at();
    if (this->is_cancelled())
        this->state.reachability.unanswered(attempt.started);
    else if (error)
        this->state.reachability.connect_failed(endpoint, attempt.started);
    auto const now = monotonic_now();
    // NOTE: While this box is cut off, hosts of running endpoints refuse as well.
    if (error == asio::error::connection_refused && !this->state.reachability.is_cut_off())
        this->state.router.endpoint_ended(Routing::instance_of(attempt.placed.endpoint), now);
    bool const has_endpoint_left = !error && !this->state.router.may_receive(endpoint, now);
    bool const is_at_limit = !error && !has_endpoint_left && !this->state.router.may_send(attempt.placed, now);
    if (error || has_endpoint_left || is_at_limit || this->is_cancelled()) {
        // NOTE: Refused connections don't count: they cost only a round trip, and after the loss of a failure domain
        // most listed endpoints may refuse. Each endpoint is tried once.
        if (error != asio::error::connection_refused)
            ++this->unsent_attempts;
        attempt.detail = error  ? "connect: " + error.message()
            : has_endpoint_left ? "endpoint left before it was sent"
            : is_at_limit       ? "endpoint accepts no more requests for now"
                                : "cancelled before it was sent";
        this->call->abort();
        co_return AttemptEnd::NotSent;
    }
    auto const end = co_await this->send_and_receive(attempt);
    if (attempt.excess == AnswerExcess::None)
        attempt.excess = this->call->excess();
    this->call->release(monotonic_now());
    this->may_have_run |= end != AttemptEnd::NotRun;
    co_return end;
}

void RequestExchange::send_request(Attempt const& attempt)
{
    ++this->sent_attempts;
    this->client.starting.reset();
    Adapter::ForwardedFields forwarded;
    forwarded.account = this->admitted->account;
    forwarded.expected_incarnation = attempt.placed.endpoint.incarnation;
    forwarded.urgency = this->admitted->urgency;
    forwarded.remaining = this->admitted->expires - monotonic_now();
    if (this->has_body())
        forwarded.body_bytes = this->request.body().size();
    forwarded.last_event_id = this->events.last_id();
    this->call->send(Adapter::encode_request(this->request, forwarded), asio::buffer(this->request.body()),
        this->shared_from_this());
}

bool RequestExchange::has_body() const
{
    return !this->request.body().empty() || this->request.count(http::field::content_length) > 0
        || this->request.chunked();
}

Task<AttemptEnd> RequestExchange::send_and_receive(Attempt& attempt)
{
    this->send_request(attempt);
    this->arm_silence_limit();
    Adapter::AnswerFacts facts;
    auto const error = co_await this->call->read_head(facts);
    this->awaits_head = false;
    this->silence.cancel();
    if (error) {
        attempt.detail = "reading the head of the answer: " + error.message();
        attempt.connection_broke = !this->is_cancelled() && !this->was_endpoint_silent;
        bool const is_new_connection_lost = attempt.connection_broke && !attempt.reused_connection && is_lost(error);
        if (is_new_connection_lost)
            this->state.reachability.new_connection_broke(
                attempt.placed.choice.endpoint, { attempt.started, attempt.connection_opened, monotonic_now() });
        else
            this->state.reachability.unanswered(attempt.started);
        co_return this->end_of_broken_answer();
    }
    this->state.reachability.answered(attempt.connection_opened);
    attempt.status = this->call->head().result_int();
    attempt.body_end = this->call->body_end();
    attempt.reported_draining = facts.is_draining;
    attempt.reported_backoff = facts.backoff;
    attempt.reported_load = facts.load;
    attempt.unreadable_load = facts.unreadable_load;
    attempt.reported_max_rejections = facts.max_rejections;
    if (facts.rate_limit)
        attempt.reported_rate_limit = facts.rate_limit->per_second;
    if (!facts.is_other_endpoint)
        this->state.endpoint_notice_exchange.endpoint_answered(attempt.placed,
            { facts.rate_limit, facts.is_draining, !facts.not_run, facts.backoff, facts.max_rejections },
            attempt.started);
    auto const endpoint = attempt.placed.choice.endpoint;
    if (facts.load)
        this->state.router.update_reported_load(endpoint, *facts.load, monotonic_now());
    if (facts.is_other_endpoint)
        this->state.router.endpoint_replaced(endpoint);
    if (facts.not_run) {
        attempt.detail = facts.is_other_endpoint ? "another endpoint has the address" : "not run";
        co_await this->call->discard_body();
        co_return AttemptEnd::NotRun;
    }
    if (attempt.status >= first_failure_status && this->may_retry_failure()) {
        co_await this->call->discard_body();
        co_return AttemptEnd::EndpointError;
    }
    co_return co_await this->forward_answer(attempt);
}

Task<AttemptEnd> RequestExchange::forward_answer(Attempt& attempt)
{
    if (this->answer_begun) {
        // NOTE: The client already has the head of the first answer, so the stream can only be continued by a 200.
        if (attempt.status != status_ok) {
            attempt.detail = "the stream was not continued";
            co_return AttemptEnd::BrokenAfterDelivery;
        }
        co_return co_await this->forward_body(attempt, {}, false);
    }
    auto const& head = this->call->head();
    auto const length = this->call->content_length();
    bool const is_chunked = !length && !this->call->is_done();
    bool const ends_with_connection = is_chunked && this->request.version() < http_1_1;
    this->keeps_client = this->keeps_client && !ends_with_connection && !this->state.is_stopping;
    // NOTE: Only an orderly close marks the end of such an answer, so until it is complete the connection is reset
    // however it ends, also with the process.
    if (ends_with_connection)
        this->reset_client_on_close(true);
    if (is_chunked)
        this->framing = ends_with_connection ? Adapter::BodyFraming::Empty : Adapter::BodyFraming::Chunked;
    else
        this->framing = length ? Adapter::BodyFraming::Length : Adapter::BodyFraming::Empty;
    this->is_event_stream = is_chunked && attempt.status == status_ok && has_events(head, *this->admitted->route);
    this->splits_events = this->is_event_stream && this->admitted->route->kind == RouteKind::Streaming
        && this->admitted->route->can_resume;
    bool const is_buffered = length && *length <= max_buffered_answer_bytes;
    auto const details = this->box_details({}, {}, attempt.placed.endpoint.version);
    auto out = Adapter::encode_answer(head, { this->framing, this->keeps_client, details });
    co_return co_await this->forward_body(attempt, std::move(out), is_buffered);
}

Task<AttemptEnd> RequestExchange::forward_body(Attempt& attempt, std::string out, bool is_buffered)
{
    do {
        std::string piece;
        while (!this->call->is_done()) {
            if (!this->held.is_empty())
                co_await this->wait_for_room();
            std::string received;
            if (auto const error = co_await this->call->read_piece(received)) {
                attempt.detail = "reading the body of the answer: " + error.message();
                attempt.connection_broke = !this->is_cancelled();
                co_return this->end_of_broken_answer();
            }
            this->measure_event_rate(attempt, received);
            piece += this->forwardable(received);
            if (!is_buffered && !piece.empty())
                break;
            auto const held_back = allocated_bytes(piece) + this->events.held_bytes();
            if (this->held.try_hold_back(held_back) && held_back <= AnswerBuffer::max_answer_bytes)
                continue;
            if (is_buffered)
                break;
            attempt.excess = AnswerExcess::Event;
            attempt.detail = "an event is too long";
            this->call->abort();
            co_return this->end_of_broken_answer();
        }
        bool const is_broken_off = this->is_stream_broken_off();
        if (is_broken_off) {
            attempt.detail = "the connection ended inside an event";
            attempt.connection_broke = !this->is_cancelled();
            if (piece.empty())
                co_return this->end_of_broken_answer();
        } else if (this->call->is_done() && this->splits_events) {
            piece += this->events.partial_event();
        }
        this->follow_answer(attempt);
        this->note_stream_began(attempt);
        this->record_first_piece(attempt);
        out += this->framed(piece);
        if (this->call->is_done() && !is_broken_off && this->framing == Adapter::BodyFraming::Chunked)
            out += last_chunk;
        this->answer_begun = true;
        this->pass_to_client(std::exchange(out, {}));
        static_cast<void>(this->held.try_hold_back(this->events.held_bytes()));
        if (is_broken_off)
            co_return this->end_of_broken_answer();
    } while (!this->call->is_done());
    co_return AttemptEnd::Delivered;
}

void RequestExchange::reset_client_on_close(bool is_reset)
{
    error_code ignored;
    this->client.socket->set_option(asio::socket_base::linger(is_reset, 0), ignored);
}

bool RequestExchange::is_stream_broken_off() const
{
    bool const may_be_broken_off
        = this->is_event_stream && this->call->is_done() && this->call->body_end() == BodyEnd::Connection;
    if (!may_be_broken_off)
        return false;
    // NOTE: An endpoint that continues a stream and breaks off at once brings no event either.
    return this->events.is_inside_event() || !this->events.has_new_events();
}

std::string RequestExchange::forwardable(std::string const& received)
{
    if (this->splits_events)
        return this->events.append(received);
    if (this->is_event_stream)
        this->events.follow(received);
    return received;
}

AttemptEnd RequestExchange::end_of_broken_answer() const
{
    if (!this->answer_begun)
        return AttemptEnd::Unknown;
    // NOTE: Without an id the next endpoint could not tell where to continue, and would send all events again.
    bool const is_position_known = !this->events.has_events() || this->events.last_id();
    bool const can_continue
        = this->splits_events && is_position_known && !this->is_cancelled() && !this->is_stream_version_unknown;
    return can_continue ? AttemptEnd::Interrupted : AttemptEnd::BrokenAfterDelivery;
}

std::string RequestExchange::framed(std::string const& piece)
{
    if (this->framing != Adapter::BodyFraming::Chunked || piece.empty())
        return piece;
    return fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
}

void RequestExchange::record_first_piece(Attempt const& attempt)
{
    if (this->answer_begun)
        return;
    auto const now = monotonic_now();
    this->first_piece_after = now - this->arrived;
    this->state.metrics.observe_first_byte(this->admitted->route->name, *this->first_piece_after);
    // NOTE: The box that sent the request to an endpoint counts it.
    if (attempt.placed.endpoint.incarnation.empty())
        return;
    // NOTE: An engine starts a request with its first token. A plain service answers when it has finished, so it
    // started when the request was sent.
    this->count_started(this->admitted->is_engine ? now : attempt.started);
    this->state.router.attempt_answered(*this->admitted, attempt.placed.choice, now - attempt.started, now);
}

void RequestExchange::measure_event_rate(Attempt const& attempt, std::string_view received)
{
    if (!this->admitted->is_engine || this->admitted->route->kind != RouteKind::Streaming)
        return;
    auto const now = monotonic_now();
    auto const sample = this->event_rate.add(received, now);
    auto const* const service = this->admitted->configuration->find_service(this->admitted->service);
    if (sample && service != nullptr && service->engine)
        this->state.router.answer_progressed(*this->admitted, attempt.placed.choice.endpoint,
            sample->events * service->engine->tokens_per_event, sample->duration, now);
}

Task<void> RequestExchange::send_to_client(std::string const& bytes)
{
    if (this->has_client_left)
        co_return;
    auto const [error, written] = co_await asio::async_write(*this->client.socket, asio::buffer(bytes), as_value);
    if (error) {
        this->client_is_broken = true;
        this->client_left();
    }
}

Task<void> RequestExchange::answer(unsigned status, Reason reason, std::optional<Core::Duration> retry_after)
{
    this->keeps_client = this->keeps_client && !this->state.is_stopping;
    this->state.metrics.count_refusal(reason);
    auto const bytes = Adapter::encode_local_answer({ status, this->attempt_id, reason, retry_after, this->keeps_client,
        this->request.method() == http::verb::head, this->box_details(reason, retry_after) });
    this->log_end(status, reason);
    co_await this->send_to_client(bytes);
}

Task<void> RequestExchange::refuse(Routing::Rejected const& rejected)
{
    co_await this->answer(status_of(rejected.reason), rejected.reason, rejected.retry_after);
}

Task<void> RequestExchange::give_up(Reason why, std::optional<Core::Duration> retry_after)
{
    if (!this->may_have_run) {
        co_await this->answer(status_unavailable, why, retry_after.value_or(retry_after_refusal));
        co_return;
    }
    co_await this->answer(this->has_expired ? status_gateway_timeout : status_bad_gateway, why, {});
}

void RequestExchange::client_left()
{
    this->has_client_left = true;
    this->has_dropped_held |= this->held.discard() || this->is_writing;
    this->held_progress.interrupt();
    bool const may_be_cancelled = !this->admitted || this->admitted->route->kind != RouteKind::NonIdempotent;
    if (may_be_cancelled)
        this->cancel_attempt();
}

bool RequestExchange::after_suspension()
{
    if (!this->admitted || this->is_finished || this->has_expired)
        return false;
    this->arm_expiry();
    return monotonic_now() >= this->admitted->expires;
}

void RequestExchange::arm_expiry()
{
    this->expiry.expires_after(this->admitted->expires - monotonic_now());
    this->expiry.async_wait([weak = this->weak_from_this()](error_code cancelled) {
        auto const self = weak.lock();
        if (cancelled || !self || self->is_finished)
            return;
        self->has_expired = true;
        self->cancel_attempt();
    });
}

void RequestExchange::arm_silence_limit()
{
    this->was_endpoint_silent = false;
    auto const& route = *this->admitted->route;
    bool const may_go_elsewhere = route.kind == RouteKind::Idempotent && this->sent_attempts < this->max_attempts()
        && route.goal > Core::Duration { 0 };
    if (!may_go_elsewhere)
        return;
    this->awaits_head = true;
    this->silence.expires_after(Core::from_seconds(Core::to_seconds(route.goal) * silence_per_goal));
    this->silence.async_wait([weak = this->weak_from_this(), timed_call = this->call](error_code cancelled) {
        auto const self = weak.lock();
        // NOTE: After a stall of the event loop this handler may already be queued when the answer is read, and then it
        // can't be cancelled. Without this check it would cut off an answer that has begun.
        if (cancelled || !self || self->call != timed_call || !self->awaits_head)
            return;
        self->was_endpoint_silent = true;
        timed_call->abort();
    });
}

void RequestExchange::cancel_attempt()
{
    if (this->call)
        this->call->abort();
    this->held_progress.interrupt();
}

}
