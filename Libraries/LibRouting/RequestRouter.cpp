#include <LibRouting/RequestRouter.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Routing {

namespace {

constexpr double milliseconds_per_second = 1000;

}

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

RequestRouter::RequestRouter(RouterSettings settings, std::uint64_t seed)
    : settings(std::move(settings))
    , lease(this->settings.lease)
    , random(seed)
{
}

void RequestRouter::set_settings(RouterSettings changed)
{
    std::scoped_lock const guard(this->configuration_lock, this->endpoints_lock);
    this->settings = std::move(changed);
    this->lease.set_bounds(this->settings.lease);
}

bool RequestRouter::offer_configuration(SharedConfiguration offered, std::optional<Instant> confirmed_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.offer(std::move(offered), confirmed_at);
}

void RequestRouter::confirm_configuration(Instant read_sent_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.confirm(read_sent_at);
}

void RequestRouter::note_configuration(std::uint64_t version, Instant notified_at, Instant known_since)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.note_version(version, notified_at, known_since);
}

void RequestRouter::note_overdue_configuration(std::uint64_t version, Instant notified_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.note_overdue_version(version, notified_at);
}

void RequestRouter::after_suspension(Instant now)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.after_suspension(now);
}

std::optional<Instant> RequestRouter::configuration_known_since() const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.known_since();
}

SharedConfiguration RequestRouter::configuration() const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.current();
}

ConfigurationFreshness RequestRouter::configuration_freshness(Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.freshness(now);
}

Duration RequestRouter::configuration_age(Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.age(now);
}

void RequestRouter::set_evacuated_domains(std::set<std::string> domains, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::set<std::string> ended;
    std::ranges::set_difference(this->evacuated_domains, domains, std::inserter(ended, ended.end()));
    this->evacuated_domains = std::move(domains);
    if (ended.empty())
        return;
    for (auto const& [incarnation, endpoint] : this->directory.all()) {
        if (ended.contains(endpoint.record.failure_domain))
            this->cold.assume_cold(endpoint, cold_after_evacuation, now);
    }
}

std::set<std::string> RequestRouter::evacuated() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->evacuated_domains;
}

bool RequestRouter::is_known_domain(std::string const& domain) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->settings.domain_regions.contains(domain);
}

bool RequestRouter::put_endpoint(EndpointRecord const& record, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    bool const has_changed = this->directory.put(record);
    this->forget_notices_of_moved();
    this->update_cold(record, now);
    return has_changed;
}

void RequestRouter::update_cold(EndpointRecord const& record, Instant now)
{
    if (auto const* const known = this->directory.find(record.incarnation))
        this->cold.update(*known, record.cold_left, now);
}

bool RequestRouter::is_earlier_instance(EndpointRecord const& record) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->directory.is_earlier_instance(record);
}

void RequestRouter::remove_endpoint(std::string const& incarnation, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->directory.remove(incarnation, now);
}

void RequestRouter::replace_endpoints(std::vector<EndpointRecord> const& records, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->directory.replace_all(records, now);
    this->forget_notices_of_moved();
    for (auto const& record : records)
        this->update_cold(record, now);
}

void RequestRouter::forget_endpoint(EndpointId id)
{
    this->notices.forget(id);
    this->backoffs.forget(id);
    this->cold.forget(id);
    this->brittle.forget(id);
}

void RequestRouter::forget_notices_of_moved()
{
    for (auto const id : this->directory.take_moved())
        this->forget_endpoint(id);
}

void RequestRouter::store_returned(Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->directory.store_returned(now);
}

std::vector<EndpointId> RequestRouter::expire_endpoints(Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->directory.expire(now);
    auto removed = this->directory.take_removed();
    for (auto const id : removed) {
        this->loads.erase(id);
        this->forget_endpoint(id);
    }
    return removed;
}

std::size_t RequestRouter::endpoint_count() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->directory.size();
}

