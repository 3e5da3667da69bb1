#include <LibRouting/PromptMemory.h>

namespace Routing {

void PromptMemory::remember(std::vector<PromptPart> const& parts, Instant now)
{
    for (auto const& part : parts) {
        if (auto const found = this->by_id.find(part.id); found != this->by_id.end()) {
            found->second->used_at = now;
            this->newest_first.splice(this->newest_first.begin(), this->newest_first, found->second);
            continue;
        }
        this->newest_first.push_front({ part.id, now });
        this->by_id.emplace(part.id, this->newest_first.begin());
    }
    while (!this->newest_first.empty()
        && (this->by_id.size() > max_parts || now - this->newest_first.back().used_at > believed_kept)) {
        this->by_id.erase(this->newest_first.back().id);
        this->newest_first.pop_back();
    }
}

bool PromptMemory::holds(std::uint64_t part, Instant now) const
{
    auto const found = this->by_id.find(part);
    return found != this->by_id.end() && now - found->second->used_at <= believed_kept;
}

}
