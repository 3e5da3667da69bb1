#pragma once

#include <LibTraffic/Admission.h>
#include <LibTraffic/Order.h>
#include <LibTraffic/Placement.h>

namespace Traffic {

/// Status of a pool, for operators.
struct PoolStatus {
    std::size_t queued { 0 };
    std::size_t running { 0 };
    /// Endpoints that accept no new work because they are shutting down.
    std::size_t leaving { 0 };
    std::map<ClassId, std::size_t> queued_by_class;
    std::uint64_t lower_tier_sheds { 0 };
    std::uint64_t urgent_refusals_beside_lower_work { 0 };
};

/// Schedules all requests of one pool on one box: admission, queueing, placement, retries, preemption and refusal.
///
/// Does no I/O: takes an event and the time, returns actions. The calling code carries out the actions and reports
/// their results. Each submitted request ends in exactly one Refuse or Conclude.
class TrafficEngine {
public:
    TrafficEngine(PoolPolicy policy, std::uint64_t seed);

    /// Applies new settings; queued and running requests are kept.
    void reconfigure(PoolPolicy policy, Instant now);

    [[nodiscard]] Actions submit(RequestFacts const& facts, Instant now);
    /// The first token of an answer was received.
    void observe_first_token(RequestId request, Instant now);
    /// An attempt ended.
    [[nodiscard]] Actions finish(RequestId request, AttemptEnd const& end, Instant now);
    /// The client of a queued request has disconnected. A running request ends through finish().
    [[nodiscard]] Actions cancel(RequestId request, Instant now);
    [[nodiscard]] Actions apply_report(EndpointId endpoint, LoadReport const& report, Instant now);
    /// Refuses requests that waited too long and places what can be placed. Call every few milliseconds.
    [[nodiscard]] Actions tick(Instant now);

    [[nodiscard]] PoolStatus status() const;
    [[nodiscard]] bool is_idle() const { return this->queue.size() == 0 && this->running.empty(); }
    [[nodiscard]] EndpointTable const& endpoint_table() const { return this->endpoints; }

private:
    struct Running {
        QueuedRequest request;
        EndpointId endpoint;
        Instant dispatched_at;
        std::uint32_t attempt { 1 };
        bool placed_by_floor { false };
        bool partly_delivered { false };
        bool first_token_seen { false };
        bool preempted { false };
    };
    /// Sums over all endpoints, updated only with each tick because they cost a pass over the endpoints.
    struct PoolLoad {
        double window { 0 };
        double estimated_running { 0 };
    };
    struct RetryState {
        std::uint32_t attempts { 0 };
        std::optional<EndpointId> avoided_endpoint;
    };

    [[nodiscard]] Settings::ClassSettings const& class_of(RequestFacts const& facts) const
    {
        return this->policy.classes.at(facts.request_class);
    }
    [[nodiscard]] ClassEstimates const& estimates_of(RequestFacts const& facts) const
    {
        return this->estimates.at(facts.request_class);
    }
    [[nodiscard]] OrderQuery order_query(Instant now) const;
    [[nodiscard]] Duration predicted_wait(QueuedRequest const& request, Instant now) const;
    [[nodiscard]] DecisionInputs inputs_for(QueuedRequest const& request, Instant now) const;

    void choose_policies();
    void update_pool_load(Instant now);
    /// The limit to apply, or nothing if the request may not be placed. Within this box's share of the pool, load
    /// reports do not restrict placement.
    [[nodiscard]] std::optional<WindowLimit> limit_within_own_share(WindowLimit const& limit) const;
    void add_estimates();
    void enqueue(QueuedRequest const& request, bool at_front);
    void shed_lower_tier_request(TierId tier, Actions& actions, Instant now);
    void dispatch_queued(Actions& actions, Instant now, std::optional<EndpointId> suggested_endpoint = {});
    [[nodiscard]] bool place(
        OrderChoice const& choice, Actions& actions, Instant now, std::optional<EndpointId> suggested_endpoint);
    void dispatch(
        QueuedRequest const& request, PlacementChoice const& place, Reason reason, Actions& actions, Instant now);
    void charge(QueuedRequest const& request, Reason reason);
    void preempt_for_urgent(Actions& actions, Instant now);
    [[nodiscard]] std::optional<RequestId> preemption_victim(TierId below) const;
    void handle_late_requests(Actions& actions, Instant now);
    void refuse(QueuedRequest const& request, Reason reason, Actions& actions, Instant now);
    void count_urgent_refusal(QueuedRequest const& request);
    [[nodiscard]] Reason retry_reason(Running const& running, AttemptResult result, Instant now, bool& allowed);
    void observe_end(Running const& running, AttemptResult result, Instant now);

    PoolPolicy policy;
    pcg32 random;
    EndpointTable endpoints;
    RequestQueue queue;
    std::unordered_map<RequestId, Running> running;
    std::unordered_map<RequestId, RetryState> retries;
    std::map<ClassId, ClassEstimates> estimates;
    FairShares shares;
    FloorLedger floors;
    RetryBudget retry_budget;
    DemandMeter demand;
    TierLimits limits {};
    PoolLoad load;
    OrderPolicy order;
    PlacementPolicy placement;
    AdmissionPolicy admission;
    bool is_baseline { false };
    std::uint64_t next_sequence { 0 };
    std::uint64_t lower_tier_sheds { 0 };
    std::uint64_t urgent_refusals_beside_lower_work { 0 };
};

}
