#include <LibMembership/EndpointJournal.h>

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

void EndpointJournal::put(Routing::EndpointRecord const& record)
{
    auto& entry = this->entries[record.incarnation];
    if (entry.record == record)
        return;
    if (entry.record && is_later_reading(record, *entry.record)) {
        entry.record = record;
        return;
    }
    bool const was_removed = !entry.record && entry.changed_at != 0;
    this->removals -= was_removed ? 1 : 0;
    entry.record = record;
    entry.changed_at = ++this->last_revision;
}

bool EndpointJournal::remove(std::string const& incarnation)
{
    auto const found = this->entries.find(incarnation);
    if (found == this->entries.end() || !found->second.record)
        return false;
    found->second.record.reset();
    found->second.changed_at = ++this->last_revision;
    ++this->removals;
    this->discard_old_removals();
    return true;
}

void EndpointJournal::replace_all(std::vector<Routing::EndpointRecord> const& records)
{
    std::set<std::string> listed;
    for (auto const& record : records) {
        listed.insert(record.incarnation);
        this->put(record);
    }
    std::vector<std::string> missing;
    for (auto const& [incarnation, entry] : this->entries) {
        if (entry.record && !listed.contains(incarnation))
            missing.push_back(incarnation);
    }
    for (auto const& incarnation : missing)
        static_cast<void>(this->remove(incarnation));
}

Routing::EndpointRecord const* EndpointJournal::find(std::string const& incarnation) const
{
    auto const found = this->entries.find(incarnation);
    return found == this->entries.end() || !found->second.record ? nullptr : &*found->second.record;
}

EndpointChanges EndpointJournal::changes_since(std::uint64_t revision) const
{
    bool const is_whole = revision == 0 || revision < this->discarded_up_to || revision > this->last_revision;
    EndpointChanges answer { this->last_revision, is_whole, {} };
    for (auto const& [incarnation, entry] : this->entries) {
        bool const is_new = is_whole ? entry.record.has_value() : entry.changed_at > revision;
        if (is_new)
            answer.changes.push_back({ incarnation, entry.record });
    }
    return answer;
}

void EndpointJournal::discard_old_removals()
{
    if (this->removals <= max_removals)
        return;
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        auto const current = position++;
        if (!current->second.record)
            this->entries.erase(current);
    }
    this->removals = 0;
    this->discarded_up_to = this->last_revision;
}

}
