#include <LibMembership/ForwardingTargets.h>

#include <algorithm>

namespace Membership {

std::optional<BoxRecord> ForwardingTargets::choose(BoxDirectory const& boxes, std::string const& own,
    std::vector<std::string> const& asked, IsAllowed const& is_allowed,
    std::function<std::size_t(std::size_t)> const& draw, Instant now) const
{
    std::vector<BoxRecord const*> candidates;
    for (auto const& [name, box] : boxes.all()) {
        auto const unable = this->unable_until.find(name);
        bool const is_unable = unable != this->unable_until.end() && now < unable->second;
        if (name != own && box.forwarding_port != 0 && !is_unable && std::ranges::find(asked, name) == asked.end()
            && is_allowed(box.failure_domain))
            candidates.push_back(&box);
    }
    if (candidates.empty())
        return {};
    auto const* const first = candidates[draw(candidates.size())];
    auto const* const second = candidates[draw(candidates.size())];
    return first->link_bytes_per_second >= second->link_bytes_per_second ? *first : *second;
}

void ForwardingTargets::mark_unable(std::string const& name, Instant now)
{
    std::erase_if(this->unable_until, [now](auto const& entry) { return entry.second <= now; });
    this->unable_until[name] = now + unable_period;
}

}
