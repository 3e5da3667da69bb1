#include <LibGateway/RequestExchange.h>

#include <LibLog/EventLog.h>
#include <fmt/format.h>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;
using Core::Reason;
using Routing::AttemptResult;

namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned first_failure_status = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

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

std::string as_chunk(std::string_view piece)
{
    return piece.empty() ? std::string() : fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
}

constexpr std::string_view last_chunk = "0\r\n\r\n";

}

RequestExchange::RequestExchange(GatewayState& state, Request request, ClientSide client)
    : state(state)
    , request(std::move(request))
    , client(std::move(client))
    , arrived(monotonic_now())
    , expiry(state.context)
    , silence(state.context)
    , keeps_client(this->client.keeps_connection)
{
}

Task<bool> RequestExchange::run()
{
    Core::LastReason last_reason;
    auto const head = Adapter::decode_request(this->request, last_reason);
    if (!head) {
        Log::EventLine("request_malformed").with("reason", last_reason.text).info();
        co_await this->answer(status_bad_request, Reason::MalformedRequest, {});
        co_return this->keeps_client;
    }
    this->attempt_id = head->attempt;
    this->workload = head->workload;
    auto decision = this->state.router.admit(*head, this->arrived);
    if (auto const* const rejected = std::get_if<Routing::Rejected>(&decision)) {
        co_await this->refuse(*rejected);
        co_return this->keeps_client && !this->client_is_broken;
    }
    this->admitted = std::move(std::get<Routing::Admitted>(decision));
    this->arm_expiry();
    co_await this->serve();
    this->is_finished = true;
    this->expiry.cancel();
    co_return this->keeps_client && !this->client_is_broken && !this->has_left;
}

Task<void> RequestExchange::serve()
{
    unsigned unsent = 0;
    for (;;) {
        auto decision = this->state.router.place(*this->admitted, this->workload, this->tried, monotonic_now());
        if (auto const* const rejected = std::get_if<Routing::Rejected>(&decision)) {
            if (this->sent_attempts == 0)
                co_await this->refuse(*rejected);
            else
                co_await this->give_up(this->last_end, rejected->reason);
            co_return;
        }
        Attempt attempt { std::move(std::get<Routing::Placed>(decision)), monotonic_now(), 0, false, {} };
        this->last_end = co_await this->try_endpoint(attempt);
        this->record_attempt(attempt, this->last_end, monotonic_now());
        if (this->last_end == AttemptEnd::Delivered) {
            this->log_end(attempt.status, Reason::AnswerComplete);
            co_return;
        }
        if (this->last_end == AttemptEnd::BrokenAfterDelivery) {
            this->keeps_client = false;
            this->log_end(attempt.status, this->has_left ? Reason::CallerGone : Reason::AnswerCutShort);
            co_return;
        }
        this->tried.push_back(attempt.placed.choice.endpoint);
        unsent += this->last_end == AttemptEnd::NotSent ? 1 : 0;
        if (this->is_cancelled() || unsent > most_unsent_attempts || !this->may_try_again(this->last_end)) {
            co_await this->give_up(this->last_end, this->reason_for_giving_up());
            co_return;
        }
        this->state.metrics.count_retry(this->was_silent ? Reason::EndpointSilent : retry_reason(this->last_end));
    }
}

Reason RequestExchange::retry_reason(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return Reason::RetryConnectionRefused;
    case AttemptEnd::NotRun:
        return Reason::EndpointFull;
    default:
        return Reason::RetryAttemptFailed;
    }
}

Reason RequestExchange::reason_for_giving_up() const
{
    if (this->has_left)
        return Reason::CallerGone;
    if (this->has_expired)
        return this->admitted->expiry;
    if (this->sent_attempts >= this->admitted->route->max_attempts)
        return Reason::AttemptsSpent;
    if (this->last_end == AttemptEnd::Unknown && !this->admitted->route->is_repeatable())
        return Reason::RetryNotAllowed;
    return Reason::RetryBudgetSpent;
}

bool RequestExchange::may_try_again(AttemptEnd end)
{
    if (end == AttemptEnd::NotSent)
        return true;
    // NOTE: The budget was asked when the endpoint's failure was held back.
    if (end == AttemptEnd::EndpointError)
        return true;
    if (end == AttemptEnd::Unknown && !this->admitted->route->is_repeatable())
        return false;
    return this->sent_attempts < this->admitted->route->max_attempts
        && this->state.router.may_repeat(*this->admitted, monotonic_now());
}

