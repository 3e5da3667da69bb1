#pragma once

#include <LibServer/CallerServer.h>
#include <LibServer/LoadPoller.h>
#include <LibServer/OperatorServer.h>
#include <LibServer/SettingsFollower.h>

namespace Server {

/// One entry box with all its components, from start to graceful shutdown.
class Box {
public:
    [[nodiscard]] static std::unique_ptr<Box> try_create(
        BoxSettings const& settings, std::uint64_t seed, Core::LastReason& last_reason);
    ~Box();
    Box(Box const&) = delete;
    Box& operator=(Box const&) = delete;

    /// Shuts down gracefully: reports the box as not ready, serves new requests until the load balancer has noticed,
    /// closes the listener and finishes the requests in flight. Blocks until all are finished.
    void drain(Core::Duration balancer_lag);

    [[nodiscard]] BoxState& state() { return this->box_state; }

private:
    Box(BoxSettings const& settings, std::uint64_t seed);
    [[nodiscard]] bool write_ports_file(Core::LastReason& last_reason) const;

    Metrics metrics;
    Record::DecisionRing records;
    UpstreamCaller upstream;
    WorkerThreads threads;
    EventLoop loop;
    std::unique_ptr<KeyedAttempts> keyed_attempts;
    BoxState box_state;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<OperatorServer> operators;
    std::unique_ptr<SettingsFollower> settings_follower;
    std::unique_ptr<LoadPoller> load_poller;
    std::atomic<bool> is_stopping { false };
    std::thread ticker;
};

}
