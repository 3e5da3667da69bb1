#pragma once

#include <LibRecord/DecisionRing.h>
#include <LibServer/Metrics.h>
#include <LibServer/RequestFlow.h>
#include <LibServer/UpstreamCaller.h>
#include <LibServer/WorkerThreads.h>
#include <LibTraffic/TrafficEngine.h>

#include <functional>
#include <oneapi/tbb/concurrent_hash_map.h>

namespace Server {

/// The outcome of a keyed request that was not sent to an endpoint.
struct KeyedEnd {
    AttemptReport report;
    End end;
};

/// Runs one attempt of a not-repeatable request: claims its key, sends it, settles the key.
class KeyedAttempts {
public:
    using Send = std::function<AttemptReport()>;
    KeyedAttempts() = default;
    KeyedAttempts(KeyedAttempts const&) = delete;
    KeyedAttempts& operator=(KeyedAttempts const&) = delete;
    virtual ~KeyedAttempts() = default;
    /// The outcome of a request whose key is already settled, so that it need not be queued. May wait for a run of the
    /// same key elsewhere.
    [[nodiscard]] virtual std::optional<KeyedEnd> decide_before_queueing(RequestFlow const& flow) = 0;
    [[nodiscard]] virtual AttemptReport run(RequestFlow& flow, Send const& send) = 0;
    /// How many boxes share the log's rate.
    virtual void set_boxes(int boxes) = 0;
};

/// Dependencies that the shards of a box share.
struct ShardServices {
    UpstreamCaller& upstream;
    Metrics& metrics;
    Record::DecisionRing& records;
    WorkerThreads& threads;
    KeyedAttempts& keyed_attempts;
};

/// The traffic engine of one pool with its own lock. Carries out the engine's decisions.
class PoolShard {
public:
    PoolShard(std::string pool, Traffic::PoolPolicy policy, Core::Offset settings_version, std::uint64_t seed,
        ShardServices services);

    void reconfigure(Traffic::PoolPolicy policy, Core::Offset settings_version);
    /// `checks_keys`: whether the pool's endpoints themselves run each key at most once.
    void submit(std::shared_ptr<RequestFlow> const& flow, bool checks_keys);
    void abandon(RequestFlow& flow);
    void take_report(Core::EndpointId endpoint, Traffic::LoadReport const& report);
    void tick();
    void publish_status();

    [[nodiscard]] bool is_idle();
    [[nodiscard]] Traffic::PoolStatus status();
    [[nodiscard]] std::map<Core::EndpointId, Settings::EndpointSettings> endpoints();
    [[nodiscard]] std::string const& name() const { return this->pool; }

private:
    using FlowPointer = std::shared_ptr<RequestFlow>;
    using FlowTable = oneapi::tbb::concurrent_hash_map<std::uint64_t, FlowPointer>;

    [[nodiscard]] bool is_decided_already(RequestFlow& flow);
    void execute(Traffic::Actions const& actions);
    void carry_out(Traffic::Wait const& action);
    void carry_out(Traffic::Dispatch const& action);
    void carry_out(Traffic::Refuse const& action);
    void carry_out(Traffic::Preempt const& action);
    void carry_out(Traffic::Retry const& action);
    void carry_out(Traffic::Conclude const& action);
    void run_attempt(
        FlowPointer const& flow, Traffic::Dispatch const& action, Settings::EndpointSettings const& endpoint);
    [[nodiscard]] End end_of(RequestFlow& flow, Traffic::Conclude const& action) const;
    [[nodiscard]] FlowPointer find(Core::RequestId request);
    [[nodiscard]] FlowPointer take(Core::RequestId request);
    void record(RequestFlow const& flow, Record::DecisionKind kind, Core::Reason reason, std::string const& endpoint,
        Traffic::DecisionInputs const& figures);

    std::string pool;
    ShardServices services;
    std::atomic<std::uint64_t> settings_version;
    std::mutex mutex;
    Traffic::PoolPolicy policy;
    Traffic::TrafficEngine engine;
    FlowTable flows;
};

}
