#pragma once

#include <LibTraffic/EndpointView.h>

#include <pcg_random.hpp>
#include <vector>

namespace Traffic {

/// The endpoints of one pool, in a vector so that a sample costs the same at 12 and at 1,900.
class EndpointTable {
public:
    /// Takes over new settings; an endpoint that is gone from them gets no new work and is dropped once idle.
    void reconfigure(PoolPolicy const& policy);

    [[nodiscard]] EndpointView* find(EndpointId endpoint);
    [[nodiscard]] EndpointView const* find(EndpointId endpoint) const;
    [[nodiscard]] std::size_t size() const { return this->ids.size(); }
    [[nodiscard]] EndpointId id_at(std::size_t index) const { return this->ids[index]; }
    [[nodiscard]] EndpointView const& view_at(std::size_t index) const { return this->views[index]; }
    /// Sum of the windows of endpoints that take work: requests that the pool runs at once for all boxes.
    [[nodiscard]] double total_window(Instant now) const;
    /// Requests believed to be at the endpoints that take work, of all boxes.
    [[nodiscard]] double total_estimated_running(Instant now) const;
    [[nodiscard]] bool any_accepts_work(Instant now) const;

private:
    std::vector<EndpointId> ids;
    std::vector<EndpointView> views;
    std::unordered_map<EndpointId, std::size_t> index_of;
};

}
