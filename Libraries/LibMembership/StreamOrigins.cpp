#include <LibMembership/StreamOrigins.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Membership {

void StreamOrigins::put(KnownStream const& known, Instant now)
{
    this->entries.insert_or_assign(known.stream, Entry { known.origin, now + known.valid_for });
    if (this->entries.size() <= max_entries)
        return;
    this->expire(now);
    if (this->entries.size() > max_entries)
        this->entries.erase(
            std::ranges::min_element(this->entries, {}, [](auto const& entry) { return entry.second.expires_at; }));
}

std::optional<KnownStream> StreamOrigins::find(StreamId stream, Instant now) const
{
    auto const found = this->entries.find(stream);
    if (found == this->entries.end() || found->second.expires_at <= now)
        return {};
    return KnownStream { stream, found->second.origin, found->second.expires_at - now };
}

std::vector<KnownStream> StreamOrigins::all(Instant now) const
{
    std::vector<KnownStream> known;
    known.reserve(this->entries.size());
    for (auto const& [stream, entry] : this->entries) {
        if (entry.expires_at > now)
            known.push_back({ stream, entry.origin, entry.expires_at - now });
    }
    return known;
}

void StreamOrigins::expire(Instant now)
{
    std::erase_if(this->entries, [now](auto const& entry) { return entry.second.expires_at <= now; });
}

std::vector<BoxRecord> stream_holders(
    BoxDirectory const& boxes, std::string const& own, StreamId stream, std::size_t count)
{
    struct Ranked {
        std::uint64_t rank;
        BoxRecord const* box;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(boxes.size());
    for (auto const& [name, box] : boxes.all()) {
        if (name != own)
            ranked.push_back({ XXH3_64bits_withSeed(name.data(), name.size(), stream.account ^ stream.attempt), &box });
    }
    std::ranges::sort(ranked, {}, &Ranked::rank);
    std::set<std::string> domains;
    std::stable_partition(ranked.begin(), ranked.end(),
        [&domains](Ranked const& entry) { return domains.insert(entry.box->failure_domain).second; });
    std::vector<BoxRecord> holders;
    for (auto const& entry : ranked) {
        if (holders.size() == count)
            break;
        holders.push_back(*entry.box);
    }
    return holders;
}

}