Task<RequestExchange::AttemptEnd> RequestExchange::try_endpoint(Attempt& attempt)
{
    auto const endpoint = attempt.placed.choice.endpoint;
    this->log_placement(attempt);
    this->state.router.attempt_started(*this->admitted, this->workload, attempt.placed.choice, attempt.started);
    this->connection = this->state.connections.take_idle(endpoint, attempt.started);
    attempt.reused_connection = this->connection != nullptr;
    if (!this->connection) {
        error_code error;
        this->state.metrics.count_endpoint_connection();
        this->connection = co_await this->state.connections.connect(endpoint, attempt.placed.endpoint.address, error);
        if (!this->connection) {
            attempt.detail = "connect: " + error.message();
            co_return AttemptEnd::NotSent;
        }
    }
    if (this->is_cancelled()) {
        this->state.connections.put_back(std::exchange(this->connection, nullptr), monotonic_now());
        co_return AttemptEnd::NotSent;
    }
    auto const end = co_await this->converse(attempt);
    this->release_connection(monotonic_now());
    co_return end;
}

void RequestExchange::send_request(Attempt const& attempt)
{
    ++this->sent_attempts;
    this->request_is_written = false;
    bool const has_body = !this->request.body().empty() || this->request.count(http::field::content_length) > 0
        || this->request.chunked();
    Adapter::ForwardedFigures const figures { this->admitted->account, attempt.placed.endpoint.incarnation,
        this->admitted->urgency, this->admitted->expires - monotonic_now(),
        has_body ? std::optional(this->request.body().size()) : std::nullopt };
    auto const head = std::make_shared<std::string>(Adapter::encode_request(this->request, figures));
    std::array<asio::const_buffer, 2> const buffers { asio::buffer(*head), asio::buffer(this->request.body()) };
    // NOTE: Not awaited: an endpoint may answer before it has read all of a long body.
    asio::async_write(this->connection->socket, buffers,
        [self = this->shared_from_this(), head, used = this->connection](error_code error, std::size_t) {
            if (!error && self->connection == used)
                self->request_is_written = true;
        });
}

Task<RequestExchange::AttemptEnd> RequestExchange::converse(Attempt& attempt)
{
    this->send_request(attempt);
    this->arm_silence_limit();
    Adapter::AnswerFacts facts;
    bool const is_answered = co_await this->read_answer_head(attempt, facts);
    this->silence.cancel();
    if (!is_answered)
        co_return AttemptEnd::Unknown;
    attempt.status = this->parser->get().result_int();
    auto const endpoint = attempt.placed.choice.endpoint;
    if (facts.load)
        this->state.router.take_told_load(endpoint, *facts.load, monotonic_now());
    if (facts.is_other_endpoint)
        this->state.router.endpoint_replaced(endpoint);
    if (facts.not_run) {
        attempt.detail = facts.is_other_endpoint ? "another endpoint has the address" : "not run";
        co_await this->discard_answer_body();
        co_return AttemptEnd::NotRun;
    }
    if (attempt.status >= first_failure_status && this->failure_may_be_withheld()) {
        co_await this->discard_answer_body();
        co_return AttemptEnd::EndpointError;
    }
    co_return co_await this->pass_answer(attempt);
}

Task<bool> RequestExchange::read_answer_head(Attempt& attempt, Adapter::AnswerFacts& facts)
{
    constexpr unsigned first_final_status = 200;
    for (;;) {
        this->parser = std::make_unique<AnswerParser>();
        this->parser->header_limit(largest_answer_head);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->request.method() == http::verb::head);
        auto const [error, bytes] = co_await http::async_read_header(
            this->connection->socket, this->connection->buffer, *this->parser, as_value);
        if (error) {
            attempt.detail = "answer's head: " + error.message();
            co_return false;
        }
        if (this->parser->get().result_int() < first_final_status)
            continue;
        facts = Adapter::decode_answer(this->parser->get(), this->attempt_id);
        if (!facts.is_for_other_request)
            co_return true;
        Log::EventLine("answer_for_other_request").with("id", this->attempt_id).info();
        if (!co_await this->discard_answer_body()) {
            attempt.detail = "an answer to another request broke";
            co_return false;
        }
    }
}

Task<bool> RequestExchange::discard_answer_body()
{
    std::string discarded;
    while (!this->parser->is_done()) {
        discarded.clear();
        if (auto const error = co_await this->read_piece(discarded))
            co_return false;
    }
    co_return true;
}

bool RequestExchange::failure_may_be_withheld()
{
    return !this->has_left && this->admitted->route->is_repeatable()
        && this->sent_attempts < this->admitted->route->max_attempts
        && this->state.router.may_repeat(*this->admitted, monotonic_now());
}

