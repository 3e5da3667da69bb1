#include <LibRouting/RequestRouter.h>

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

constexpr double milliseconds_per_second = 1000;

}

unsigned urgency_of(Route const& route, ClientAccount const* account)
{
    /// Priorities of each kind that are told apart; endpoints know ten ranks.
    constexpr unsigned told_apart = 3;
    /// The rank of accounts that have none: between the others.
    constexpr unsigned usual_priority = 1;
    auto const of_account = account ? account->priority.value_or(usual_priority) : usual_priority;
    return std::min(route.priority, told_apart - 1) * told_apart + std::min(of_account, told_apart - 1);
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

bool RequestRouter::offer_configuration(SharedConfiguration offered, std::optional<Instant> vouched_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.offer(std::move(offered), vouched_at);
}

void RequestRouter::confirm_configuration(Instant asked_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.confirm(asked_at);
}

void RequestRouter::note_configuration(std::uint64_t version, Instant told_at, Instant known_since)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.note_version(version, told_at, known_since);
}

void RequestRouter::note_due_configuration(std::uint64_t version, Instant told_at)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.note_due_version(version, told_at);
}

void RequestRouter::woke(Instant now)
{
    std::scoped_lock const guard(this->configuration_lock);
    this->lease.woke(now);
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

ConfigurationTrust RequestRouter::trust(Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.trust(now);
}

Duration RequestRouter::configuration_age(Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    return this->lease.age(now);
}

bool RequestRouter::put_endpoint(EndpointRecord const& record)
{
    std::scoped_lock const guard(this->endpoints_lock);
    bool const has_changed = this->directory.put(record);
    this->forget_notices_of_moved();
    return has_changed;
}

bool RequestRouter::is_earlier_life(EndpointRecord const& record) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->directory.is_earlier_life(record);
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
}

void RequestRouter::forget_notices_of_moved()
{
    for (auto const id : this->directory.take_moved()) {
        this->notices.forget(id);
        this->backoffs.forget(id);
    }
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
        this->notices.forget(id);
        this->backoffs.forget(id);
    }
    return removed;
}

std::size_t RequestRouter::endpoint_count() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->directory.size();
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
    admitted.service = this->draw_service(*route);
    auto const* const service = configuration->find_service(admitted.service);
    admitted.is_engine = service != nullptr && service->engine.has_value();
    this->allowance_of(admitted.service).request_sent(now);
    if (admitted.is_engine)
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
    placed.is_counted_by_limit = this->notices.count_send(choice->endpoint, this->shared_time(now));
    placed.at_limit = choices.at_limit.size();
    placed.backed_off = choices.backed_off.size();
    this->backoffs.chosen(choice->endpoint, now);
    return placed;
}

PlacementCandidates const& RequestRouter::Choices::best() const
{
    // NOTE: When no endpoint is trusted the belief may be wrong, and trying one costs less than refusing.
    bool const is_any_trusted = !this->trusted.usual.empty() || !this->trusted.limited.empty();
    return is_any_trusted ? this->trusted : this->distrusted;
}

RequestRouter::Choices RequestRouter::choices(
    Admitted const& request, std::vector<EndpointId> const& tried, Instant now)
{
    Choices choices;
    auto const rank = request.route->priority == 0 ? SendRank::First : SendRank::Later;
    for (auto const id : this->usable(request.service, now)) {
        if (std::ranges::find(tried, id) != tried.end())
            continue;
        if (!this->backoffs.may_be_chosen(id, now)) {
            choices.backed_off.push_back(id);
            continue;
        }
        if (!this->notices.may_send(id, rank, this->shared_time(now))) {
            choices.at_limit.push_back(id);
            continue;
        }
        auto const found = this->loads.find(id);
        bool const is_trusted = found == this->loads.end() || found->second.takes_work(now);
        bool const is_limited = this->notices.limit_of(id).per_second.has_value();
        auto& candidates = is_trusted ? choices.trusted : choices.distrusted;
        (is_limited ? candidates.limited : candidates.usual).push_back(this->directory.find(id));
    }
    return choices;
}

