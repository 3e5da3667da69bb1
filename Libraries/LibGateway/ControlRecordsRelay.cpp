/// The part of ControlRecords that relays the copy to other boxes and applies what they relay.

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

Membership::ControlRequest ControlRecords::request(Instant now) const
{
    auto const box_records
        = this->box_records_relay.version ? this->box_records_relay.version() : Membership::BoxRecordsVersion {};
    return { this->list_history(), this->journal.revision(), this->version(), this->box_name,
        this->state.router.work_totals(now), this->failure_domain, box_records, true };
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
    this->put_box_records(request.box_records, answer);
    return answer;
}

void ControlRecords::put_box_records(
    Membership::BoxRecordsVersion const& requester, Membership::ControlAnswer& answer) const
{
    if (!this->box_records_relay.own)
        return;
    auto const own = this->box_records_relay.version();
    if (own.fingerprint != requester.fingerprint && !own.is_older_than(requester))
        answer.box_records = this->box_records_relay.own();
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