Task<error_code> RequestExchange::read_piece(std::string& piece)
{
    auto const before = piece.size();
    piece.resize(before + piece_bytes);
    auto& body = this->parser->get().body();
    body.data = piece.data() + before;
    body.size = piece_bytes;
    body.more = true;
    auto [error, bytes]
        = co_await http::async_read_some(this->connection->socket, this->connection->buffer, *this->parser, as_value);
    piece.resize(before + piece_bytes - body.size);
    if (error == http::error::need_buffer)
        error = {};
    co_return error;
}

Task<RequestExchange::AttemptEnd> RequestExchange::pass_answer(Attempt& attempt)
{
    auto const& head = this->parser->get();
    auto const length = this->parser->content_length();
    bool const is_held = length && *length <= largest_held_answer;
    bool const is_chunked = !length && !this->parser->is_done();
    bool const closes_to_end = is_chunked && this->request.version() < 11;
    this->keeps_client = this->keeps_client && !closes_to_end && !this->state.is_stopping;
    auto const body_framing = is_chunked ? (closes_to_end ? Adapter::BodyFraming::Empty : Adapter::BodyFraming::Chunked)
        : head.count(http::field::content_length) > 0 ? Adapter::BodyFraming::Length
                                                      : Adapter::BodyFraming::Empty;
    auto out = Adapter::encode_answer(head, { body_framing, this->keeps_client });
    std::string piece;
    do {
        piece.clear();
        do {
            if (this->parser->is_done())
                break;
            if (auto const error = co_await this->read_piece(piece)) {
                attempt.detail = "answer's body: " + error.message();
                co_return this->answer_begun ? AttemptEnd::BrokenAfterDelivery : AttemptEnd::Unknown;
            }
        } while ((is_held || piece.empty()) && !this->parser->is_done());
        this->note_first_piece(attempt);
        out += body_framing == Adapter::BodyFraming::Chunked ? as_chunk(piece) : piece;
        if (this->parser->is_done() && body_framing == Adapter::BodyFraming::Chunked)
            out += last_chunk;
        this->answer_begun = true;
        if (!co_await this->send_to_client(out)) {
            attempt.detail = "client's connection broke";
            co_return AttemptEnd::BrokenAfterDelivery;
        }
        out.clear();
    } while (!this->parser->is_done());
    co_return AttemptEnd::Delivered;
}

void RequestExchange::note_first_piece(Attempt const& attempt)
{
    if (this->answer_begun)
        return;
    auto const now = monotonic_now();
    this->state.router.attempt_answered(*this->admitted, attempt.placed.choice, now - attempt.started, now);
    this->state.metrics.observe_first_byte(this->admitted->route->name, now - this->arrived);
}

Task<bool> RequestExchange::send_to_client(std::string const& bytes)
{
    // NOTE: Work that may not be repeated goes on without its client, and its answer has nowhere to go.
    if (this->has_left)
        co_return true;
    auto const [error, written] = co_await asio::async_write(*this->client.socket, asio::buffer(bytes), as_value);
    if (error) {
        this->client_is_broken = true;
        this->client_left();
    }
    co_return !error || this->has_left;
}

Task<void> RequestExchange::answer(unsigned status, Reason reason, std::optional<Core::Duration> retry_after)
{
    this->keeps_client = this->keeps_client && !this->state.is_stopping;
    if (status >= status_bad_request)
        this->state.metrics.count_refusal(reason);
    auto const bytes = Adapter::encode_own_answer({ status, this->attempt_id, reason, retry_after, this->keeps_client,
        this->request.method() == http::verb::head });
    this->log_end(status, reason);
    co_await this->send_to_client(bytes);
}

Task<void> RequestExchange::refuse(Routing::Rejected const& rejected)
{
    co_await this->answer(status_of(rejected.reason), rejected.reason, rejected.retry_after);
}

Task<void> RequestExchange::give_up(AttemptEnd last, Reason why)
{
    if (last == AttemptEnd::NotSent || last == AttemptEnd::NotRun) {
        co_await this->answer(status_unavailable, why, come_back_after_refusal);
        co_return;
    }
    co_await this->answer(this->has_expired ? status_gateway_timeout : status_bad_gateway, why, {});
}

void RequestExchange::client_left()
{
    this->has_left = true;
    bool const may_be_cancelled = !this->admitted || this->admitted->route->kind != Routing::RouteKind::NonIdempotent;
    if (may_be_cancelled)
        this->cancel_attempt();
}

void RequestExchange::arm_expiry()
{
    this->expiry.expires_after(this->admitted->expires - this->arrived);
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
    this->was_silent = false;
    auto const& route = *this->admitted->route;
    bool const may_go_elsewhere = route.kind == Routing::RouteKind::Idempotent
        && this->sent_attempts < route.max_attempts && route.goal > Core::Duration { 0 };
    if (!may_go_elsewhere)
        return;
    this->silence.expires_after(Core::from_seconds(Core::to_seconds(route.goal) * silence_in_targets));
    this->silence.async_wait([weak = this->weak_from_this(), watched = this->connection](error_code cancelled) {
        auto const self = weak.lock();
        if (cancelled || !self || self->connection != watched)
            return;
        self->was_silent = true;
        watched->abort();
    });
}