std::vector<KnownEndpoint> RequestRouter::sample_endpoints(
    std::size_t count, std::vector<EndpointId> const& excluded, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::set<std::string> excluded_domains;
    for (auto const id : excluded) {
        if (auto const* const endpoint = this->directory.find(id))
            excluded_domains.insert(endpoint->record.failure_domain);
    }
    std::vector<KnownEndpoint const*> candidates;
    for (auto const& [incarnation, endpoint] : this->directory.all()) {
        if (this->is_usable(endpoint, now) && std::ranges::find(excluded, endpoint.id) == excluded.end())
            candidates.push_back(&endpoint);
    }
    std::ranges::shuffle(candidates, this->random);
    std::stable_partition(candidates.begin(), candidates.end(),
        [&](auto const* endpoint) { return !excluded_domains.contains(endpoint->record.failure_domain); });
    std::vector<KnownEndpoint> sample;
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index)
        sample.push_back(*candidates[index]);
    return sample;
}

std::size_t RequestRouter::usable_endpoints(std::string_view service, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->usable(service, now).size();
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
    PlacementQuery const query { workload, request.is_engine, for_answers, this->settings.failure_domain, now,
        request.is_engine ? this->speeds[request.service].speed() : EngineSpeed {}, this->compared_share,
        this->random() };
    auto const choice = choose_endpoint(candidates, this->loads, query, this->settings.placement);
    if (!choice)
        return this->refuse_unplaced(request, choices, !tried.empty(), now);
    if (request.is_engine && tried.empty()) {
        if (auto const refusal = this->refuse_by_wait(request, *choice))
            return *refusal;
    }
    Placed placed { *choice, this->directory.find(choice->endpoint)->record };
    placed.limit = this->notices.limit_of(choice->endpoint);
    placed.cold_limit = this->cold_limit_of(request);
    placed.is_counted_by_limit = this->count_send(choice->endpoint, placed.cold_limit, now);
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
        if (!this->backoffs.may_be_chosen(id, now)) {
            choices.backed_off.push_back(id);
            continue;
        }
        if (this->may_be_overrun(request, *endpoint, now) || !this->may_send_now(id, limit_if_cold, rank, now)) {
            choices.at_limit.push_back(id);
            continue;
        }
        auto const found = this->loads.find(id);
        bool const is_healthy = found == this->loads.end() || found->second.takes_work(now);
        bool const is_limited = this->notices.limit_of(id).per_second.has_value()
            || (limit_if_cold && this->cold.is_cold(id, now)) || this->brittle.limit_of(id, now).has_value();
        auto& candidates = is_healthy ? choices.healthy : choices.unhealthy;
        (is_limited ? candidates.limited : candidates.usual).push_back(endpoint);
    }
    return choices;
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
                { limit, limit ? std::nullopt : limit_if_cold, this->brittle.limit_of(id, now) }) {
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
    auto const endpoints = this->directory.usable(request.service, now);
    bool const is_evacuated = std::ranges::any_of(endpoints, [this](KnownEndpoint const* endpoint) {
        return this->evacuated_domains.contains(endpoint->record.failure_domain);
    });
    return is_evacuated ? Reason::EndpointsEvacuated : Reason::NoEndpoint;
}

std::optional<double> RequestRouter::cold_limit_of(Admitted const& request) const
{
    auto const* const service = request.configuration->find_service(request.service);
    if (service == nullptr || !service->cold_rate)
        return {};
    return cold_limit(*service->cold_rate, this->settings.cold);
}

SharedLimit RequestRouter::shared_limit(
    double per_second, std::string_view endpoint, SharedMicroseconds shared_now) const
{
    return { per_second, endpoint, this->notices.box_group(), shared_now };
}

std::optional<SharedLimit> RequestRouter::brittle_limit(EndpointId id, Instant now) const
{
    auto const per_second = this->brittle.limit_of(id, now);
    if (!per_second)
        return {};
    return this->shared_limit(*per_second, this->directory.find(id)->record.incarnation, this->shared_time(now));
}

bool RequestRouter::may_be_overrun(Admitted const& request, KnownEndpoint const& endpoint, Instant now) const
{
    if (!this->brittle.is_brittle(endpoint.id))
        return false;
    auto const load = this->loads.find(endpoint.id);
    if (load == this->loads.end())
        return false;
    // NOTE: A plain service ends requests faster than boxes report them to each other.
    auto const running
        = request.is_engine ? load->second.running(now) : static_cast<double>(load->second.own_running());
    return running >= endpoint.record.slots;
}

