#include <LibMembership/EndpointJournal.h>

#include <algorithm>
#include <set>

namespace Membership {

namespace {

/// Whether the entry only says that the endpoint, which is cold in both, has become less so. Whoever has the earlier
/// one knows that by its own clock.
bool is_later_reading(Routing::EndpointRecord const& changed, Routing::EndpointRecord const& known)
{
    auto as_known = changed;
    as_known.cold_left = known.cold_left;
    return as_known == known && changed.cold_left > Duration { 0 } && changed.cold_left < known.cold_left;
}

}

void EndpointJournal::restart(std::vector<Routing::EndpointRecord> const& records, std::uint64_t revision)
{
    *this = {};
    this->known_since = revision;
    for (auto const& record : records)
        this->put(record, revision);
    this->advance(revision);
}

void EndpointJournal::put(Routing::EndpointRecord const& record, std::uint64_t revision)
{
    auto const [position, is_new] = this->entries.try_emplace(record.incarnation);
    auto& entry = position->second;
    if (entry.record == record)
        return;
    if (entry.record && is_later_reading(record, *entry.record)) {
        entry.record = record;
        return;
    }
    this->removals -= is_new || entry.record ? 0 : 1;
    entry.record = record;
    this->touch(position, revision);
}

bool EndpointJournal::remove(std::string const& incarnation, std::uint64_t revision)
{
    auto const [position, is_new] = this->entries.try_emplace(incarnation);
    bool const was_listed = position->second.record.has_value();
    position->second.record.reset();
    this->removals += is_new || was_listed ? 1 : 0;
    this->touch(position, revision);
    this->discard_old_removals();
    return was_listed;
}

void EndpointJournal::touch(Entries::iterator entry, std::uint64_t revision)
{
    this->by_change.erase({ entry->second.changed_at, entry->first });
    entry->second.changed_at = revision;
    this->by_change.emplace(revision, entry->first);
    this->out_of_sequence.erase(entry->first);
    this->advance(revision);
}

void EndpointJournal::put_out_of_sequence(Routing::EndpointRecord const& record)
{
    this->put(record, this->last_revision);
    this->out_of_sequence.insert(record.incarnation);
}

void EndpointJournal::renew(std::string const& incarnation, std::uint64_t revision)
{
    auto const found = this->entries.find(incarnation);
    if (found != this->entries.end())
        this->touch(found, revision);
}

std::vector<Routing::EndpointRecord> EndpointJournal::missing_from(
    std::vector<Routing::EndpointRecord> const& records) const
{
    std::set<std::string_view> listed;
    for (auto const& record : records)
        listed.insert(record.incarnation);
    std::vector<Routing::EndpointRecord> missing;
    for (auto const& [incarnation, entry] : this->entries) {
        if (entry.record && !listed.contains(incarnation))
            missing.push_back(*entry.record);
    }
    return missing;
}

void EndpointJournal::replace_all(std::vector<Routing::EndpointRecord> const& records, std::uint64_t revision)
{
    for (auto const& record : records)
        this->put(record, revision);
    for (auto const& missing : this->missing_from(records))
        static_cast<void>(this->remove(missing.incarnation, revision));
    this->advance(revision);
}

void EndpointJournal::advance(std::uint64_t revision)
{
    this->last_revision = std::max(this->last_revision, revision);
}

Routing::EndpointRecord const* EndpointJournal::find(std::string const& incarnation) const
{
    auto const found = this->entries.find(incarnation);
    return found == this->entries.end() || !found->second.record ? nullptr : &*found->second.record;
}

EndpointChanges EndpointJournal::changes_since(std::uint64_t revision) const
{
    if (revision != 0 && this->knows_since(revision)) {
        EndpointChanges answer { this->last_revision, false, {} };
        for (auto change = this->by_change.lower_bound({ revision + 1, "" }); change != this->by_change.end(); ++change)
            answer.changes.push_back({ change->second, this->entries.at(change->second).record });
        for (auto const& incarnation : this->out_of_sequence) {
            auto const& entry = this->entries.at(incarnation);
            if (entry.changed_at <= revision)
                answer.changes.push_back({ incarnation, entry.record });
        }
        return answer;
    }
    EndpointChanges answer { this->last_revision, true, {} };
    for (auto const& [incarnation, entry] : this->entries) {
        if (entry.record)
            answer.changes.push_back({ incarnation, entry.record });
    }
    return answer;
}

void EndpointJournal::discard_old_removals()
{
    if (this->removals <= std::max(min_kept_removals, this->size()))
        return;
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        auto const current = position++;
        if (current->second.record)
            continue;
        this->by_change.erase({ current->second.changed_at, current->first });
        this->entries.erase(current);
    }
    this->removals = 0;
    this->known_since = this->last_revision;
}

}
