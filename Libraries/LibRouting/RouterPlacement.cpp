// How RequestRouter admits a request and chooses its endpoint, or refuses it.

#include <LibRouting/RequestRouter.h>

#include <algorithm>
#include <cmath>

namespace Routing {

unsigned urgency_of(Route const& route, ClientAccount const* account)
{
    /// Priorities of routes and of accounts that are distinguished; endpoints distinguish ten ranks.
    constexpr unsigned distinct_priorities = 3;
    /// Accounts without a priority rank between the others.
    constexpr unsigned default_priority = 1;
    auto const of_account = account ? account->priority.value_or(default_priority) : default_priority;
    return std::min(route.priority, distinct_priorities - 1) * distinct_priorities
        + std::min(of_account, distinct_priorities - 1);
}

std::variant<Admitted, Rejected> RequestRouter::admit(RequestHead const& head, Instant now)
{
    auto configuration = this->configuration();
    if (!configuration)
        return Rejected { Reason::ConfigurationMissing, retry_after_start };
    auto const* const route = configuration->find_route(head.host, head.target);
    if (auto const refusal = this->refuse_by_lease(route, now))
        return *refusal;
    if (!route)
        return this->refuse_unknown(Reason::RouteUnknown, now);
    Admitted admitted;
    ClientAccount const* account = nullptr;
    if (configuration->needs_keys() && !route->is_public) {
        account = configuration->find_account(head.api_key);
        if (!account)
            return this->refuse_unknown(Reason::KeyUnknown, now);
        admitted.account = account->name;
        admitted.account_settings = account;
    }
    admitted.urgency = urgency_of(*route, account);
    admitted.route = route;
    admitted.arrived = now;
    bool const timeout_is_first
        = !head.patience || (route->timeout > Duration { 0 } && route->timeout < *head.patience);
    admitted.expires = now + (timeout_is_first ? route->timeout : *head.patience);
    admitted.expiry = timeout_is_first ? Reason::RouteTimeoutPassed : Reason::DeadlinePassed;
    std::scoped_lock const guard(this->endpoints_lock);
    admitted.id = RequestId { this->next_request++ };
    admitted.service = this->service_for(head, *route);
    auto const* const service = configuration->find_service(admitted.service);
    admitted.is_engine = service != nullptr && service->engine.has_value();
    bool const is_counted_elsewhere = head.assigned_service.has_value();
    if (!is_counted_elsewhere)
        this->budget_of(admitted.service).request_sent(now);
    if (admitted.is_engine && !is_counted_elsewhere)
        this->demands[admitted.service].add(head.workload, now);
    admitted.configuration = std::move(configuration);
    if (!is_counted_elsewhere && counts_account(admitted))
        this->account_shares[admitted.service].add_requested(
            account_key(admitted.account), engine_work(head.workload), now);
    return admitted;
}

std::variant<Placed, Rejected> RequestRouter::place(
    Admitted const& request, Workload const& workload, std::vector<EndpointId> const& tried, Instant now)
{
    if (auto const refusal = this->refuse_by_lease(request.route, now))
        return *refusal;
    if (now >= request.expires)
        return Rejected { request.expiry, {} };
    std::scoped_lock const guard(this->endpoints_lock);
    auto const choices = this->choices(request, tried, now);
    auto const& candidates = choices.best();
    auto const for_answers
        = request.is_engine ? this->demands[request.service].engines_for_answers(candidates.usual.size(), now) : 0;
    bool const is_least_urgent
        = request.configuration->less_urgent_routes(request.service, request.route->priority).priorities == 0;
    PlacementQuery const query { workload, request.is_engine, for_answers, this->settings.failure_domain, now,
        request.is_engine ? this->speeds[request.service].speed() : EngineSpeed {},
        request.is_engine ? this->slot_times[request.service] : SlotTimeEstimate {},
        is_least_urgent ? SlotRank::LeastUrgent : SlotRank::Preempts, this->compared_share, this->random() };
    auto const choice = choose_endpoint(candidates, this->loads, query, this->settings.placement);
    if (!choice)
        return this->refuse_unplaced(request, choices, !tried.empty(), now);
    if (request.is_engine && tried.empty()) {
        if (auto const refusal = this->refuse_by_wait(request, *choice, now))
            return *refusal;
        if (counts_account(request))
            this->account_shares[request.service].add_admitted(
                account_key(request.account), engine_work(workload), now);
    }
    Placed placed { *choice, this->directory.find(choice->endpoint)->record };
    placed.is_entry_outdated = this->ended.is_entry_outdated(choice->endpoint, this->notices.list_confirmations());
    if (placed.is_entry_outdated)
        placed.endpoint.version.clear();
    placed.limit = this->notices.limit_of(choice->endpoint);
    placed.cold_limit = this->cold_limit_of(request);
    auto const& endpoint = *this->directory.find(choice->endpoint);
    placed.brittle = this->brittle_placement(endpoint, now);
    placed.is_counted_by_limit = this->count_send(endpoint, placed.cold_limit, now);
    placed.at_limit = choices.at_limit.size();
    placed.backed_off = choices.backed_off.size();
    this->backoffs.endpoint_chosen(choice->endpoint, now);
    return placed;
}

PlacementCandidates const& RequestRouter::Choices::best() const
{
    // NOTE: If no endpoint is considered healthy, the estimate may be wrong, and trying one costs less than refusing.
    bool const is_any_healthy = !this->healthy.usual.empty() || !this->healthy.limited.empty();
    return is_any_healthy ? this->healthy : this->unhealthy;
}

RequestRouter::Choices RequestRouter::choices(
    Admitted const& request, std::vector<EndpointId> const& tried, Instant now)
{
    Choices choices;
    auto const rank = request.route->priority == 0 ? SendPriority::High : SendPriority::Low;
    auto const limit_if_cold = this->cold_limit_of(request);
    for (auto const* const endpoint : this->usable(request.service, now)) {
        auto const id = endpoint->id;
        if (std::ranges::find(tried, id) != tried.end())
            continue;
        if (!this->is_region_allowed(request, endpoint->record.failure_domain)) {
            choices.has_other_regions = true;
            continue;
        }
        if (request.stream_version && !this->may_continue(*request.stream_version, *endpoint)) {
            choices.has_other_versions = true;
            continue;
        }
        if (!this->backoffs.may_be_chosen(id, now)) {
            choices.backed_off.push_back(id);
            continue;
        }
        auto const room = this->room_at(*endpoint, now);
        if (!this->may_send_now(*endpoint, room, limit_if_cold, rank, now)) {
            choices.at_limit.push_back(id);
            continue;
        }
        auto const found = this->loads.find(id);
        bool const is_healthy = found == this->loads.end() || found->second.takes_work(now);
        bool const is_limited
            = this->notices.limit_of(id).per_second.has_value() || (limit_if_cold && this->cold.is_cold(id, now));
        auto& candidates = is_healthy ? choices.healthy : choices.unhealthy;
        (is_limited ? candidates.limited : candidates.usual).push_back(endpoint);
    }
    return choices;
}

bool RequestRouter::may_continue(std::string const& version, KnownEndpoint const& endpoint) const
{
    return endpoint.record.version == version
        && !this->ended.is_entry_outdated(endpoint.id, this->notices.list_confirmations());
}

Rejected RequestRouter::refuse_unplaced(Admitted const& request, Choices const& choices, bool was_tried, Instant now)
{
    auto const jitter = std::ldexp(static_cast<double>(this->random()), -32);
    if (!choices.at_limit.empty()) {
        auto const limit_if_cold = this->cold_limit_of(request);
        Duration longest_slot { 0 };
        for (auto const id : choices.at_limit) {
            auto const limit = this->notices.limit_of(id).per_second;
            for (auto const& per_second :
                { limit, limit ? std::nullopt : limit_if_cold, this->brittle_limit_of(id, now) }) {
                if (per_second)
                    longest_slot = std::max(longest_slot, RateSchedule(*per_second).slot_length());
            }
        }
        return { Reason::EndpointsAtLimit, retry_after_limit(longest_slot, request.route->priority, jitter) };
    }
    if (!choices.backed_off.empty()) {
        auto first = Instant::max();
        for (auto const id : choices.backed_off)
            first = std::min(first, this->backoffs.available_at(id));
        return { Reason::EndpointsBackedOff, retry_after_backoff(first - now, request.route->priority, jitter) };
    }
    return { this->reason_for_no_endpoint(request, choices, now), was_tried ? retry_after_full : retry_after_gap };
}

Reason RequestRouter::reason_for_no_endpoint(Admitted const& request, Choices const& choices, Instant now) const
{
    if (choices.has_other_regions)
        return Reason::NoEndpointInRegion;
    if (choices.has_other_versions)
        return Reason::NoEndpointOfVersion;
    auto const endpoints = this->directory.usable(request.service, now);
    bool const is_evacuated = std::ranges::any_of(endpoints, [this](KnownEndpoint const* endpoint) {
        return this->evacuated_domains.contains(endpoint->record.failure_domain);
    });
    return is_evacuated ? Reason::EndpointsEvacuated : Reason::NoEndpoint;
}

bool RequestRouter::is_region_allowed(Admitted const& request, std::string const& failure_domain) const
{
    auto const region = this->settings.domain_regions.find(failure_domain);
    auto const is_in = [&](std::vector<std::string> const& regions) {
        return regions.empty()
            || (region != this->settings.domain_regions.end()
                && std::ranges::find(regions, region->second) != regions.end());
    };
    return is_in(request.route->allowed_regions)
        && (request.account_settings == nullptr || is_in(request.account_settings->allowed_regions));
}

bool RequestRouter::restrict_to_origin(Admitted& request, StreamOrigin const& origin)
{
    auto const& services = request.route->services;
    if (std::ranges::find(services, origin.service, &ServiceShare::service) == services.end())
        return false;
    auto const* const service = request.configuration->find_service(origin.service);
    request.service = origin.service;
    request.is_engine = service != nullptr && service->engine.has_value();
    request.stream_version = origin.version;
    return true;
}

std::optional<std::string> RequestRouter::only_version(std::string const& service, Instant since, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (!this->notices.list_confirmations().is_recent(this->settings.max_list_age, now))
        return {};
    std::optional<std::string> version;
    for (auto const& [incarnation, endpoint] : this->directory.all()) {
        if (endpoint.record.service != service)
            continue;
        if (version && *version != endpoint.record.version)
            return {};
        version = endpoint.record.version;
    }
    // NOTE: A stream may have begun at an endpoint that has left since.
    if (version && this->versions.was_other_listed(service, *version, since))
        return {};
    return version;
}

bool RequestRouter::may_pass_through(Admitted const& request, std::string const& failure_domain) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->is_region_allowed(request, failure_domain);
}

