#include <LibMembership/LateRecordFilter.h>

#include <utility>

namespace Membership {

namespace {

/// Whether both records are of one process. A record without a start time belongs to the known process.
bool are_of_one_process(Routing::EndpointRecord const& record, Routing::EndpointRecord const& listed)
{
    return record.started_at == listed.started_at || record.started_at == 0 || listed.started_at == 0;
}

}

std::string_view to_string(Lateness lateness)
{
    switch (lateness) {
    case Lateness::AfterDraining:
        return "after-draining";
    case Lateness::AfterRemoval:
        return "after-removal";
    case Lateness::EarlierInstance:
        return "earlier-instance";
    case Lateness::StillCold:
        break;
    }
    return "still-cold";
}

std::optional<Lateness> LateRecordFilter::lateness_of(Routing::EndpointRecord const& record,
    Routing::EndpointRecord const* listed, RecordSource source, Instant now) const
{
    if (listed != nullptr && listed->draining && !record.draining && are_of_one_process(record, *listed))
        return Lateness::AfterDraining;
    auto const departure = this->departed.contradicted_by(record, now);
    if (departure == Departure::Announced)
        return Lateness::AfterDraining;
    // NOTE: A relay passes each change on only once, so what it considers current must not be held back here.
    if (source == RecordSource::Relay)
        return {};
    if (departure)
        return Lateness::AfterRemoval;
    auto const known = this->heartbeats.find(record.incarnation);
    if (known == this->heartbeats.end())
        return {};
    if (is_warm_too_early(record, listed, known->second, now))
        return Lateness::StillCold;
    if (record.started_at == 0 || record.started_at >= known->second.started_at)
        return {};
    // NOTE: An endpoint's clock may have been set back before it started again. But a record of an earlier start that
    // arrives just after the later process was first seen is a late one of its predecessor.
    bool const is_late = now - known->second.first <= max_late_write_effect;
    return is_late ? std::optional(Lateness::EarlierInstance) : std::nullopt;
}

bool LateRecordFilter::is_warm_too_early(
    Routing::EndpointRecord const& record, Routing::EndpointRecord const* listed, Heartbeats const& known, Instant now)
{
    if (listed == nullptr || known.has_shorter_cold || now + record.cold_left + max_read_delay >= known.cold_until)
        return false;
    auto as_listed = record;
    as_listed.cold_left = listed->cold_left;
    return as_listed == *listed;
}

void LateRecordFilter::record_ignored(Routing::EndpointRecord const& record, Lateness lateness, RecordSource source)
{
    bool const reason_ends = lateness == Lateness::AfterRemoval || lateness == Lateness::EarlierInstance;
    if (reason_ends && source == RecordSource::Store)
        this->ignored[record.incarnation] = record;
    auto const known = this->heartbeats.find(record.incarnation);
    if (known != this->heartbeats.end() && lateness == Lateness::StillCold)
        known->second.has_shorter_cold = true;
}

std::vector<Routing::EndpointRecord> LateRecordFilter::take_current(Instant now)
{
    std::vector<Routing::EndpointRecord> current;
    std::erase_if(this->ignored, [&](auto const& entry) {
        if (this->lateness_of(entry.second, nullptr, RecordSource::Store, now))
            return false;
        current.push_back(entry.second);
        return true;
    });
    return current;
}

std::vector<std::string> LateRecordFilter::take_ignored()
{
    std::vector<std::string> incarnations;
    for (auto const& [incarnation, record] : std::exchange(this->ignored, {}))
        incarnations.push_back(incarnation);
    return incarnations;
}

void LateRecordFilter::record_accepted(Routing::EndpointRecord const& record, RecordSource source, Instant now)
{
    this->ignored.erase(record.incarnation);
    if (record.draining)
        this->departed.add(Routing::instance_of(record), now, Departure::Announced);
    else
        this->departed.remove(Routing::instance_of(record));
    if (source == RecordSource::Relay)
        return;
    auto const [position, is_new]
        = this->heartbeats.try_emplace(record.incarnation, Heartbeats { record.started_at, now, now, now });
    auto& known = position->second;
    if (!is_new && record.started_at != 0 && record.started_at != known.started_at)
        known = { record.started_at, now, now, now };
    known.last = now;
    known.cold_until = now + record.cold_left;
    known.has_shorter_cold = false;
}

void LateRecordFilter::entry_removed(Routing::EndpointInstance const& instance, Instant now)
{
    auto const heard = this->heartbeats.extract(instance.incarnation);
    bool const has_lapsed = heard.empty() || now - heard.mapped().last >= min_lapse;
    this->departed.add(instance, now, has_lapsed ? Departure::Lapsed : Departure::Unlisted);
}

}
