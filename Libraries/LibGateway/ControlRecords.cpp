#include <LibGateway/ControlRecords.h>

#include <LibLog/EventLog.h>
#include <algorithm>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

namespace {

std::string_view state_of(Routing::EndpointRecord const& record)
{
    return record.draining ? "draining" : "ready";
}

std::string_view name_of(Membership::RecordSource source)
{
    return source == Membership::RecordSource::Store ? "store" : "relay";
}

}

ControlRecords::ControlRecords(GatewayState& state, std::string box_name, std::string failure_domain)
    : state(state)
    , box_name(std::move(box_name))
    , failure_domain(std::move(failure_domain))
{
}

void ControlRecords::apply_operator_records(
    std::vector<Adapter::KeyedRecord> const& records, Instant asked_at, Coverage coverage)
{
    auto const now = monotonic_now();
    this->is_rewritten |= coverage != Coverage::WholeList && !records.empty();
    bool const is_whole = coverage != Coverage::Part;
    bool const is_confirmed = is_whole && (!this->history.is_settling(now) || this->is_rewritten);
    auto const confirmed_at = is_confirmed ? std::optional(asked_at) : std::nullopt;
    // NOTE: A box that catches up needs only the last version, or an earlier one if the last can't be read.
    bool is_taken = false;
    this->apply_evacuations(records, coverage, now);
    for (auto record = records.rbegin(); record != records.rend() && !is_taken; ++record) {
        if (!Adapter::is_configuration(*record) || !record->value)
            continue;
        auto const result = this->apply_configuration(*record->value, asked_at, confirmed_at);
        if (result.outcome == Outcome::InForce)
            this->configuration_record = *record->value;
        is_taken = result.outcome != Outcome::Unreadable;
        this->version_in_store = std::max(this->version_in_store, result.version);
    }
    if (!is_whole)
        this->note_read_version(this->version() + 1, now);
    else if (this->state.router.configuration() && this->may_confirm_configuration(now))
        this->confirm_configuration(asked_at);
}

void ControlRecords::apply_evacuations(std::vector<Adapter::KeyedRecord> const& records, Coverage coverage, Instant now)
{
    auto const& read_up_to = this->operator_position;
    bool const is_same_era = read_up_to.era == this->evacuations_position.era;
    // NOTE: A relay may have reported a later state than this page shows. The pages that follow catch up with it.
    if (is_same_era && read_up_to.offset < this->evacuations_position.offset)
        return;
    // NOTE: A copy from which the store was restored may lack an evacuation, which the operators then order again.
    bool const may_lack_some = this->history.era_began_at() && this->history.is_settling(now) && !this->is_rewritten;
    bool const is_complete = coverage == Coverage::WholeList && !may_lack_some;
    auto domains = is_complete ? std::set<std::string> {} : this->evacuated_domains;
    for (auto const& record : records) {
        if (!Adapter::is_evacuation(record))
            continue;
        Core::LastReason reason;
        auto const evacuation = Adapter::decode_evacuation(record, reason);
        if (!evacuation) {
            this->state.metrics.count_bad_record("evacuation");
            Log::EventLine("evacuation_rejected").with("key", record.key).with("reason", reason.text).warning();
        } else if (evacuation->is_in_force)
            domains.insert(evacuation->failure_domain);
        else
            domains.erase(evacuation->failure_domain);
    }
    this->set_evacuated_domains(std::move(domains), read_up_to, now);
}

void ControlRecords::set_evacuated_domains(std::set<std::string> domains, Position const& as_of, Instant now)
{
    this->evacuations_position = as_of;
    if (domains == this->evacuated_domains)
        return;
    auto const log_change = [this](std::string const& domain, std::string_view state) {
        Log::EventLine("evacuation_changed")
            .with("failure_domain", domain)
            .with("state", state)
            .with("known_domain", this->state.router.is_known_domain(domain) ? "yes" : "no")
            .info();
    };
    for (auto const& domain : domains) {
        if (!this->evacuated_domains.contains(domain))
            log_change(domain, "evacuated");
    }
    for (auto const& domain : this->evacuated_domains) {
        if (!domains.contains(domain))
            log_change(domain, "ended");
    }
    this->evacuated_domains = domains;
    this->state.router.set_evacuated_domains(std::move(domains), now);
}

