#include <LibMembership/LateRecordFilter.h>

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
        break;
    }
    return "earlier-instance";
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
    if (known == this->heartbeats.end() || record.started_at == 0 || record.started_at >= known->second.started_at)
        return {};
    // NOTE: An endpoint's clock may have been set back before it started again. But a record of an earlier start that
    // arrives just after the later process was first seen is a late one of its predecessor.
    bool const is_late = now - known->second.first <= max_late_write_effect;
    return is_late ? std::optional(Lateness::EarlierInstance) : std::nullopt;
}

void LateRecordFilter::record_accepted(Routing::EndpointRecord const& record, RecordSource source, Instant now)
{
    if (record.draining)
        this->departed.add(Routing::instance_of(record), now, Departure::Announced);
    else
        this->departed.remove(Routing::instance_of(record));
    if (source == RecordSource::Relay)
        return;
    auto const [position, is_new]
        = this->heartbeats.try_emplace(record.incarnation, Heartbeats { record.started_at, now, now });
    auto& known = position->second;
    if (!is_new && record.started_at != 0 && record.started_at != known.started_at)
        known = { record.started_at, now, now };
    known.last = now;
}

void LateRecordFilter::entry_removed(Routing::EndpointInstance const& instance, Instant now)
{
    auto const heard = this->heartbeats.extract(instance.incarnation);
    bool const has_lapsed = heard.empty() || now - heard.mapped().last >= min_lapse;
    this->departed.add(instance, now, has_lapsed ? Departure::Lapsed : Departure::Unlisted);
}

}