bool RequestRouter::may_send_now(EndpointId id, std::optional<double> limit_if_cold, SendPriority rank, Instant now)
{
    auto const shared_now = this->shared_time(now);
    if (!this->notices.may_send(id, rank, shared_now))
        return false;
    if (auto const limit = this->brittle_limit(id, now); limit && !this->brittle.may_send(id, *limit, rank))
        return false;
    if (!limit_if_cold)
        return true;
    auto const limit = this->shared_limit(*limit_if_cold, this->directory.find(id)->record.incarnation, shared_now);
    return this->cold.may_send(id, limit, rank, now);
}

bool RequestRouter::count_send(EndpointId id, std::optional<double> limit_if_cold, Instant now)
{
    auto const shared_now = this->shared_time(now);
    bool is_counted = this->notices.count_send(id, shared_now);
    if (auto const limit = this->brittle_limit(id, now)) {
        this->brittle.count_send(id, *limit);
        is_counted = true;
    }
    if (!limit_if_cold)
        return is_counted;
    auto const limit = this->shared_limit(*limit_if_cold, this->directory.find(id)->record.incarnation, shared_now);
    is_counted |= this->cold.count_send(id, limit, now);
    return is_counted;
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

bool RequestRouter::may_pass_through(Admitted const& request, std::string const& failure_domain) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->is_region_allowed(request, failure_domain);
}

std::vector<EndpointId> RequestRouter::endpoint_ids(std::vector<std::string> const& incarnations) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::vector<EndpointId> ids;
    for (auto const& incarnation : incarnations) {
        if (auto const* const endpoint = this->directory.find(incarnation))
            ids.push_back(endpoint->id);
    }
    return ids;
}

std::vector<std::string> RequestRouter::incarnations(std::vector<EndpointId> const& endpoints) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::vector<std::string> incarnations;
    for (auto const id : endpoints) {
        if (auto const* const endpoint = this->directory.find(id))
            incarnations.push_back(endpoint->record.incarnation);
    }
    return incarnations;
}

SharedMicroseconds RequestRouter::shared_time(Instant now) const
{
    return static_cast<SharedMicroseconds>((now.time_since_epoch() + this->shared_clock_ahead).count());
}

bool RequestRouter::may_send(Placed const& placed, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const id = placed.choice.endpoint;
    if (!this->is_usable(id, now) || this->backoffs.is_backed_off(id, now))
        return false;
    if (placed.is_counted_by_limit)
        return true;
    if (!this->may_send_now(id, placed.cold_limit, SendPriority::High, now))
        return false;
    static_cast<void>(this->count_send(id, placed.cold_limit, now));
    return true;
}

void RequestRouter::set_boxes(BoxGroup boxes)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.set_boxes(std::move(boxes));
}

void RequestRouter::set_shared_clock(Duration ahead)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->shared_clock_ahead = ahead;
}

RequestRouter::ReportEffect RequestRouter::record_answer(
    Placed const& placed, EndpointReport const& report, Instant sent_at, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const id = placed.choice.endpoint;
    // NOTE: An answer may arrive after its endpoint was removed, whose state must not be created again.
    if (this->directory.find(id) == nullptr)
        return {};
    if (report.took_request)
        this->backoffs.request_accepted(id, sent_at);
    this->brittle.apply_answer(id, report.max_rejections);
    std::optional<EndpointRejection> rejection;
    if (report.max_rejections && !report.took_request && this->brittle.rejected(id, *report.max_rejections, now))
        rejection = { instance_of(placed.endpoint), *report.max_rejections, now };
    bool const backoff_began = report.backoff && this->backoffs.start(id, *report.backoff, now);
    EndpointCondition const reported { report.limit.value_or(this->notices.limit_of(id)), report.is_draining };
    return { this->notices.apply_answer(id, instance_of(placed.endpoint), reported, sent_at, now), backoff_began,
        rejection };
}

bool RequestRouter::apply_rejection(EndpointRejection const& rejection)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(rejection.endpoint.incarnation);
    return known != nullptr && this->brittle.rejected(known->id, rejection.max_rejections, rejection.at);
}