bool ControlRecords::may_confirm_configuration(Instant now) const
{
    if (this->version_in_store < this->version_reported)
        return false;
    if (!this->history.era_began_at())
        return true;
    // NOTE: The store's older copy may lack the version that revoked a key. This box's configuration is the newest
    // known version, so it is served until its lease ends; after that only a new write of the operator confirms it.
    bool const is_settled = this->is_rewritten || !this->history.is_settling(now);
    return is_settled && this->version_in_store >= this->version();
}

bool ControlRecords::observe_era(std::uint64_t era, std::optional<Instant> era_began_at, Instant now)
{
    auto const relation = this->history.observe(era, era_began_at, now);
    if (relation == Membership::StoreHistory::Relation::LaterHistory)
        this->begin_era(now);
    return relation != Membership::StoreHistory::Relation::EarlierHistory;
}

void ControlRecords::begin_era(Instant now)
{
    this->version_in_store = 0;
    this->version_reported = 0;
    this->is_rewritten = false;
    this->late_records.store_restored();
    // NOTE: As after any outage of the store, missing entries may belong to running endpoints.
    this->store_returned_at = now;
    this->state.router.store_returned(now);
    this->state.router.mark_endpoints_uncertain();
    this->state.metrics.count_store_restored();
    Log::EventLine("store_restored_from_copy").with("era", this->era()).with("version", this->version()).warning();
    if (this->on_new_era)
        this->on_new_era();
}

void ControlRecords::note_read_version(std::uint64_t version, Instant now)
{
    this->state.router.note_configuration(version, now, now);
}

void ControlRecords::confirm_configuration(Instant asked_at)
{
    this->state.router.confirm_configuration(asked_at);
}

ControlRecords::ConfigurationResult ControlRecords::apply_configuration(
    std::string const& text, Instant asked_at, std::optional<Instant> confirmed_at)
{
    auto const began = monotonic_now();
    Core::LastReason reason;
    auto decoded = Adapter::decode_configuration(text, reason);
    if (!decoded) {
        this->state.metrics.count_bad_record("configuration");
        Log::EventLine("configuration_rejected").with("reason", reason.text).with("bytes", text.size()).error();
        return {};
    }
    auto const version = decoded->version;
    auto const routes = decoded->routes.size();
    auto const accounts = decoded->accounts ? decoded->accounts->size() : 0;
    auto const ranked = !decoded->accounts
        ? 0
        : std::ranges::count_if(*decoded->accounts, [](auto const& account) { return account.priority.has_value(); });
    auto snapshot = std::make_shared<Routing::ConfigurationSnapshot const>(std::move(*decoded));
    this->note_read_version(version, began);
    bool const is_newer_reported = snapshot->version() < this->version_reported;
    bool const is_newer
        = this->state.router.offer_configuration(std::move(snapshot), is_newer_reported ? std::nullopt : confirmed_at);
    Log::EventLine(is_newer ? "configuration_in_force" : "configuration_not_newer")
        .with("version", version)
        .with("failure_domain", this->failure_domain)
        .with("routes", routes)
        .with("accounts", accounts)
        .with("accounts_with_priority", ranked)
        .with("bytes", text.size())
        .with("asked_ms_ago", Core::to_milliseconds(began - asked_at))
        .with("decode_ms", Core::to_milliseconds(monotonic_now() - began))
        .info();
    return { is_newer ? Outcome::InForce : Outcome::NotNewer, version };
}