void RequestExchange::cancel_attempt()
{
    if (this->connection)
        this->connection->abort();
}

void RequestExchange::release_connection(Instant now)
{
    auto used = std::exchange(this->connection, nullptr);
    bool const is_clean = this->request_is_written && this->parser && this->parser->is_done()
        && this->parser->keep_alive() && used->buffer.size() == 0 && used->socket.is_open();
    if (!is_clean) {
        used->abort();
        return;
    }
    if (auto const told = Adapter::idle_time_told(this->parser->get()))
        used->told_idle_time = told;
    this->state.connections.put_back(std::move(used), now);
}

AttemptResult RequestExchange::result_of(Attempt const& attempt, AttemptEnd end) const
{
    switch (end) {
    case AttemptEnd::Delivered:
        return attempt.status >= first_failure_status ? AttemptResult::Failed : AttemptResult::Completed;
    case AttemptEnd::NotRun:
        return AttemptResult::EndpointBusy;
    case AttemptEnd::EndpointError:
        return AttemptResult::Failed;
    case AttemptEnd::NotSent:
        return this->is_cancelled() ? AttemptResult::NotSent : AttemptResult::ConnectionRefused;
    case AttemptEnd::BrokenAfterDelivery:
        return this->is_cancelled() ? AttemptResult::CallerGone : AttemptResult::BrokenAfterDelivery;
    case AttemptEnd::Unknown:
        return this->has_left ? AttemptResult::CallerGone : AttemptResult::Failed;
    }
    return AttemptResult::Failed;
}

std::string_view RequestExchange::to_string(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
        return "delivered";
    case AttemptEnd::BrokenAfterDelivery:
        return "broken-after-delivery";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::NotRun:
        return "not-run";
    case AttemptEnd::Unknown:
        return "unknown";
    case AttemptEnd::EndpointError:
        return "endpoint-error";
    }
    return "unknown";
}

void RequestExchange::record_attempt(Attempt const& attempt, AttemptEnd end, Instant now)
{
    this->state.router.attempt_ended(
        this->admitted->id, attempt.placed.choice.endpoint, this->result_of(attempt, end), now);
    this->state.metrics.count_attempt(to_string(end));
    Log::EventLine line("attempt_ended");
    line.with("id", this->attempt_id)
        .with("endpoint", attempt.placed.endpoint.incarnation)
        .with("result", to_string(end))
        .with("status", attempt.status)
        .with("reused_connection", attempt.reused_connection ? "yes" : "no")
        .with("took_ms", Core::to_milliseconds(now - attempt.started));
    if (!attempt.detail.empty())
        line.with("detail", attempt.detail);
    line.info();
}

void RequestExchange::log_placement(Attempt const& attempt) const
{
    auto const& figures = attempt.placed.choice.figures;
    Log::EventLine("request_placed")
        .with("id", this->attempt_id)
        .with("route", this->admitted->route->name)
        .with("account", this->admitted->account)
        .with("urgency", this->admitted->urgency)
        .with("configuration", this->admitted->configuration->version())
        .with("configuration_age_ms", Core::to_milliseconds(this->state.router.configuration_age(attempt.started)))
        .with("endpoint", attempt.placed.endpoint.incarnation)
        .with("attempt", this->sent_attempts + 1)
        .with("candidates", figures.candidates)
        .with("predicted_ms", figures.predicted_milliseconds)
        .with("backlog_ms", figures.backlog_milliseconds)
        .with("tokens_to_read", figures.tokens_to_read)
        .with("running", figures.running)
        .with("subject", fmt::format("{:x}", figures.subject))
        .with("home", figures.is_home ? "yes" : "no")
        .with("left_ms", Core::to_milliseconds(this->admitted->expires - attempt.started))
        .info();
}

void RequestExchange::log_end(unsigned status, Reason reason) const
{
    auto const taken = monotonic_now() - this->arrived;
    auto const route = this->admitted ? this->admitted->route->name : std::string("none");
    this->state.metrics.count_request(route, this->has_left ? 0 : status);
    this->state.metrics.observe_answer(route, taken);
    Log::EventLine("request_ended")
        .with("id", this->attempt_id)
        .with("route", route)
        .with("status", status)
        .with("reason", Core::to_string(reason))
        .with("attempts", this->sent_attempts)
        .with("client_left", this->has_left ? "yes" : "no")
        .with("took_ms", Core::to_milliseconds(taken))
        .info();
}

}
