#include <LibGateway/CompressedEndpointList.h>

#include <LibLog/EventLog.h>

#include <map>

namespace Gateway {

using Core::monotonic_now;

CompressedEndpointList::Snapshot const* CompressedEndpointList::update(Membership::EndpointJournal const& journal)
{
    if (!this->is_current(journal))
        this->compress(journal);
    return this->snapshot ? &*this->snapshot : nullptr;
}

bool CompressedEndpointList::is_current(Membership::EndpointJournal const& journal) const
{
    if (!this->snapshot || !journal.knows_since(this->snapshot->revision))
        return false;
    auto const changes = journal.changes_since(this->snapshot->revision).changes.size();
    return static_cast<double>(changes) <= static_cast<double>(journal.size()) * max_changed_share;
}

void CompressedEndpointList::compress(Membership::EndpointJournal const& journal)
{
    auto const begun_at = monotonic_now();
    this->snapshot.reset();
    auto const list = journal.changes_since(0);
    auto const text = Membership::encode(list.changes);
    Core::LastReason reason;
    auto compressed = Membership::CompressedText::of(text, reason);
    if (!compressed) {
        Log::EventLine("endpoints_not_compressed").with("reason", reason.text).warning();
        return;
    }
    Log::EventLine("endpoints_compressed")
        .with("count", list.changes.size())
        .with("bytes", text.size())
        .with("compressed_bytes", compressed->bytes().size())
        .with("took_ms", Core::to_milliseconds(monotonic_now() - begun_at))
        .info();
    this->snapshot = Snapshot { list.revision, std::move(*compressed) };
}

std::optional<std::vector<Routing::EndpointRecord>> whole_endpoint_list(
    Membership::ControlAnswer const& answer, Core::LastReason& last_reason)
{
    std::map<std::string, Routing::EndpointRecord> listed;
    auto const apply = [&listed](std::vector<Membership::EndpointChange> const& changes) {
        for (auto const& change : changes) {
            if (change.record)
                listed.insert_or_assign(change.incarnation, *change.record);
            else
                listed.erase(change.incarnation);
        }
    };
    if (answer.endpoint_list) {
        auto const text = answer.endpoint_list->text(last_reason);
        if (!text)
            return {};
        auto const endpoints = Membership::decode_endpoints(*text);
        if (!endpoints) {
            last_reason.text = "not a list of endpoints";
            return {};
        }
        apply(*endpoints);
    }
    apply(answer.endpoints.changes);
    std::vector<Routing::EndpointRecord> records;
    records.reserve(listed.size());
    for (auto& [incarnation, record] : listed)
        records.push_back(std::move(record));
    return records;
}

}
