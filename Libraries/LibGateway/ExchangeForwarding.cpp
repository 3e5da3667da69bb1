// How RequestExchange serves a request by way of another box while this one is cut off from the endpoints, and what it
// does differently for a request that another box forwarded to this one.

#include <LibGateway/RequestExchange.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;
using Core::Reason;

bool RequestExchange::goes_through_other_box() const
{
    // NOTE: A forwarded request is never forwarded again, since two boxes that are cut off would send it to and fro.
    return !this->forwarded && this->state.reachability.is_cut_off();
}

Task<bool> RequestExchange::serve_through_other_box()
{
    while (this->asked_boxes.size() < max_asked_boxes && !this->is_cancelled()) {
        auto const box = this->state.forwarder.choose(*this->admitted, this->asked_boxes, monotonic_now());
        if (!box)
            break;
        this->asked_boxes.push_back(box->name);
        Attempt attempt;
        attempt.started = monotonic_now();
        this->last_end = co_await this->try_box(*box, attempt);
        this->log_forwarding(*box, attempt);
        if (this->last_end == AttemptEnd::Delivered) {
            co_await this->end_delivered(attempt.status);
            co_return true;
        }
        bool const is_refused = this->last_end == AttemptEnd::NotRun;
        if (is_refused && !Membership::may_other_box_serve(attempt.refusal)) {
            co_await this->end_unplaced({ attempt.refusal, attempt.refused_for });
            co_return true;
        }
        if (this->last_end == AttemptEnd::NotSent && this->is_cancelled())
            break;
        if (is_refused || this->last_end == AttemptEnd::NotSent) {
            this->state.forwarder.mark_unable(box->name, monotonic_now());
            continue;
        }
        // NOTE: The other box may have used all attempts that were left.
        this->sent_attempts = this->max_attempts();
        co_await this->end_unserved(attempt.status);
        co_return true;
    }
    if (this->is_cancelled())
        co_await this->end_unserved(0);
    co_return this->is_cancelled();
}

Task<AttemptEnd> RequestExchange::try_box(Membership::BoxRecord const& box, Attempt& attempt)
{
    auto& forwarder = this->state.forwarder;
    this->call = std::make_shared<EndpointCall>(
        this->state, forwarder.connections(), this->attempt_id, this->request.method() == http::verb::head);
    Routing::SocketAddress const address { box.address.host, box.forwarding_port };
    auto const error = co_await this->call->open(forwarder.connection_id(box.name), address);
    attempt.reused_connection = this->call->is_reused();
    if (error || this->is_cancelled()) {
        attempt.detail = error ? "connect: " + error.message() : "cancelled before it was sent";
        this->call->abort();
        co_return AttemptEnd::NotSent;
    }
    this->send_to_box();
    auto const end = co_await this->receive_from_box(attempt);
    if (attempt.excess == AnswerExcess::None)
        attempt.excess = this->call->excess();
    this->call->release(monotonic_now());
    if (end == AttemptEnd::Delivered)
        forwarder.mark_able(box.name);
    this->may_have_run |= end != AttemptEnd::NotRun;
    co_return end;
}

void RequestExchange::send_to_box()
{
    this->client.starting.reset();
    auto const now = monotonic_now();
    Membership::ForwardedRequest const details { this->state.forwarder.min_configuration(
                                                     this->admitted->configuration->version(), now),
        this->admitted->service, this->max_attempts() - this->sent_attempts,
        this->state.router.incarnations(this->tried), this->admitted->stream_version };
    auto const encoded = Membership::encode(details);
    Adapter::BoxFields fields { this->admitted->expires - now, {}, this->events.last_id(), encoded };
    if (this->has_body())
        fields.body_bytes = this->request.body().size();
    this->call->send(Adapter::encode_request_for_box(this->request, fields), asio::buffer(this->request.body()),
        this->shared_from_this());
}

Task<AttemptEnd> RequestExchange::receive_from_box(Attempt& attempt)
{
    Adapter::AnswerFacts facts;
    if (auto const error = co_await this->call->read_head(facts)) {
        attempt.detail = "reading the head of the answer: " + error.message();
        co_return this->end_of_broken_answer();
    }
    attempt.status = this->call->head().result_int();
    auto const answer = Membership::decode_forwarded_answer(Adapter::forwarded_answer_details(this->call->head()));
    if (!answer) {
        attempt.detail = "the answer lacks what a box adds to it";
        co_return this->end_of_broken_answer();
    }
    this->state.forwarder.note_configuration(answer->configuration, monotonic_now());
    attempt.placed.endpoint.version = answer->version;
    if (!answer->refusal)
        co_return co_await this->forward_answer(attempt);
    attempt.refusal = *answer->refusal;
    attempt.refused_for = answer->retry_after;
    attempt.detail = Core::to_string(attempt.refusal);
    co_await this->call->discard_body();
    bool const may_have_run_there = attempt.status == status_bad_gateway || attempt.status == status_gateway_timeout;
    co_return may_have_run_there ? this->end_of_broken_answer() : AttemptEnd::NotRun;
}

std::optional<Routing::Rejected> RequestExchange::accept_forwarded(Routing::RequestHead& head)
{
    if (!this->client.is_box)
        return {};
    auto const details = Adapter::forwarded_request_details(this->request);
    this->forwarded = Membership::decode_forwarded_request(details);
    if (!this->forwarded) {
        Log::EventLine("forwarded_request_unreadable").with("id", this->attempt_id).with("details", details).warning();
        this->forwarded.emplace();
        return Routing::Rejected { Reason::MalformedRequest, retry_after_refusal };
    }
    this->state.metrics.count_request_from_box();
    head.assigned_service = this->forwarded->service;
    auto const configuration = this->state.router.configuration();
    if (!configuration || configuration->version() < this->forwarded->min_configuration)
        return Routing::Rejected { Reason::ConfigurationAging, retry_after_refusal };
    if (this->state.reachability.is_cut_off())
        return Routing::Rejected { Reason::EndpointsUnreachable, retry_after_refusal };
    this->tried = this->state.router.endpoint_ids(this->forwarded->tried);
    return {};
}

std::string RequestExchange::box_details(
    std::optional<Reason> refusal, std::optional<Core::Duration> retry_after, std::string const& version) const
{
    return this->client.is_box ? this->state.forwarder.answer_details(refusal, retry_after, version) : std::string();
}

unsigned RequestExchange::max_attempts() const
{
    auto const allowed = this->admitted->route->max_attempts;
    return this->forwarded ? std::min(allowed, this->forwarded->attempts_left) : allowed;
}

void RequestExchange::log_forwarding(Membership::BoxRecord const& box, Attempt const& attempt) const
{
    auto const now = monotonic_now();
    auto const result = to_string(this->last_end);
    this->state.metrics.count_forwarded_request(result);
    Log::EventLine line("request_forwarded");
    line.with("id", this->attempt_id)
        .with("route", this->admitted->route->name)
        .with("to_box", box.name)
        .with("failure_domain", box.failure_domain)
        .with("result", result)
        .with("status", attempt.status)
        .with("reused_connection", attempt.reused_connection ? "yes" : "no")
        .with("left_ms", Core::to_milliseconds(this->admitted->expires - now))
        .with("took_ms", Core::to_milliseconds(now - attempt.started));
    this->add_excess(attempt, line);
    if (!attempt.detail.empty())
        line.with("detail", attempt.detail);
    line.info();
}

}
