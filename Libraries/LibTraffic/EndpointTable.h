#pragma once

#include <LibTraffic/EndpointView.h>

#include <pcg_random.hpp>
#include <vector>

namespace Traffic {

/// The endpoints of one pool. A vector, so that drawing a random endpoint costs the same for 12 and for 1,900
/// endpoints.
class EndpointTable {
public:
    /// Applies new settings. An endpoint that they no longer list gets no new work and is removed once idle.
    void reconfigure(PoolPolicy const& policy);

    [[nodiscard]] EndpointView* find(EndpointId endpoint);
    [[nodiscard]] EndpointView const* find(EndpointId endpoint) const;
    [[nodiscard]] std::size_t size() const { return this->ids.size(); }
    [[nodiscard]] EndpointId id_at(std::size_t index) const { return this->ids[index]; }
    [[nodiscard]] EndpointView const& view_at(std::size_t index) const { return this->views[index]; }
    /// Sum of the windows of endpoints that accept work: concurrent requests of the pool, over all boxes.
    [[nodiscard]] double total_window(Instant now) const;
    /// Estimated number of requests of all boxes at endpoints that accept work.
    [[nodiscard]] double total_estimated_running(Instant now) const;
    [[nodiscard]] bool any_accepts_work(Instant now) const;

private:
    std::vector<EndpointId> ids;
    std::vector<EndpointView> views;
    std::unordered_map<EndpointId, std::size_t> index_of;
};

}