bool RequestRouter::apply_notice(EndpointNotice const& notice, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(notice.endpoint.incarnation);
    if (known == nullptr)
        return false;
    auto const started_at = known->record.started_at;
    bool const is_other_instance
        = started_at != 0 && notice.endpoint.started_at != 0 && started_at != notice.endpoint.started_at;
    bool const is_of_earlier_process
        = known->predecessor_removed_at && notice.reported_at <= *known->predecessor_removed_at;
    return !is_other_instance && !is_of_earlier_process && this->notices.apply(known->id, notice, now);
}

void RequestRouter::confirm_endpoints(Instant confirmed_at)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.confirm_list(confirmed_at);
}

void RequestRouter::mark_endpoints_uncertain()
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.mark_list_uncertain();
}

bool RequestRouter::is_usable(EndpointId id, Instant now) const
{
    auto const* const known = this->directory.find(id);
    return known != nullptr && this->is_usable(*known, now);
}

bool RequestRouter::is_usable(KnownEndpoint const& endpoint, Instant now) const
{
    return this->directory.is_usable(endpoint, now) && !this->notices.is_draining(endpoint.id)
        && !this->evacuated_domains.contains(endpoint.record.failure_domain);
}

std::vector<KnownEndpoint const*> RequestRouter::usable(std::string_view service, Instant now) const
{
    auto endpoints = this->directory.usable(service, now);
    std::erase_if(endpoints, [this](KnownEndpoint const* endpoint) {
        return this->notices.is_draining(endpoint->id)
            || this->evacuated_domains.contains(endpoint->record.failure_domain);
    });
    return endpoints;
}

std::vector<EndpointNotice> RequestRouter::active_notices(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.active(now);
}

std::size_t RequestRouter::limited_endpoints() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.limited_count();
}

bool RequestRouter::may_receive(EndpointId endpoint, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->is_usable(endpoint, now);
}

bool RequestRouter::may_retry(Admitted const& request, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->budget_of(request.service).try_spend(this->notices.box_group(), now);
}

void RequestRouter::attempt_started(
    Admitted const& request, Workload const& workload, PlacementChoice const& choice, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (auto* const load = this->load_of(choice.endpoint))
        load->started(request.id, workload, { choice.prefill, choice.first_piece }, now);
}

void RequestRouter::attempt_answered(
    Admitted const& request, PlacementChoice const& choice, Duration taken, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (auto* const load = this->load_of(choice.endpoint))
        load->answered(request.id, request.is_engine ? taken - choice.first_piece : Duration { 0 }, now);
    if (request.is_engine && choice.figures.backlog_milliseconds < max_idle_backlog_milliseconds)
        this->speeds[request.service].add_first_piece(choice.figures.certain_tokens, Core::to_milliseconds(taken));
}

void RequestRouter::answer_progressed(Admitted const& request, double tokens, Duration taken)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->speeds[request.service].add_tokens(tokens, Core::to_milliseconds(taken));
}

void RequestRouter::attempt_ended(RequestId request, EndpointId endpoint, AttemptResult result, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto* const load = this->load_of(endpoint);
    if (load == nullptr)
        return;
    load->ended(request);
    switch (result) {
    case AttemptResult::Completed:
        return load->succeeded();
    case AttemptResult::EndpointBusy:
        return load->shed(now);
    case AttemptResult::ConnectionRefused:
    case AttemptResult::Failed:
    case AttemptResult::BrokenAfterDelivery:
        return load->failed(now);
    case AttemptResult::NotSent:
    case AttemptResult::CallerGone:
    case AttemptResult::Preempted:
        return;
    }
}

void RequestRouter::endpoint_replaced(EndpointId endpoint)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->directory.mark_replaced(endpoint);
}

