#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/ListConfirmations.h>

#include <unordered_map>

namespace Routing {

/// Endpoints whose process was seen to end. Another process, with other software, may have started under the id and at
/// the address since, and its entry may not have reached this box: it can't be written while the store is away.
class EndedProcesses {
public:
    void note(EndpointId id, Instant now) { this->ended_at.insert_or_assign(id, now); }
    void forget(EndpointId id) { this->ended_at.erase(id); }
    /// Whether the endpoint's entry may be that of the process which ended.
    [[nodiscard]] bool is_entry_outdated(EndpointId id, ListConfirmations const& list) const
    {
        auto const found = this->ended_at.find(id);
        return found != this->ended_at.end() && !list.is_known_for(max_entry_age, found->second);
    }

private:
    /// A process writes its entry when it starts, and within two seconds of the store's return. The entry of one that
    /// ended lapses after three missed heartbeats, which are more than a second apart.
    static constexpr Duration max_entry_age { std::chrono::seconds(4) };

    std::unordered_map<EndpointId, Instant> ended_at;
};

}
