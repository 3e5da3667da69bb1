#include <LibRouting/EndpointReachability.h>

#include <algorithm>
#include <utility>

namespace Routing {

EndpointReachability::Change EndpointReachability::connected(Instant opened_at)
{
    if (opened_at < this->last_failed_attempt)
        return Change::None;
    this->last_connected = std::max(this->last_connected, opened_at);
    this->failed.clear();
    return std::exchange(this->cut_off, false) ? Change::Restored : Change::None;
}

EndpointReachability::Change EndpointReachability::answered(Instant opened_at)
{
    if (opened_at >= this->last_failed_attempt)
        this->confirmation = min_confirmation;
    return this->connected(opened_at);
}

EndpointReachability::Change EndpointReachability::new_connection_broke(
    EndpointId endpoint, BrokenConnection const& broken, std::size_t endpoint_count)
{
    this->confirmation = std::clamp(2 * (broken.broken_at - broken.opened_at), this->confirmation, max_confirmation);
    return this->connect_failed(endpoint, broken.began, endpoint_count);
}

EndpointReachability::Change EndpointReachability::connect_failed(
    EndpointId endpoint, Instant began, std::size_t endpoint_count)
{
    if (this->has_connected_since(began))
        return Change::None;
    this->last_failed_attempt = std::max(this->last_failed_attempt, began);
    if (this->is_cut_off())
        return Change::None;
    if (std::ranges::find(this->failed, endpoint) == this->failed.end())
        this->failed.push_back(endpoint);
    if (this->failed.size() < std::min(min_failed_endpoints, endpoint_count))
        return Change::None;
    this->cut_off = true;
    return Change::CutOff;
}

}
