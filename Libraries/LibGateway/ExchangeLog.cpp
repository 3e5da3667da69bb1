// How RequestExchange reports attempts and results to the router, the metrics and the log.

#include <LibGateway/RequestExchange.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <fmt/format.h>

namespace Gateway {

using Core::monotonic_now;
using Routing::AttemptResult;

namespace {

std::string_view yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

/// The ids of the parts in hexadecimal, separated by commas.
std::string list_of(std::vector<Routing::PromptPart> const& parts)
{
    std::string list;
    for (auto const& part : parts)
        list += fmt::format("{}{:x}", list.empty() ? "" : ",", part.id);
    return list;
}

}

std::string_view to_string(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
        return "delivered";
    case AttemptEnd::BrokenAfterDelivery:
        return "broken-after-delivery";
    case AttemptEnd::Interrupted:
        return "interrupted";
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
    case AttemptEnd::Interrupted:
        return AttemptResult::BrokenAfterDelivery;
    case AttemptEnd::BrokenAfterDelivery:
        return this->is_cancelled() ? AttemptResult::CallerGone : AttemptResult::BrokenAfterDelivery;
    case AttemptEnd::Unknown:
        return this->has_client_left ? AttemptResult::CallerGone : AttemptResult::Failed;
    }
    return AttemptResult::Failed;
}

std::string_view RequestExchange::cancellation_cause(AttemptEnd end) const
{
    if (end == AttemptEnd::Delivered || end == AttemptEnd::NotRun || end == AttemptEnd::EndpointError)
        return {};
    if (this->has_client_left)
        return "client";
    if (this->has_expired)
        return "time";
    // NOTE: The flag belongs to the last attempt that was sent.
    return this->was_endpoint_silent && end != AttemptEnd::NotSent ? "silence" : std::string_view();
}

void RequestExchange::record_attempt(Attempt const& attempt, AttemptEnd end, Core::Instant now)
{
    this->state.router.attempt_ended(
        this->admitted->id, attempt.placed.choice.endpoint, this->result_of(attempt, end), now);
    this->state.metrics.count_attempt(to_string(end));
    Log::EventLine line("attempt_ended");
    line.with("id", this->attempt_id)
        .with("endpoint", attempt.placed.endpoint.incarnation)
        .with("result", to_string(end))
        .with("status", attempt.status)
        .with("reused_connection", yes_or_no(attempt.reused_connection))
        .with("took_ms", Core::to_milliseconds(now - attempt.started));
    if (auto const cause = this->cancellation_cause(end); !cause.empty())
        line.with("cancelled_by", cause);
    if (attempt.body_end)
        line.with("body_ends_with", to_string(*attempt.body_end));
    this->add_excess(attempt, line);
    if (this->is_event_stream)
        line.with("inside_event", yes_or_no(this->events.is_inside_event()));
    if (attempt.reported_rate_limit)
        line.with("told_limit_per_s", *attempt.reported_rate_limit);
    if (attempt.reported_max_rejections)
        line.with("told_max_rejections_per_s", *attempt.reported_max_rejections);
    if (attempt.reported_draining)
        line.with("told_draining", "yes");
    if (attempt.reported_backoff)
        line.with("told_retry_after_s", Core::to_seconds(*attempt.reported_backoff));
    if (attempt.reported_load && attempt.reported_load->work_time_percent)
        line.with("told_work_time_percent", *attempt.reported_load->work_time_percent);
    if (!attempt.unreadable_load.empty())
        line.with("unreadable_load", attempt.unreadable_load);
    if (!attempt.detail.empty())
        line.with("detail", attempt.detail);
    line.info();
}

void RequestExchange::add_excess(Attempt const& attempt, Log::EventLine& line) const
{
    if (attempt.excess == AnswerExcess::None)
        return;
    this->state.metrics.count_answer_excess(to_string(attempt.excess));
    line.with("exceeded_limit_of", to_string(attempt.excess));
}

void RequestExchange::log_broken_connection(Attempt const& attempt, EndpointCheckResult check_result) const
{
    this->state.metrics.count_broken_connection(to_string(check_result));
    Log::EventLine("broken_connection_checked")
        .with("id", this->attempt_id)
        .with("fingerprint", Routing::to_string(this->suspects.request))
        .with("endpoint", attempt.placed.endpoint.incarnation)
        .with("run_began_ms_ago", Core::to_milliseconds(Core::monotonic_now() - attempt.started))
        .with("endpoint_now", to_string(check_result))
        .with("prompt_parts", list_of(this->workload.prompt))
        .info();
}

