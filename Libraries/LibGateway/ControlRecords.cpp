#include <LibGateway/ControlRecords.h>

#include <LibLog/EventLog.h>
#include <algorithm>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

namespace {

/// The text of an operator's record; empty, with a reason, if a compressed record can't be decompressed.
struct ConfigurationText {
    Core::LastReason& reason;

    std::optional<std::string> operator()(std::string const& text) const { return text; }
    std::optional<std::string> operator()(Membership::CompressedText const& compressed) const
    {
        return compressed.text(this->reason);
    }
};

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

void ControlRecords::apply_relayed_configuration(Membership::ConfigurationRecord const& record, Instant confirmed_at)
{
    Core::LastReason reason;
    auto const text = std::visit(ConfigurationText { reason }, record);
    if (!text) {
        this->state.metrics.count_bad_record("configuration");
        Log::EventLine("configuration_rejected").with("reason", reason.text).error();
        return;
    }
    if (this->apply_configuration(*text, confirmed_at, confirmed_at).outcome == Outcome::InForce)
        this->configuration_record = record;
}

std::optional<Membership::CompressedText> ControlRecords::compressed_configuration()
{
    if (!this->configuration_record)
        return {};
    if (auto const* const compressed = std::get_if<Membership::CompressedText>(&*this->configuration_record))
        return *compressed;
    auto compressed = this->compress(std::get<std::string>(*this->configuration_record));
    // NOTE: The text is discarded because it is eight times as long, and a box is sized by its peak memory.
    this->configuration_record = compressed;
    return compressed;
}

std::optional<Membership::CompressedText> ControlRecords::compress(std::string const& text) const
{
    auto const begun_at = monotonic_now();
    Core::LastReason reason;
    auto compressed = Membership::CompressedText::of(text, reason);
    if (!compressed) {
        Log::EventLine("configuration_not_compressed").with("reason", reason.text).warning();
        return {};
    }
    Log::EventLine("configuration_compressed")
        .with("version", this->version())
        .with("bytes", text.size())
        .with("compressed_bytes", compressed->bytes().size())
        .with("took_ms", Core::to_milliseconds(monotonic_now() - begun_at))
        .info();
    return compressed;
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
    this->late_records.record_ignored(record, *lateness);
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
    this->correct_late_records(records, source, now);
    for (auto const& missing : this->journal.missing_from(records))
        this->note_departure(missing, now);
    auto const revision = this->endpoints_position.offset.value_or(0);
    bool const is_first = !this->endpoints_confirmed_at || this->journal_era != this->endpoints_position.era;
    if (is_first)
        this->journal.restart(records, revision);
    else
        this->journal.replace_all(records, revision);
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

Membership::ControlRequest ControlRecords::request(Instant now) const
{
    auto const fingerprint = this->box_records_relay.fingerprint ? this->box_records_relay.fingerprint() : 0;
    return { this->list_history(), this->journal.revision(), this->version(), this->box_name,
        this->state.router.work_totals(now), this->failure_domain, fingerprint, true };
}

std::uint64_t ControlRecords::list_history() const
{
    return this->endpoints_confirmed_at ? this->journal_era + 1 : 0;
}

void ControlRecords::put_endpoints(Membership::ControlRequest const& request, Membership::ControlAnswer& answer)
{
    answer.source = this->list_history();
    auto const known = request.source == answer.source ? request.revision : 0;
    bool const is_long = this->journal.size() >= CompressedEndpointList::min_endpoints;
    bool const is_whole = known == 0 || !this->journal.knows_since(known);
    bool const is_compressed = is_whole && is_long && request.takes_compressed_endpoints;
    auto const* const list = is_compressed ? this->compressed_list.update(this->journal) : nullptr;
    if (list == nullptr) {
        answer.endpoints = this->journal.changes_since(is_compressed ? 0 : known);
        return;
    }
    answer.endpoint_list = list->text;
    answer.endpoints = this->journal.changes_since(list->revision);
    answer.endpoints.is_whole = true;
}

std::optional<Membership::ControlAnswer> ControlRecords::answer(
    Membership::ControlRequest const& request, std::size_t max_configuration_bytes, Instant now)
{
    auto const& endpoints_next = this->endpoints_position.offset;
    auto const& operator_next = this->operator_position.offset;
    if (!this->endpoints_confirmed_at || !endpoints_next || !operator_next || this->version() == 0)
        return {};
    Membership::ControlAnswer answer;
    this->put_endpoints(request, answer);
    answer.endpoints_age = now - *this->endpoints_confirmed_at;
    answer.endpoints_next = *endpoints_next;
    // NOTE: Until both topics were read anew, this box's records belong to the earlier era.
    answer.store_era = std::min(this->endpoints_position.era, this->operator_position.era);
    if (auto const& era_began_at = this->history.era_began_at(); era_began_at && answer.store_era == this->era())
        answer.store_era_began_ago = now - *era_began_at;
    answer.configuration_version = this->version();
    if (request.configuration_version < this->version()) {
        auto compressed = this->compressed_configuration();
        if (compressed && compressed->bytes().size() <= max_configuration_bytes)
            answer.configuration = std::move(*compressed);
        if (auto const since = this->state.router.configuration_known_since())
            answer.configuration_known_for = now - *since;
    }
    answer.configuration_age = this->state.router.configuration_age(now);
    answer.configuration_next = *operator_next;
    answer.evacuated_domains = this->evacuated_domains;
    if (this->store_returned_at)
        answer.store_returned_ago = now - *this->store_returned_at;
    if (auto const announcement = this->announcement_relay.own ? this->announcement_relay.own(now) : std::nullopt) {
        answer.leader_announcement = announcement->bytes;
        answer.leader_announcement_age = now - announcement->sent_at;
    }
    if (request.requester_domain.empty() || request.requester_domain == this->failure_domain)
        this->demand_of_askers.update(request.requester, request.work, now);
    if (!this->answer_shares_at || now - *this->answer_shares_at >= answer_shares_interval) {
        this->answer_shares_at = now;
        this->state.router.apply_totals_of_others(this->demand_of_askers.totals(now), now);
        this->answer_shares = this->state.router.answer_shares(now);
    }
    answer.answer_shares = this->answer_shares;
    if (this->box_records_relay.own && request.box_records_fingerprint != this->box_records_relay.fingerprint())
        answer.box_records = this->box_records_relay.own();
    return answer;
}

bool ControlRecords::apply_relayed(
    Membership::ControlAnswer const& answer, std::string const& relay_domain, Instant asked_at)
{
    if (this->announcement_relay.apply && !answer.leader_announcement.empty())
        this->announcement_relay.apply({ answer.leader_announcement, asked_at - answer.leader_announcement_age });
    if (this->box_records_relay.apply && answer.box_records)
        this->box_records_relay.apply(*answer.box_records);
    // NOTE: The relay measured the ages after the request was sent, so these moments are never too late.
    auto const relayed_endpoints_confirmed_at = asked_at - answer.endpoints_age;
    auto const relayed_configuration_confirmed_at = asked_at - answer.configuration_age;
    if (answer.store_returned_ago) {
        auto const moment = asked_at - *answer.store_returned_ago;
        constexpr auto same_return = std::chrono::milliseconds(500);
        if (!this->store_returned_at || moment > *this->store_returned_at + same_return)
            this->store_returned(moment);
    }
    // NOTE: Each failure domain divides the engines by its own demand. A common division lags behind in bursts, when
    // boxes have just changed their relays: long answers then get too few engines for seconds.
    if (relay_domain == this->failure_domain)
        this->state.router.apply_answer_shares(answer.answer_shares, asked_at);
    // NOTE: This box may have read newer entries from the store than the relay has.
    if (!this->endpoints_confirmed_at || relayed_endpoints_confirmed_at >= *this->endpoints_confirmed_at)
        this->apply_relayed_endpoints(answer, relayed_endpoints_confirmed_at);
    bool const is_same_era = this->evacuations_position.era == this->era();
    if (answer.evacuated_domains
        && (!is_same_era || answer.configuration_next >= this->evacuations_position.offset.value_or(0)))
        this->set_evacuated_domains(
            *answer.evacuated_domains, { answer.configuration_next, this->era() }, monotonic_now());
    this->state.router.note_configuration(answer.configuration_version, asked_at,
        asked_at - answer.configuration_known_for.value_or(Core::Duration { 0 }));
    if (answer.configuration_version > this->version() && answer.configuration)
        this->apply_relayed_configuration(*answer.configuration, relayed_configuration_confirmed_at);
    if (answer.configuration_version != this->version())
        return answer.configuration_version < this->version();
    this->confirm_configuration(relayed_configuration_confirmed_at);
    auto const& era_began_at = this->history.era_began_at();
    if (!era_began_at || relayed_configuration_confirmed_at > *era_began_at)
        this->version_in_store = std::max(this->version_in_store, answer.configuration_version);
    // NOTE: Reads from the relay's position on would not return the version, so they could never confirm it.
    if (this->version_in_store < this->version())
        return true;
    this->set_next(Adapter::Topic::Operator,
        std::max(this->next(Adapter::Topic::Operator).value_or(0), answer.configuration_next));
    return true;
}

Membership::StoreVersions ControlRecords::store_versions(Instant now) const
{
    auto const& era_began_at = this->history.era_began_at();
    auto const known_since = this->state.router.configuration_known_since();
    return { this->version(), this->era(), era_began_at ? std::optional(now - *era_began_at) : std::nullopt,
        known_since ? std::optional(now - *known_since) : std::nullopt };
}

void ControlRecords::apply_store_versions(Membership::StoreVersions const& reported, Instant sent_at)
{
    bool const is_of_copy = reported.store_era != 0 && reported.store_era == this->era() && reported.era_began_ago;
    if (is_of_copy)
        static_cast<void>(this->observe_era(reported.store_era, sent_at - *reported.era_began_ago, sent_at));
    // NOTE: Reports matter only for versions that the store may have lost, which a starting box can't detect from its
    // first read. Otherwise a box gets its configuration from the store or its relay.
    bool const has_started = monotonic_now() - this->started_at > startup_window;
    if ((has_started && !is_of_copy) || reported.configuration_version <= this->version())
        return;
    this->version_reported = std::max(this->version_reported, reported.configuration_version);
    auto const known_for = reported.configuration_known_for.value_or(Core::Duration { 0 });
    if (known_for > this->apply_within)
        this->state.router.note_overdue_configuration(reported.configuration_version, sent_at);
    else
        this->state.router.note_configuration(reported.configuration_version, sent_at, sent_at - known_for);
}

std::optional<std::vector<Routing::EndpointRecord>> ControlRecords::whole_list(Membership::ControlAnswer const& answer)
{
    Core::LastReason reason;
    auto records = whole_endpoint_list(answer, reason);
    if (!records) {
        this->state.metrics.count_bad_record("endpoints");
        Log::EventLine("endpoint_list_rejected")
            .with("reason", reason.text)
            .with("bytes", answer.endpoint_list->bytes().size())
            .error();
    }
    return records;
}

void ControlRecords::apply_relayed_endpoints(Membership::ControlAnswer const& answer, Instant confirmed_at)
{
    auto const own_offset = this->next(Adapter::Topic::Endpoints).value_or(0);
    bool const is_same_history = this->endpoints_confirmed_at && this->journal_era == this->era();
    // NOTE: The relay has read less of the log than this box, which may use several relays. What it lacks stays.
    if (is_same_history && answer.endpoints_next < own_offset)
        return;
    auto records = answer.endpoints.is_whole ? this->whole_list(answer) : std::nullopt;
    if (answer.endpoints.is_whole && !records)
        return;
    this->set_next(Adapter::Topic::Endpoints, answer.endpoints_next);
    if (records) {
        this->replace_endpoints(std::move(*records), Membership::RecordSource::Relay);
    } else {
        for (auto const& change : answer.endpoints.changes) {
            if (change.record)
                this->put_endpoint(*change.record, Membership::RecordSource::Relay);
            else
                this->remove_endpoint(change.incarnation, Removal::EntryDropped);
        }
    }
    this->journal.advance(answer.endpoints_next);
    this->confirm_endpoints(confirmed_at);
    this->state.metrics.set_endpoints(this->state.router.endpoint_count());
}

}
