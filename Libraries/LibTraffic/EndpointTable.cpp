#include <LibTraffic/EndpointTable.h>

#include <algorithm>

namespace Traffic {

void EndpointTable::reconfigure(PoolPolicy const& policy)
{
    std::vector<EndpointId> kept_ids;
    std::vector<EndpointView> kept_views;
    for (std::size_t index = 0; index < this->ids.size(); ++index) {
        auto& view = this->views[index];
        auto const found = policy.endpoints.find(this->ids[index]);
        if (found != policy.endpoints.end())
            view.set_settings(found->second, policy.routing.boxes);
        else if (view.own_running() == 0)
            continue;
        else
            view.set_leaving(true);
        kept_ids.push_back(this->ids[index]);
        kept_views.push_back(std::move(view));
    }
    for (auto const& [id, settings] : policy.endpoints) {
        if (std::ranges::find(kept_ids, id) != kept_ids.end())
            continue;
        kept_ids.push_back(id);
        kept_views.emplace_back(settings, policy.routing.boxes);
    }
    this->ids = std::move(kept_ids);
    this->views = std::move(kept_views);
    this->index_of.clear();
    for (std::size_t index = 0; index < this->ids.size(); ++index)
        this->index_of.emplace(this->ids[index], index);
}

EndpointView* EndpointTable::find(EndpointId endpoint)
{
    auto const found = this->index_of.find(endpoint);
    return found == this->index_of.end() ? nullptr : &this->views[found->second];
}

EndpointView const* EndpointTable::find(EndpointId endpoint) const
{
    auto const found = this->index_of.find(endpoint);
    return found == this->index_of.end() ? nullptr : &this->views[found->second];
}

double EndpointTable::total_window(Instant now) const
{
    double total = 0;
    for (auto const& view : this->views)
        total += view.accepts_work(now) ? view.window() : 0;
    return total;
}

double EndpointTable::total_estimated_running(Instant now) const
{
    double total = 0;
    for (auto const& view : this->views)
        total += view.accepts_work(now) ? view.estimated_running(now) : 0;
    return total;
}

bool EndpointTable::any_accepts_work(Instant now) const
{
    return std::ranges::any_of(this->views, [&](EndpointView const& view) { return view.accepts_work(now); });
}

}