Rejected RequestRouter::refuse_unplaced(Admitted const& request, Choices const& choices, bool was_tried, Instant now)
{
    auto const drawn = std::ldexp(static_cast<double>(this->random()), -32);
    if (!choices.at_limit.empty()) {
        Duration longest_slot { 0 };
        for (auto const id : choices.at_limit)
            longest_slot = std::max(longest_slot, RateSchedule(*this->notices.limit_of(id).per_second).slot_length());
        return { Reason::EndpointsAtLimit, come_back_after_limit(longest_slot, request.route->priority, drawn) };
    }
    if (!choices.backed_off.empty()) {
        auto first = Instant::max();
        for (auto const id : choices.backed_off)
            first = std::min(first, this->backoffs.free_at(id));
        return { Reason::EndpointsBackedOff, come_back_after_backoff(first - now, request.route->priority, drawn) };
    }
    return { Reason::NoEndpoint, was_tried ? come_back_when_full : come_back_after_gap };
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
    auto const shared_now = this->shared_time(now);
    if (placed.is_counted_by_limit)
        return true;
    if (!this->notices.may_send(id, SendRank::First, shared_now))
        return false;
    static_cast<void>(this->notices.count_send(id, shared_now));
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

RequestRouter::ReportEffect RequestRouter::note_answer(
    Placed const& placed, SelfReport const& report, Instant sent_at, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const id = placed.choice.endpoint;
    // NOTE: An answer may come after its endpoint was forgotten; what was known of it must not come back to life.
    if (this->directory.find(id) == nullptr)
        return {};
    if (report.took_request)
        this->backoffs.accepted(id, sent_at);
    bool const backoff_began = report.backoff && this->backoffs.asked(id, *report.backoff, now);
    EndpointCondition const told { report.limit.value_or(this->notices.limit_of(id)), report.is_draining };
    return { this->notices.answered(id, life_of(placed.endpoint), told, sent_at, now), backoff_began };
}

bool RequestRouter::take_notice(EndpointNotice const& notice, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(notice.endpoint.incarnation);
    if (known == nullptr)
        return false;
    auto const started_at = known->record.started_at;
    bool const is_other_life
        = started_at != 0 && notice.endpoint.started_at != 0 && started_at != notice.endpoint.started_at;
    bool const is_of_earlier_process = known->earlier_gone_at && notice.told_at <= *known->earlier_gone_at;
    return !is_other_life && !is_of_earlier_process && this->notices.take(known->id, notice, now);
}

void RequestRouter::endpoints_confirmed(Instant vouched_at)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.list_confirmed(vouched_at);
}

void RequestRouter::endpoints_in_doubt()
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.list_in_doubt();
}

bool RequestRouter::is_usable(EndpointId id, Instant now) const
{
    auto const* const known = this->directory.find(id);
    return known != nullptr && this->directory.is_usable(*known, now) && !this->notices.is_draining(id);
}

std::vector<EndpointId> RequestRouter::usable(std::string_view service, Instant now) const
{
    auto ids = this->directory.usable(service, now);
    std::erase_if(ids, [this](EndpointId id) { return this->notices.is_draining(id); });
    return ids;
}

std::vector<EndpointNotice> RequestRouter::notices_worth_telling(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.worth_telling(now);
}

std::size_t RequestRouter::limited_endpoints() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.limited();
}

bool RequestRouter::may_receive(EndpointId endpoint, Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->is_usable(endpoint, now);
}

bool RequestRouter::may_repeat(Admitted const& request, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->allowance_of(request.service).try_spend(now);
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
    if (request.is_engine && choice.figures.backlog_milliseconds < least_backlog_milliseconds)
        this->speeds[request.service].saw_first_piece(choice.figures.certain_tokens, Core::to_milliseconds(taken));
}

void RequestRouter::answer_went_on(Admitted const& request, double tokens, Duration taken)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->speeds[request.service].saw_tokens(tokens, Core::to_milliseconds(taken));
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

void RequestRouter::take_told_load(EndpointId endpoint, ToldLoad const& told, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (auto* const load = this->load_of(endpoint))
        load->take_told(told, now);
}