std::optional<Rejected> RequestRouter::refuse_by_lease(Route const* route, Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    if (this->lease.freshness(now) != ConfigurationFreshness::Expired)
        return {};
    // NOTE: While the store can't be reached, public routes are served, since no key is needed. A known newer version
    // stops them too: it may have removed the route or moved it to another service.
    bool const needs_key = this->lease.current()->needs_keys() && !(route != nullptr && route->is_public);
    if (!needs_key && !this->lease.is_superseded())
        return {};
    return Rejected { Reason::ConfigurationExpired, retry_after_gap };
}

Duration RequestRouter::predicted_wait(PlacementChoice const& choice)
{
    auto const& figures = choice.figures;
    return Core::from_seconds(
        (figures.backlog_milliseconds + figures.slot_wait_milliseconds) / milliseconds_per_second);
}

std::optional<Rejected> RequestRouter::refuse_by_wait(
    Admitted const& request, PlacementChoice const& choice, Instant now)
{
    auto const wait = predicted_wait(choice);
    auto const own_limit = max_wait(request.route->goal, choice.prefill);
    if (!own_limit || wait <= Duration { 0 })
        return {};
    // NOTE: Engines process urgent requests first, so these wait less than predicted. And no urgent request may be
    // refused while a less urgent one with a longer goal is still accepted.
    auto const goal = request.configuration->longest_goal(request.service, request.route->priority);
    auto const standing = this->standing_of(request, now);
    auto const less_urgent = request.configuration->less_urgent_routes(request.service, request.route->priority);
    // NOTE: In a lasting overload the queue stays near the limit of short prompts, where long ones would hardly ever be
    // admitted. Since shares limit what an account can send, its long prompts may wait nearly as long.
    bool const counts_prefill_half
        = counts_account(request) && (!standing.is_over_share() || less_urgent.priorities > 0);
    auto const limit = max_wait(goal, counts_prefill_half ? choice.prefill / 2 : choice.prefill);
    if (wait <= *limit)
        return this->refuse_by_share(request, wait, *limit, standing);
    // NOTE: While an account floods the service with urgent requests, its requests and those of the others would be
    // refused alike at this limit. So the others may wait a little longer, the more urgent ones longer than any less
    // urgent one.
    if (standing.is_flooded && less_urgent.priorities > 0) {
        auto const longest = request.configuration->longest_goal(request.service, 0);
        auto const steps = static_cast<double>(less_urgent.priorities - 1) + standing.limit_factor;
        if (wait <= *limit + urgent_headroom(longest, steps))
            return {};
    }
    auto const jitter = std::ldexp(static_cast<double>(this->random()), -32);
    return Rejected { Reason::BacklogTooLong, retry_after_backlog(wait, *limit, jitter) };
}

