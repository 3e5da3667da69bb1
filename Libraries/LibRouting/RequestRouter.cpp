#include <LibRouting/RequestRouter.h>

#include <algorithm>
#include <iterator>

namespace Routing {

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
    this->note_version(record.incarnation, now);
    this->versions.note(record.service, record.version, now);
    bool const has_changed = this->directory.put(record);
    this->forget_notices_of_moved();
    this->update_cold(record, now);
    return has_changed;
}

void RequestRouter::note_version(std::string const& incarnation, Instant now)
{
    if (auto const* const known = this->directory.find(incarnation))
        this->versions.note(known->record.service, known->record.version, now);
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
    this->note_version(incarnation, now);
    this->directory.remove(incarnation, now);
}

void RequestRouter::replace_endpoints(std::vector<EndpointRecord> const& records, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto const& [incarnation, endpoint] : this->directory.all())
        this->versions.note(endpoint.record.service, endpoint.record.version, now);
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
    this->ended.forget(id);
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

void RequestRouter::answer_progressed(
    Admitted const& request, EndpointId endpoint, double tokens, Duration taken, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const factor = this->speeds[request.service].add_tokens(tokens, Core::to_milliseconds(taken));
    auto* const load = factor ? this->load_of(endpoint) : nullptr;
    if (load != nullptr)
        load->pace().add(*factor, now);
}

std::vector<RequestRouter::PaceChange> RequestRouter::take_pace_changes(Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    std::vector<PaceChange> changes;
    for (auto& [id, load] : this->loads) {
        auto const* const endpoint = this->directory.find(id);
        auto const is_slow = endpoint == nullptr ? std::nullopt : load.pace().take_change(now);
        if (is_slow)
            changes.push_back(
                { endpoint->record.incarnation, *is_slow, load.pace().factor(now), load.pace().samples(now) });
    }
    return changes;
}

std::size_t RequestRouter::slow_endpoints(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return static_cast<std::size_t>(
        std::ranges::count_if(this->loads, [now](auto const& entry) { return entry.second.pace().is_slow(now); }));
}

void RequestRouter::attempt_ended(RequestId request, EndpointId endpoint, AttemptResult result, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto* const load = this->load_of(endpoint);
    if (load == nullptr)
        return;
    auto const occupied = load->ended(request, now);
    switch (result) {
    case AttemptResult::Completed:
        if (occupied)
            this->slot_times[this->directory.find(endpoint)->record.service].add(*occupied);
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

bool RequestRouter::endpoint_ended(EndpointInstance const& endpoint, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(endpoint.incarnation);
    if (known == nullptr || instance_of(known->record) != endpoint)
        return false;
    this->ended.note(known->id, now);
    return true;
}

void RequestRouter::update_reported_load(EndpointId endpoint, ReportedLoad const& reported, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    if (auto* const load = this->load_of(endpoint))
        load->update_reported_load(reported, now);
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
            report.endpoints.push_back({ endpoint->record.incarnation, load.own_backlog(),
                static_cast<unsigned>(load.own_running()), load.pace().own_samples(now) });
    }
    for (auto const& [service, demand] : this->demands) {
        auto const speed = this->speeds.find(service);
        if (speed == this->speeds.end())
            continue;
        auto const accounts = this->account_shares.find(service);
        report.services.emplace(service,
            ServiceReport { speed->second.own_speed(), speed->second.samples(), demand.own_totals(now),
                accounts == this->account_shares.end() ? AccountReport {} : accounts->second.own_report(now) });
    }
    return report;
}

void RequestRouter::apply_account_report(std::uint64_t box, std::string const& service, AccountReport report,
    ConfigurationSnapshot const& configuration, Instant at)
{
    /// Services whose sums are kept although this box had no request for them: some 20 KB each.
    constexpr std::size_t max_services_of_peers = 64;
    // NOTE: Names of services and accounts that the configuration lacks would only take up memory.
    auto const* const known = configuration.find_service(service);
    if (known == nullptr || !known->engine)
        return;
    bool const has_room = !report.is_empty() && this->account_shares.size() < max_services_of_peers;
    if (!has_room && !this->account_shares.contains(service))
        return;
    std::erase_if(
        report.largest, [&](NamedAccountWork const& named) { return !configuration.has_account(named.account); });
    this->account_shares[service].apply_peer(box, report, at);
}

void RequestRouter::apply_load_report(std::uint64_t box, LoadReport const& report, Instant at)
{
    auto const configuration = this->configuration();
    std::scoped_lock const guard(this->endpoints_lock);
    for (auto& [id, load] : this->loads)
        load.forget_peer(box);
    for (auto const& share : report.endpoints) {
        auto const* const endpoint = this->directory.find(share.incarnation);
        if (endpoint == nullptr)
            continue;
        auto& load = this->loads[endpoint->id];
        load.apply_peer(box, share.backlog, share.running, at);
        if (share.pace)
            load.pace().apply_peer(box, *share.pace, at);
    }
    for (auto const& [service, reported] : report.services) {
        this->speeds[service].apply_peer(box, { reported.speed, reported.samples, at });
        this->demands[service].apply_peer(box, reported.work, at);
        if (configuration)
            this->apply_account_report(box, service, reported.accounts, *configuration, at);
    }
}

}
