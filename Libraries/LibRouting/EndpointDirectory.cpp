#include <LibRouting/EndpointDirectory.h>

#include <algorithm>
#include <utility>

namespace Routing {

bool EndpointDirectory::put(EndpointRecord record)
{
    if (this->is_earlier_instance(record))
        return false;
    if (auto const known = this->endpoints.find(record.incarnation); known != this->endpoints.end()) {
        auto const known_start = known->second.record.started_at;
        if (record.started_at == 0)
            record.started_at = known_start;
        auto const& known_version = known->second.record.version;
        // NOTE: Boxes of earlier versions pass records on without the version.
        if (record.version.empty())
            record.version = known_version;
        bool const has_other_software = !known_version.empty() && record.version != known_version;
        if ((known_start != 0 && record.started_at != known_start) || has_other_software)
            this->erase(known);
    }
    auto const [position, is_new] = this->endpoints.try_emplace(record.incarnation);
    auto& endpoint = position->second;
    if (is_new) {
        endpoint.id = EndpointId { this->next_id++ };
        this->incarnations.emplace(endpoint.id, record.incarnation);
        if (auto const earlier = this->removal_times.extract(record.incarnation))
            endpoint.predecessor_removed_at = earlier.mapped();
    }
    endpoint.missing_since.reset();
    if (is_new || endpoint.record.started_at != record.started_at)
        this->remember_instance(record);
    // NOTE: The report that another endpoint took the old address does not concern the new address.
    if (!is_new && endpoint.record.address != record.address) {
        endpoint.is_replaced = false;
        this->moved.push_back(endpoint.id);
    }
    bool const has_changed = is_new || endpoint.record != record;
    endpoint.record = std::move(record);
    return has_changed;
}

void EndpointDirectory::remember_instance(EndpointRecord const& record)
{
    if (record.started_at == 0)
        return;
    auto const [newest, is_first] = this->newest_starts.try_emplace(record.incarnation, record.started_at);
    if (!is_first && newest->second != record.started_at) {
        this->superseded.insert({ record.incarnation, newest->second });
        newest->second = record.started_at;
    }
    if (this->superseded.size() > max_remembered)
        this->superseded.erase(this->superseded.begin());
    if (this->newest_starts.size() > this->endpoints.size() + max_remembered)
        std::erase_if(
            this->newest_starts, [this](auto const& known) { return !this->endpoints.contains(known.first); });
}

void EndpointDirectory::remove(std::string const& incarnation, Instant now)
{
    auto const position = this->endpoints.find(incarnation);
    if (position == this->endpoints.end())
        return;
    if (!this->returned_at || now - *this->returned_at > return_grace) {
        this->erase_removed(position, now);
        return;
    }
    if (!position->second.missing_since)
        position->second.missing_since = now;
}

void EndpointDirectory::replace_all(std::vector<EndpointRecord> const& records, Instant now)
{
    std::set<std::string> listed;
    for (auto const& record : records) {
        listed.insert(record.incarnation);
        this->put(record);
    }
    std::vector<std::string> missing;
    for (auto const& [incarnation, endpoint] : this->endpoints) {
        if (!listed.contains(incarnation))
            missing.push_back(incarnation);
    }
    for (auto const& incarnation : missing)
        this->remove(incarnation, now);
}

void EndpointDirectory::mark_replaced(EndpointId id)
{
    auto const found = this->incarnations.find(id);
    if (found != this->incarnations.end())
        this->endpoints.at(found->second).is_replaced = true;
}

void EndpointDirectory::expire(Instant now)
{
    for (auto position = this->endpoints.begin(); position != this->endpoints.end();) {
        auto const current = position++;
        if (current->second.missing_since && this->returned_at && now - *this->returned_at > return_grace)
            this->erase_removed(current, now);
    }
}

KnownEndpoint const* EndpointDirectory::find(EndpointId id) const
{
    auto const found = this->incarnations.find(id);
    return found == this->incarnations.end() ? nullptr : &this->endpoints.at(found->second);
}

KnownEndpoint const* EndpointDirectory::find(std::string const& incarnation) const
{
    auto const found = this->endpoints.find(incarnation);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

bool EndpointDirectory::is_usable(KnownEndpoint const& endpoint, Instant now) const
{
    if (endpoint.record.draining || endpoint.is_replaced)
        return false;
    return !endpoint.missing_since || !this->returned_at || now - *this->returned_at <= return_grace;
}

std::vector<KnownEndpoint const*> EndpointDirectory::usable(std::string_view service, Instant now) const
{
    std::vector<KnownEndpoint const*> usable_endpoints;
    for (auto const& [incarnation, endpoint] : this->endpoints) {
        if (endpoint.record.service == service && this->is_usable(endpoint, now))
            usable_endpoints.push_back(&endpoint);
    }
    return usable_endpoints;
}

std::vector<EndpointId> EndpointDirectory::take_moved()
{
    return std::exchange(this->moved, {});
}

std::vector<EndpointId> EndpointDirectory::take_removed()
{
    return std::exchange(this->removed, {});
}

void EndpointDirectory::erase_removed(Endpoints::iterator position, Instant now)
{
    this->removal_times[position->first] = now;
    if (this->removal_times.size() > max_remembered)
        this->removal_times.erase(
            std::ranges::min_element(this->removal_times, {}, [](auto const& entry) { return entry.second; }));
    this->erase(position);
}

void EndpointDirectory::erase(Endpoints::iterator position)
{
    this->removed.push_back(position->second.id);
    this->incarnations.erase(position->second.id);
    this->endpoints.erase(position);
}

}
