#pragma once

#include <LibTraffic/TrafficTypes.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Traffic {

/// A queued request.
struct QueuedRequest {
    RequestFacts facts;
    TierId tier;
    /// Arrival number, which makes first come, first served exact.
    std::uint64_t sequence { 0 };
    Instant patience_end;
    /// Whether the request can no longer meet its target. Late requests are placed after the others.
    bool is_late { false };

    bool operator==(QueuedRequest const&) const = default;
};

/// Queued requests of one class and one client account, in order of arrival. Late requests form a flow of their own.
struct Flow {
    ClassId request_class;
    AccountId account;
    TierId tier;
    bool is_late { false };
    std::deque<QueuedRequest> requests;
};

/// All queued requests of a pool, grouped in flows and counted by class and tier.
class RequestQueue {
public:
    void push_back(QueuedRequest const& request);
    /// Puts a previously dispatched request back at the head of its flow.
    void push_front(QueuedRequest const& request);
    [[nodiscard]] std::optional<QueuedRequest> remove(RequestId request);
    /// Moves a request to the late flow of its class and account.
    void mark_late(RequestId request);
    /// Removes and returns all requests whose patience has ended at `now`.
    [[nodiscard]] std::vector<QueuedRequest> remove_expired(Instant now);

    [[nodiscard]] QueuedRequest const* find(RequestId request) const;
    [[nodiscard]] std::size_t size() const { return this->flow_of_request.size(); }
    [[nodiscard]] bool has_class(ClassId request_class) const { return this->size_of_class(request_class) > 0; }
    [[nodiscard]] std::size_t size_of_class(ClassId request_class) const;
    [[nodiscard]] std::map<ClassId, std::size_t> const& class_sizes() const { return this->size_by_class; }
    [[nodiscard]] std::size_t size_of_tier(TierId tier) const;
    /// Calls `callback` for each non-empty flow of the tier.
    void for_each_flow(TierId tier, std::function<void(Flow const&)> const& callback) const;
    [[nodiscard]] std::vector<TierId> tiers() const;
    /// The newest request of the lowest tier below `tier`, if any. It is shed first if the queue is full.
    [[nodiscard]] std::optional<RequestId> newest_below(TierId tier) const;

private:
    struct FlowKey {
        TierId tier;
        bool is_late { false };
        ClassId request_class;
        AccountId account;
        auto operator<=>(FlowKey const&) const = default;
    };

    [[nodiscard]] static FlowKey key_of(QueuedRequest const& request);
    Flow& flow_for(QueuedRequest const& request);
    void add_to_indexes(QueuedRequest const& request);

    std::map<FlowKey, Flow> flows;
    std::unordered_map<RequestId, FlowKey> flow_of_request;
    std::map<ClassId, std::size_t> size_by_class;
    std::map<TierId, std::size_t> size_by_tier;
    std::set<std::pair<Instant, RequestId>> expiries;
};

}