void ControlRecords::apply_endpoint_records(
    std::vector<Adapter::KeyedRecord> const& records, Instant asked_at, Coverage coverage)
{
    bool const is_whole_list = coverage == Coverage::WholeList;
    std::vector<Routing::EndpointRecord> listed;
    for (auto const& record : records) {
        auto decoded = this->decode_endpoint(record);
        if (!decoded) {
            // NOTE: An unreadable entry removes the endpoint that had the same key.
            auto const removal = record.value ? Removal::EntryUnreadable : Removal::EntryDropped;
            if (!is_whole_list)
                this->remove_endpoint(record.key, removal);
            continue;
        }
        if (is_whole_list)
            listed.push_back(std::move(*decoded));
        else
            this->put_endpoint(*decoded, Membership::RecordSource::Store);
    }
    if (is_whole_list)
        this->replace_endpoints(std::move(listed), Membership::RecordSource::Store);
    this->journal.advance(this->endpoints_position.offset.value_or(0));
    if (coverage != Coverage::Part)
        this->accept_ignored_records(monotonic_now());
    if (is_whole_list || (coverage == Coverage::UpToEnd && this->endpoints_confirmed_at))
        this->confirm_endpoints(std::max(this->endpoints_confirmed_at.value_or(asked_at), asked_at));
    this->state.metrics.set_endpoints(this->state.router.endpoint_count());
}

void ControlRecords::confirm_endpoints(Instant confirmed_at)
{
    this->endpoints_confirmed_at = confirmed_at;
    this->state.router.confirm_endpoints(confirmed_at);
}

std::optional<Routing::EndpointRecord> ControlRecords::decode_endpoint(Adapter::KeyedRecord const& record)
{
    if (!record.value) {
        this->rejected_endpoints.erase(record.key);
        return {};
    }
    Core::LastReason reason;
    auto decoded = Adapter::decode_endpoint(record.key, *record.value, reason);
    if (decoded)
        this->rejected_endpoints.erase(record.key);
    else
        this->note_rejected(record.key, reason.text);
    return decoded;
}

void ControlRecords::note_rejected(std::string const& key, std::string const& reason)
{
    this->state.metrics.count_bad_record("endpoint");
    auto const [position, is_new] = this->rejected_endpoints.try_emplace(key, reason);
    if (!is_new && position->second == reason)
        return;
    position->second = reason;
    Log::EventLine("endpoint_rejected").with("endpoint", key).with("reason", reason).info();
    if (this->rejected_endpoints.size() > max_rejections)
        this->rejected_endpoints.erase(this->rejected_endpoints.begin());
}

std::optional<Membership::Lateness> ControlRecords::check_lateness(
    Routing::EndpointRecord const& record, Membership::RecordSource source, Instant now)
{
    auto lateness = this->late_records.lateness_of(record, this->journal.find(record.incarnation), source, now);
    if (!lateness && this->state.router.is_earlier_instance(record))
        lateness = Membership::Lateness::EarlierInstance;
    if (!lateness)
        return {};
    this->late_records.record_ignored(record, *lateness, source);
    this->state.metrics.count_late_record();
    Log::EventLine("endpoint_outdated")
        .with("endpoint", record.incarnation)
        .with("started_at_ms", record.started_at)
        .with("state", state_of(record))
        .with("reason", to_string(*lateness))
        .with("read_from", name_of(source))
        .with("read_up_to", this->endpoints_position.offset.value_or(0))
        .info();
    return lateness;
}

void ControlRecords::put_endpoint(Routing::EndpointRecord const& record, Membership::RecordSource source)
{
    auto const now = monotonic_now();
    auto const read_up_to = this->endpoints_position.offset.value_or(0);
    if (this->check_lateness(record, source, now)) {
        this->journal.renew(record.incarnation, read_up_to);
        return;
    }
    this->late_records.record_accepted(record, source, now);
    this->journal.put(record, read_up_to);
    if (!this->state.router.put_endpoint(record, now))
        return;
    Log::EventLine("endpoint_changed")
        .with("endpoint", record.incarnation)
        .with("started_at_ms", record.started_at)
        .with("service", record.service)
        .with("state", state_of(record))
        .with("address", record.address.host + ":" + std::to_string(record.address.port))
        .with("read_from", name_of(source))
        .with("read_up_to", read_up_to)
        .info();
}

void ControlRecords::accept_ignored_records(Instant now)
{
    if (now - this->last_accepted_late > resend_time)
        this->journal.forget_out_of_sequence();
    for (auto const& record : this->late_records.take_current(now)) {
        if (this->state.router.is_earlier_instance(record))
            continue;
        Log::EventLine("endpoint_not_outdated").with("endpoint", record.incarnation).info();
        this->put_endpoint(record, Membership::RecordSource::Store);
        if (this->journal.find(record.incarnation) == nullptr)
            continue;
        this->journal.put_out_of_sequence(record);
        this->last_accepted_late = now;
    }
}

