// What RequestExchange does after an attempt: decides on a retry, and detects requests that crash endpoints.

#include <LibGateway/RequestExchange.h>

#include <LibGateway/HttpStatus.h>

#include <algorithm>

namespace Gateway {

using Core::monotonic_now;
using Core::Reason;

namespace {

/// While this holds, a check of an endpoint tells nothing, and every broken connection would open more of them. The
/// refusal of a single endpoint is taken for its own.
bool is_cut_off_from_several(GatewayState const& state)
{
    return state.reachability.is_cut_off() && state.router.endpoint_count() > 1;
}

}

Reason RequestExchange::retry_reason(AttemptEnd end) const
{
    if (this->was_endpoint_silent)
        return Reason::EndpointSilent;
    switch (end) {
    case AttemptEnd::NotSent:
        return Reason::RetryConnectionRefused;
    case AttemptEnd::NotRun:
        return Reason::EndpointFull;
    case AttemptEnd::Interrupted:
        return Reason::StreamResumed;
    default:
        return Reason::RetryAttemptFailed;
    }
}

Reason RequestExchange::reason_for_giving_up() const
{
    if (this->has_client_left)
        return Reason::CallerGone;
    if (this->has_expired)
        return this->admitted->expiry;
    if (this->crashes_endpoints)
        return Reason::RequestCrashesEndpoints;
    if (this->sent_attempts >= this->max_attempts())
        return Reason::AttemptsSpent;
    if (this->last_end == AttemptEnd::Unknown && !this->admitted->route->is_repeatable())
        return Reason::RetryNotAllowed;
    return Reason::RetryBudgetSpent;
}

bool RequestExchange::may_try_again(AttemptEnd end)
{
    // NOTE: Must come first: the last attempt may not have run, but an earlier one may have.
    if (this->may_have_run && !this->admitted->route->is_repeatable())
        return false;
    if (end == AttemptEnd::NotSent)
        return this->unsent_attempts <= max_unsent_attempts;
    if (end == AttemptEnd::BrokenAfterDelivery)
        return false;
    // NOTE: may_retry_failure has already spent from the retry budget.
    if (end == AttemptEnd::EndpointError)
        return true;
    return this->sent_attempts < this->max_attempts() && this->state.router.may_retry(*this->admitted, monotonic_now());
}

bool RequestExchange::may_retry_failure()
{
    return !this->has_client_left && this->admitted->route->is_repeatable()
        && this->sent_attempts < this->max_attempts() && this->state.router.may_retry(*this->admitted, monotonic_now());
}

Task<EndpointCheckResult> RequestExchange::check_broken_connection(
    Attempt attempt, bool was_in_use, Core::Duration watch_duration)
{
    if (is_cut_off_from_several(this->state)) {
        this->log_broken_connection(attempt, EndpointCheckResult::Unknown);
        co_return EndpointCheckResult::Unknown;
    }
    auto const& placed = attempt.placed;
    auto check_result
        = co_await check_endpoint(this->state, placed.choice.endpoint, placed.endpoint.address, watch_duration);
    // NOTE: While this box is cut off, every endpoint refuses its connections, and none of them has crashed.
    if (check_result == EndpointCheckResult::Refuses
        && !co_await this->state.reachability.is_own_refusal(placed.choice.endpoint))
        check_result = EndpointCheckResult::Unknown;
    this->log_broken_connection(attempt, check_result);
    if (check_result == EndpointCheckResult::Refuses)
        this->state.router.endpoint_ended(Routing::instance_of(placed.endpoint), monotonic_now());
    if (was_in_use && check_result == EndpointCheckResult::Refuses) {
        for (auto const& report : Routing::CrashLedger::reports_of(
                 this->suspects, attempt.known_crashes, Routing::instance_of(placed.endpoint)))
            this->state.crash_exchange.report_crash(report);
    }
    co_return check_result;
}

Task<void> RequestExchange::check_until_known(Attempt attempt, bool was_in_use)
{
    auto pause = first_repeated_check_pause;
    for (int check = 0; check < max_repeated_checks; ++check) {
        auto const check_result = co_await this->check_broken_connection(attempt, was_in_use, ending_watch);
        if (check_result != EndpointCheckResult::Unknown || is_cut_off_from_several(this->state))
            co_return;
        co_await sleep_for(pause);
        pause *= 2;
    }
}

void RequestExchange::check_broken_connection_in_background(Attempt const& attempt)
{
    if (!attempt.connection_broke)
        return;
    this->checks_connection = true;
    // NOTE: Not awaited, so that the answer to the client isn't delayed.
    asio::co_spawn(
        this->state.context,
        [self = this->shared_from_this(), attempt, was_in_use = this->is_in_use(attempt)]() -> Task<void> {
            co_await self->check_until_known(attempt, was_in_use);
            self->end_probe();
        },
        asio::detached);
}

Task<bool> RequestExchange::has_crashed_again(Attempt const& attempt)
{
    if (!attempt.connection_broke)
        co_return false;
    bool const was_in_use = this->is_in_use(attempt);
    // NOTE: Awaited before the next endpoint is chosen, which costs a round trip. Otherwise a repeatable request that
    // crashes endpoints would crash two of them each time a client sends it.
    auto const watch_duration = this->state.reachability.confirmation_time();
    auto const check_result = co_await this->check_broken_connection(attempt, was_in_use, watch_duration);
    if (check_result != EndpointCheckResult::Refuses)
        asio::co_spawn(
            this->state.context,
            [self = this->shared_from_this(), attempt, was_in_use]() -> Task<void> {
                co_await self->check_until_known(attempt, was_in_use);
            },
            asio::detached);
    bool const has_crashed = was_in_use && check_result == EndpointCheckResult::Refuses;
    this->crashes_endpoints = has_crashed && attempt.known_crashes.front() > 0;
    co_return this->crashes_endpoints;
}

bool RequestExchange::is_in_use(Attempt const& attempt) const
{
    // NOTE: A draining endpoint exits as planned, so a connection it breaks is no sign of a crash.
    return this->state.router.may_receive(attempt.placed.choice.endpoint, monotonic_now());
}

void RequestExchange::begin_probe(std::vector<Routing::CrashSuspect> const& suspects)
{
    for (auto const& suspect : suspects) {
        if (std::ranges::find(this->probed, suspect) != this->probed.end())
            continue;
        this->probed.push_back(suspect);
        this->state.crash_exchange.probe_began(suspect);
    }
}

void RequestExchange::end_probe()
{
    for (auto const& suspect : std::exchange(this->probed, {}))
        this->state.crash_exchange.probe_ended(suspect);
}

void RequestExchange::follow_answer(Attempt& attempt)
{
    // NOTE: The box that sent the request to an endpoint reports on it.
    if (attempt.placed.endpoint.incarnation.empty() || attempt.is_beyond_beginning)
        return;
    auto const now = monotonic_now();
    if (!attempt.answer_began)
        attempt.answer_began = now;
    attempt.is_beyond_beginning = now - *attempt.answer_began >= answer_beginning;
    if (attempt.is_beyond_beginning)
        this->report_harmless_parts(*attempt.answer_began);
}

void RequestExchange::report_harmless_parts(Core::Instant answer_began)
{
    for (auto const& part : this->state.crash_exchange.report_harmless_parts(this->suspects, answer_began)) {
        if (std::erase(this->probed, part) > 0)
            this->state.crash_exchange.probe_ended(part);
    }
}

void RequestExchange::report_run(Attempt const& attempt, AttemptEnd end)
{
    constexpr unsigned first_no_success = 300;
    // NOTE: A plain service may have run the request before its connection broke. An engine that sent no token has not.
    bool const has_run = end == AttemptEnd::EndpointError || (end == AttemptEnd::Unknown && !this->admitted->is_engine);
    if (has_run)
        this->count_started(attempt.started);
    if (attempt.status != 0)
        this->state.crash_exchange.endpoint_answered(
            Routing::instance_of(attempt.placed.endpoint), { attempt.connection_opened, attempt.started });
    bool const ended_well
        = end == AttemptEnd::Delivered && attempt.status >= status_ok && attempt.status < first_no_success;
    if (!ended_well)
        return;
    this->state.crash_exchange.report_success(this->suspects.request);
    this->report_harmless_parts(attempt.answer_began.value_or(attempt.started));
}

void RequestExchange::count_started(Core::Instant at)
{
    if (!std::exchange(this->is_counted, true))
        this->state.count_started_request(this->admitted->account, at);
}

}