void RequestRouter::update_reported_load(EndpointId endpoint, ReportedLoad const& reported, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (auto* const load = this->load_of(endpoint))
        load->update_reported_load(reported, now);
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

std::optional<Rejected> RequestRouter::refuse_by_wait(Admitted const& request, PlacementChoice const& choice)
{
    auto const wait = Core::from_seconds(choice.figures.backlog_milliseconds / milliseconds_per_second);
    auto const own_limit = max_wait(request.route->goal, choice.prefill);
    if (!own_limit || wait <= *own_limit)
        return {};
    // NOTE: Engines process urgent requests first, so these wait less than predicted. And no urgent request may be
    // refused while a less urgent one with a longer goal is still accepted.
    auto const goal = request.configuration->longest_goal(request.service, request.route->priority);
    auto const limit = max_wait(goal, choice.prefill);
    if (wait <= *limit)
        return {};
    auto const jitter = std::ldexp(static_cast<double>(this->random()), -32);
    return Rejected { Reason::BacklogTooLong, retry_after_backlog(wait, *limit, jitter) };
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

EndpointLoad* RequestRouter::load_of(EndpointId endpoint)
{
    // NOTE: Attempts may end after their endpoint was removed, whose load must not be created again.
    return this->directory.find(endpoint) == nullptr ? nullptr : &this->loads[endpoint];
}

RetryBudget& RequestRouter::budget_of(std::string const& service)
{
    return this->budgets.try_emplace(service, this->settings.retry).first->second;
}

std::map<std::string, WorkTotals> RequestRouter::work_totals(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::map<std::string, WorkTotals> totals;
    for (auto const& [service, demand] : this->demands)
        totals.emplace(service, demand.own_totals(now));
    return totals;
}

void RequestRouter::apply_totals_of_others(std::map<std::string, WorkTotals> const& totals, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto const& [service, of_others] : totals)
        this->demands[service].apply_totals_of_others(of_others, now);
}

std::map<std::string, double> RequestRouter::answer_shares(Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::map<std::string, double> shares;
    for (auto& [service, demand] : this->demands) {
        // NOTE: The division is computed here, since a relay may have no requests of its own that would trigger it.
        static_cast<void>(demand.engines_for_answers(this->usable(service, now).size(), now));
        if (auto const share = demand.answer_share())
            shares.emplace(service, *share);
    }
    return shares;
}

void RequestRouter::apply_answer_shares(std::map<std::string, double> const& shares, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto const& [service, share] : shares)
        this->demands[service].apply_relay_share(share, now);
}

std::optional<double> RequestRouter::engines_needed(std::string const& service, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const demand = this->demands.find(service);
    if (demand == this->demands.end())
        return {};
    auto const speed = this->speeds.find(service);
    auto const known = speed == this->speeds.end() ? EngineSpeed {} : speed->second.speed();
    return demand->second.tokens_per_second(now) / (known.prefill_tokens_per_millisecond * milliseconds_per_second);
}

std::vector<EndpointRecord> RequestRouter::usable_records(std::string_view service, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::vector<EndpointRecord> records;
    for (auto const* const endpoint : this->usable(service, now))
        records.push_back(endpoint->record);
    return records;
}

void RequestRouter::set_report_interval(Duration interval)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->compared_share
        = interval <= fresh_report_interval ? 1 : Core::to_seconds(fresh_report_interval) / Core::to_seconds(interval);
}

LoadReport RequestRouter::load_report(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    LoadReport report;
    for (auto const& [id, load] : this->loads) {
        auto const* const endpoint = load.own_running() == 0 ? nullptr : this->directory.find(id);
        if (endpoint != nullptr)
            report.endpoints.push_back(
                { endpoint->record.incarnation, load.own_backlog(), static_cast<unsigned>(load.own_running()) });
    }
    for (auto const& [service, demand] : this->demands) {
        auto const speed = this->speeds.find(service);
        if (speed != this->speeds.end())
            report.services.emplace(
                service, ServiceReport { speed->second.own_speed(), speed->second.samples(), demand.own_totals(now) });
    }
    return report;
}

void RequestRouter::apply_load_report(std::uint64_t box, LoadReport const& report, Instant at)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto& [id, load] : this->loads)
        load.forget_peer(box);
    for (auto const& share : report.endpoints) {
        if (auto const* const endpoint = this->directory.find(share.incarnation))
            this->loads[endpoint->id].apply_peer(box, share.backlog, share.running, at);
    }
    for (auto const& [service, reported] : report.services) {
        this->speeds[service].apply_peer(box, { reported.speed, reported.samples, at });
        this->demands[service].apply_peer(box, reported.work, at);
    }
}

}