void ControlRecords::note_departure(Routing::EndpointRecord const& record, Instant now)
{
    // NOTE: Just after an outage of the store, a missing endpoint may be running and be listed again.
    bool const may_be_relisted = this->store_returned_at && now - *this->store_returned_at <= stale_list_time;
    if (may_be_relisted)
        this->late_records.forget_heartbeats(record.incarnation);
    else
        this->late_records.entry_removed(Routing::instance_of(record), now);
}

void ControlRecords::remove_endpoint(std::string const& incarnation, Removal removal)
{
    auto const now = monotonic_now();
    this->late_records.entry_ended(incarnation);
    auto const* const known = this->journal.find(incarnation);
    if (known != nullptr && removal == Removal::EntryDropped)
        this->note_departure(*known, now);
    if (!this->journal.remove(incarnation, this->endpoints_position.offset.value_or(0)))
        return;
    this->state.router.remove_endpoint(incarnation, now);
    Log::EventLine("endpoint_unlisted").with("endpoint", incarnation).info();
}

void ControlRecords::correct_late_records(
    std::vector<Routing::EndpointRecord>& records, Membership::RecordSource source, Instant now)
{
    std::erase_if(records, [&](Routing::EndpointRecord& record) {
        auto const lateness = this->check_lateness(record, source, now);
        // NOTE: The known cold time counts from when its record was read, so it can't stand in for that of a list.
        if (!lateness || *lateness == Membership::Lateness::StillCold) {
            this->late_records.record_accepted(record, source, now);
            return false;
        }
        auto const* const known = this->journal.find(record.incarnation);
        if (known == nullptr)
            return true;
        record = *known;
        return false;
    });
}

void ControlRecords::replace_endpoints(std::vector<Routing::EndpointRecord> records, Membership::RecordSource source)
{
    auto const now = monotonic_now();
    if (this->history.era_began_at() && now - *this->history.era_began_at() <= stale_list_time)
        this->late_records.remove_departed_from(records, now);
    auto const ignored = this->late_records.take_ignored();
    this->correct_late_records(records, source, now);
    for (auto const& missing : this->journal.missing_from(records))
        this->note_departure(missing, now);
    auto const revision = this->endpoints_position.offset.value_or(0);
    bool const is_first = !this->endpoints_confirmed_at || this->journal_era != this->endpoints_position.era;
    if (is_first)
        this->journal.restart(records, revision);
    else
        this->journal.replace_all(records, revision);
    for (auto const& incarnation : ignored) {
        if (this->journal.find(incarnation) == nullptr)
            static_cast<void>(this->journal.remove(incarnation, revision));
    }
    this->journal_era = this->endpoints_position.era;
    this->state.router.replace_endpoints(records, now);
    this->late_records.set_listed(records.size());
    Log::EventLine("endpoints_listed").with("count", records.size()).with("read_from", name_of(source)).info();
}

void ControlRecords::store_returned(Instant now)
{
    // NOTE: If the list was confirmed through other boxes meanwhile, only this box's own connection to the store was
    // lost, and no entry can have expired because of that. Treating it as an outage of the store would keep endpoints
    // in use that have left.
    if (this->endpoints_confirmed_at && now - *this->endpoints_confirmed_at < min_expiry_time)
        return;
    this->store_returned_at = now;
    this->state.router.store_returned(now);
}

std::optional<std::uint64_t> ControlRecords::next(Adapter::Topic topic) const
{
    auto const& position = this->position(topic);
    return position.era == this->era() ? position.offset : std::nullopt;
}

void ControlRecords::set_next(Adapter::Topic topic, std::optional<std::uint64_t> offset)
{
    this->position(topic) = { offset, this->era() };
}

std::uint64_t ControlRecords::version() const
{
    auto const configuration = this->state.router.configuration();
    return configuration ? configuration->version() : 0;
}

}
