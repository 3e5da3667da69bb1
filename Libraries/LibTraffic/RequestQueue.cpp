#include <LibTraffic/RequestQueue.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Traffic {

RequestQueue::FlowKey RequestQueue::key_of(QueuedRequest const& request)
{
    return { request.tier, request.is_late, request.facts.request_class, request.facts.account };
}

Flow& RequestQueue::flow_for(QueuedRequest const& request)
{
    auto const key = key_of(request);
    auto [at, inserted] = this->flows.try_emplace(key);
    if (inserted)
        at->second = Flow { key.request_class, key.account, key.tier, key.is_late, {} };
    return at->second;
}

void RequestQueue::add_to_indexes(QueuedRequest const& request)
{
    auto const key = key_of(request);
    auto const inserted = this->flow_of_request.emplace(request.facts.id, key).second;
    VERIFY(inserted);
    ++this->size_by_class[key.request_class];
    ++this->size_by_tier[key.tier];
    this->expiries.emplace(request.patience_end, request.facts.id);
}

void RequestQueue::push_back(QueuedRequest const& request)
{
    this->add_to_indexes(request);
    this->flow_for(request).requests.push_back(request);
}

void RequestQueue::push_front(QueuedRequest const& request)
{
    this->add_to_indexes(request);
    this->flow_for(request).requests.push_front(request);
}

std::optional<QueuedRequest> RequestQueue::remove(RequestId request)
{
    auto const found = this->flow_of_request.find(request);
    if (found == this->flow_of_request.end())
        return {};
    auto const flow = this->flows.find(found->second);
    VERIFY(flow != this->flows.end());
    auto& requests = flow->second.requests;
    auto const at
        = std::ranges::find_if(requests, [&](QueuedRequest const& queued) { return queued.facts.id == request; });
    VERIFY(at != requests.end());
    auto const removed = *at;
    requests.erase(at);
    --this->size_by_class[flow->first.request_class];
    --this->size_by_tier[flow->first.tier];
    this->expiries.erase({ removed.patience_end, request });
    if (requests.empty())
        this->flows.erase(flow);
    this->flow_of_request.erase(found);
    return removed;
}

void RequestQueue::mark_late(RequestId request)
{
    auto removed = this->remove(request);
    VERIFY(removed.has_value() && !removed->is_late);
    removed->is_late = true;
    this->push_back(*removed);
}

std::vector<QueuedRequest> RequestQueue::remove_expired(Instant now)
{
    std::vector<QueuedRequest> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        auto removed = this->remove(this->expiries.begin()->second);
        VERIFY(removed.has_value());
        expired.push_back(*removed);
    }
    return expired;
}

QueuedRequest const* RequestQueue::find(RequestId request) const
{
    auto const found = this->flow_of_request.find(request);
    if (found == this->flow_of_request.end())
        return nullptr;
    auto const& requests = this->flows.at(found->second).requests;
    auto const at
        = std::ranges::find_if(requests, [&](QueuedRequest const& queued) { return queued.facts.id == request; });
    return at == requests.end() ? nullptr : &*at;
}

std::size_t RequestQueue::size_of_class(ClassId request_class) const
{
    auto const found = this->size_by_class.find(request_class);
    return found == this->size_by_class.end() ? 0 : found->second;
}

std::size_t RequestQueue::size_of_tier(TierId tier) const
{
    auto const found = this->size_by_tier.find(tier);
    return found == this->size_by_tier.end() ? 0 : found->second;
}

void RequestQueue::for_each_flow(TierId tier, std::function<void(Flow const&)> const& callback) const
{
    auto const first = this->flows.lower_bound(FlowKey { tier, false, ClassId {}, AccountId {} });
    for (auto at = first; at != this->flows.end() && at->first.tier == tier; ++at)
        callback(at->second);
}

std::vector<TierId> RequestQueue::tiers() const
{
    std::vector<TierId> tiers;
    for (auto const& [tier, size] : this->size_by_tier) {
        if (size > 0)
            tiers.push_back(tier);
    }
    return tiers;
}

std::optional<RequestId> RequestQueue::newest_below(TierId tier) const
{
    if (this->flows.empty())
        return {};
    auto const lowest = this->flows.rbegin()->first.tier;
    if (lowest <= tier)
        return {};
    QueuedRequest const* newest = nullptr;
    this->for_each_flow(lowest, [&](Flow const& flow) {
        auto const& last = flow.requests.back();
        if (newest == nullptr || last.sequence > newest->sequence)
            newest = &last;
    });
    return newest->facts.id;
}

}