void RequestExchange::log_refused_suspect(Routing::RequestCrashes const& crashes) const
{
    Log::EventLine("crash_suspect_refused")
        .with("id", this->attempt_id)
        .with("fingerprint", Routing::to_string(crashes.refused_suspect))
        .with("refused_for_s", Core::to_seconds(*crashes.refused_for))
        .info();
}

void RequestExchange::log_placement(Attempt const& attempt) const
{
    auto const& figures = attempt.placed.choice.figures;
    Log::EventLine line("request_placed");
    line.with("id", this->attempt_id)
        .with("route", this->admitted->route->name)
        .with("account", this->admitted->account)
        .with("fingerprint", Routing::to_string(this->suspects.request))
        .with("urgency", this->admitted->urgency)
        .with("configuration", this->admitted->configuration->version())
        .with("configuration_age_ms", Core::to_milliseconds(this->state.router.configuration_age(attempt.started)))
        .with("endpoint", attempt.placed.endpoint.incarnation)
        .with("version", attempt.placed.endpoint.version)
        .with("attempt", this->sent_attempts + 1)
        .with("candidates", figures.candidates)
        .with("predicted_ms", figures.predicted_milliseconds)
        .with("backlog_ms", figures.backlog_milliseconds)
        .with("slot_wait_ms", figures.slot_wait_milliseconds)
        .with("tokens_to_read", figures.tokens_to_read)
        .with("running", figures.running)
        .with("reads_tokens_per_ms", figures.speed.prefill_tokens_per_millisecond)
        .with("step_ms", figures.speed.step_milliseconds)
        .with("work_time_factor", figures.pace)
        .with("subject", fmt::format("{:x}", figures.home_key))
        .with("home", yes_or_no(figures.is_home))
        .with("left_ms", Core::to_milliseconds(this->admitted->expires - attempt.started))
        .with("at_limit", attempt.placed.at_limit)
        .with("backed_off", attempt.placed.backed_off);
    if (attempt.placed.limit.per_second)
        line.with("limit_per_s", *attempt.placed.limit.per_second);
    if (auto const& brittle = attempt.placed.brittle)
        line.with("own_running", brittle->own_running)
            .with("own_slot", yes_or_no(brittle->has_own_slot))
            .with("brittle_limit_per_s", brittle->limit_per_second);
    if (this->client.is_box)
        line.with("from_box", "yes");
    if (this->takes_up_stream)
        line.with("takes_up", this->taken_up_attempt);
    if (this->answer_begun)
        line.with("goes_on_after", this->events.last_id().value_or(""));
    line.info();
}

void RequestExchange::note_unadmitted(Routing::RequestHead const& head)
{
    auto const configuration = this->state.router.configuration();
    auto const* const route = configuration ? configuration->find_route(head.host, head.target) : nullptr;
    if (route == nullptr)
        return;
    this->unadmitted_route = route->name;
    bool const is_public = !configuration->needs_keys() || route->is_public;
    auto const* const account = is_public ? nullptr : configuration->find_account(head.api_key);
    if (is_public || account != nullptr)
        this->unadmitted_account = account != nullptr ? account->name : std::string();
}

void RequestExchange::log_end(unsigned status, Core::Reason reason) const
{
    auto const taken = monotonic_now() - this->arrived;
    auto const route = this->admitted ? this->admitted->route->name : std::string("none");
    this->state.metrics.count_request(route, this->has_client_left ? 0 : status);
    this->state.metrics.observe_answer(route, taken);
    Log::EventLine line("request_ended");
    line.with("id", this->attempt_id).with("route", this->unadmitted_route.value_or(route));
    if (this->unadmitted_account)
        line.with("account", *this->unadmitted_account);
    if (this->admitted)
        line.with("account", this->admitted->account).with("fingerprint", Routing::to_string(this->suspects.request));
    if (this->admitted && this->admitted->route->goal > Core::Duration { 0 })
        line.with("goal_ms", Core::to_milliseconds(this->admitted->route->goal));
    if (this->first_piece_after)
        line.with("first_byte_ms", Core::to_milliseconds(*this->first_piece_after));
    line.with("status", status).with("reason", Core::to_string(reason));
    if (this->standing)
        line.with("account_share", this->standing->share).with("fair_share", this->standing->fair_share);
    line.with("attempts", this->sent_attempts)
        .with("client_left", yes_or_no(this->has_client_left))
        .with("from_box", yes_or_no(this->client.is_box))
        .with("took_ms", Core::to_milliseconds(taken))
        .info();
}

}
