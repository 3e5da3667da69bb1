#pragma once

#include <LibServer/CallerServer.h>
#include <LibServer/LoadPoller.h>
#include <LibServer/OperatorServer.h>
#include <LibServer/SettingsFollower.h>

namespace Server {

/// One entry box: all parts of it, from start to planned stop.
class Box {
public:
    [[nodiscard]] static std::unique_ptr<Box> try_create(
        BoxSettings const& settings, std::uint64_t seed, Core::LastReason& last_reason);
    ~Box();
    Box(Box const&) = delete;
    Box& operator=(Box const&) = delete;

    /// Planned stop: not ready for the balancer, new work taken through its lag, then no listener, then what is in
    /// flight is finished. Blocks until all is done.
    void drain(Core::Duration balancer_lag);

    [[nodiscard]] BoxState& state() { return this->box_state; }

private:
    Box(BoxSettings const& settings, std::uint64_t seed);
    [[nodiscard]] bool write_ports_file(Core::LastReason& last_reason) const;

    Metrics metrics;
    Record::DecisionRing records;
    UpstreamCaller upstream;
    std::unique_ptr<httplib::ThreadPool> threads;
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