std::optional<Rejected> RequestRouter::refuse_by_lease(Route const* route, Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    if (this->lease.trust(now) != ConfigurationTrust::Expired)
        return {};
    // NOTE: Without a way to the store a public route is served, since nothing speaks against it. A newer version that
    // is known to exist does: it may have dropped the route, or moved it to another service.
    bool const needs_key = this->lease.current()->needs_keys() && !(route != nullptr && route->is_public);
    if (!needs_key && !this->lease.is_superseded())
        return {};
    return Rejected { Reason::ConfigurationExpired, come_back_after_gap };
}

std::optional<Rejected> RequestRouter::refuse_by_wait(Admitted const& request, PlacementChoice const& choice)
{
    auto const wait = Core::from_seconds(choice.figures.backlog_milliseconds / milliseconds_per_second);
    auto const own_limit = longest_wait(request.route->goal, choice.prefill);
    if (!own_limit || wait <= *own_limit)
        return {};
    // NOTE: Engines let urgent requests in first, so these wait less than predicted; and what is urgent must not be
    // refused while something less urgent, with a longer goal, is still taken.
    auto const goal = request.configuration->longest_goal(request.service, request.route->priority);
    auto const limit = longest_wait(goal, choice.prefill);
    if (wait <= *limit)
        return {};
    auto const drawn = std::ldexp(static_cast<double>(this->random()), -32);
    return Rejected { Reason::BacklogTooLong, come_back_after(wait, *limit, drawn) };
}

Rejected RequestRouter::refuse_unknown(Reason reason, Instant now) const
{
    std::scoped_lock const guard(this->configuration_lock);
    // NOTE: A newer configuration may know the route or the key, so a final answer needs a fresh one.
    if (this->lease.trust(now) == ConfigurationTrust::Fresh)
        return { reason, {} };
    return { Reason::ConfigurationAging, come_back_after_gap };
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
    // NOTE: Attempts may end after their endpoint was forgotten; its load must not come back to life.
    return this->directory.find(endpoint) == nullptr ? nullptr : &this->loads[endpoint];
}

RetryAllowance& RequestRouter::allowance_of(std::string const& service)
{
    return this->allowances.try_emplace(service, this->settings.retry).first->second;
}

std::map<std::string, WorkTotals> RequestRouter::work_totals(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::map<std::string, WorkTotals> totals;
    for (auto const& [service, demand] : this->demands)
        totals.emplace(service, demand.own_totals(now));
    return totals;
}

void RequestRouter::take_totals_of_others(std::map<std::string, WorkTotals> const& totals, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto const& [service, of_others] : totals)
        this->demands[service].take_totals_of_others(of_others, now);
}

std::map<std::string, double> RequestRouter::answer_shares(Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::map<std::string, double> shares;
    for (auto& [service, demand] : this->demands) {
        // NOTE: Decides anew, since a relay may have no requests of its own to do so.
        static_cast<void>(demand.engines_for_answers(this->usable(service, now).size(), now));
        if (auto const share = demand.share_given())
            shares.emplace(service, *share);
    }
    return shares;
}

void RequestRouter::take_answer_shares(std::map<std::string, double> const& shares, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto const& [service, share] : shares)
        this->demands[service].take_told_share(share, now);
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
    for (auto const id : this->usable(service, now))
        records.push_back(this->directory.find(id)->record);
    return records;
}

void RequestRouter::set_report_interval(Duration interval)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->compared_share = interval <= fresh_reports ? 1 : Core::to_seconds(fresh_reports) / Core::to_seconds(interval);
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

void RequestRouter::take_load_report(std::uint64_t box, LoadReport const& report, Instant at)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto& [id, load] : this->loads)
        load.forget_peer(box);
    for (auto const& share : report.endpoints) {
        if (auto const* const endpoint = this->directory.find(share.incarnation))
            this->loads[endpoint->id].take_peer(box, share.backlog, share.running, at);
    }
    for (auto const& [service, told] : report.services) {
        this->speeds[service].take_peer(box, { told.speed, told.samples, at });
        this->demands[service].take_peer(box, told.work, at);
    }
}

}