std::optional<Rejected> RequestRouter::refuse_by_share(
    Admitted const& request, Duration wait, Duration limit, AccountStanding const& standing)
{
    auto const less_urgent = request.configuration->less_urgent_routes(request.service, request.route->priority);
    if (!standing.is_over_share() || less_urgent.has_unlimited)
        return {};
    // NOTE: While a less urgent request may still be admitted, an urgent one is not refused for its account's share.
    // The less urgent one is assumed to have its prompt cached, which allows the longest wait.
    auto const less_urgent_limit = max_wait(less_urgent.longest_goal, Duration { 0 }).value_or(Duration { 0 });
    auto const scaled = Core::from_seconds(Core::to_seconds(limit) * standing.limit_factor);
    auto const limit_by_share = std::max(scaled, less_urgent_limit);
    if (wait <= limit_by_share)
        return {};
    auto const jitter = std::ldexp(static_cast<double>(this->random()), -32);
    return Rejected { Reason::AccountOverShare, retry_after_backlog(wait, limit_by_share, jitter), standing };
}

bool RequestRouter::counts_account(Admitted const& request)
{
    constexpr std::size_t min_accounts = 2;
    return request.is_engine && request.account_settings != nullptr
        && request.configuration->account_count() >= min_accounts;
}

AccountStanding RequestRouter::standing_of(Admitted const& request, Instant now)
{
    if (!counts_account(request))
        return {};
    return this->account_shares[request.service].standing(
        account_key(request.account), request.configuration->account_count(), now);
}

Rejected RequestRouter::refuse_unknown(Reason reason, Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    // NOTE: A newer configuration may contain the route or the key, so a permanent refusal needs a fresh configuration.
    if (this->lease.freshness(now) == ConfigurationFreshness::Fresh)
        return { reason, {} };
    return { Reason::ConfigurationAging, retry_after_gap };
}

std::string RequestRouter::service_for(RequestHead const& head, Route const& route)
{
    if (head.assigned_service
        && std::ranges::find(route.services, *head.assigned_service, &ServiceShare::service) != route.services.end())
        return *head.assigned_service;
    return this->draw_service(route);
}

std::string const& RequestRouter::draw_service(Route const& route)
{
    static std::string const none;
    if (route.services.empty())
        return none;
    double total = 0;
    for (auto const& share : route.services)
        total += share.weight;
    auto const drawn = std::ldexp(static_cast<double>(this->random()), -32) * total;
    double passed = 0;
    for (auto const& share : route.services) {
        passed += share.weight;
        if (drawn < passed)
            return share.service;
    }
    return route.services.back().service;
}

}
