#include <LibServer/Box.h>

#include <LibLog/EventLog.h>
#include <LibServer/FateService.h>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace Server {

namespace {

constexpr std::size_t kept_records = 200'000;
/// Share of the log's rate that the fates of all boxes together may use, in appends a second.
constexpr double appends_for_fates = 200;
constexpr auto tick_interval = std::chrono::milliseconds(5);

/// What the process may use, in bytes.
std::size_t memory_of(BoxSettings const& settings)
{
    constexpr std::size_t bytes_per_megabyte = 1000 * 1000;
    if (settings.memory_megabytes > 0)
        return settings.memory_megabytes * bytes_per_megabyte;
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Calls that may wait for slow callers, each with a thread and what the kernel holds of its answer.
std::size_t max_waiting_calls(BoxSettings const& settings)
{
    constexpr std::size_t bytes_per_call = 256 * 1024;
    constexpr std::size_t memory_per_waiting_calls = 8;
    constexpr std::size_t max_calls = 4096;
    return std::min(max_calls, memory_of(settings) / memory_per_waiting_calls / bytes_per_call);
}

/// Drawn anew by each process, so that no process takes another's claims for its own.
Fate::Incarnation new_incarnation(std::uint64_t seed)
{
    return Fate::Incarnation { pcg64(seed, 1)() };
}

}

Box::Box(BoxSettings const& settings, std::uint64_t seed)
    : records(kept_records)
    , threads(static_cast<std::size_t>(settings.threads), max_waiting_calls(settings))
    , loop(memory_of(settings))
    , keyed_attempts(std::make_unique<FateService>(
          FateServiceSettings { settings.platform, {}, appends_for_fates, 1 }, new_incarnation(seed), this->metrics))
    , box_state(settings, { this->upstream, this->metrics, this->records, this->threads, *this->keyed_attempts }, seed)
{
}

std::unique_ptr<Box> Box::try_create(BoxSettings const& settings, std::uint64_t seed, Core::LastReason& last_reason)
{
    std::unique_ptr<Box> box(new Box(settings, seed));
    box->callers = CallerServer::try_create(box->loop, box->box_state, seed, last_reason);
    if (!box->callers)
        return {};
    box->operators = OperatorServer::try_create(box->loop, box->box_state, last_reason);
    if (!box->operators || !box->write_ports_file(last_reason))
        return {};
    // NOTE: Calls to endpoints wait for callers that are slower than their answers, and hold a thread meanwhile.
    box->loop.close_slow_readers([self = box.get()] { return self->threads.queued(); });
    box->settings_follower = std::make_unique<SettingsFollower>(box->box_state);
    box->load_poller = std::make_unique<LoadPoller>(box->box_state);
    box->ticker = std::thread([self = box.get()] {
        while (!self->is_stopping) {
            for (auto const& shard : self->box_state.shards())
                shard->tick();
            std::this_thread::sleep_for(tick_interval);
        }
    });
    Log::EventLine("box_started")
        .with("port", box->callers->port())
        .with("operator_port", box->operators->port())
        .info();
    return box;
}

Box::~Box()
{
    if (this->callers)
        this->callers->stop();
    this->is_stopping = true;
    if (this->ticker.joinable())
        this->ticker.join();
    this->load_poller.reset();
    this->settings_follower.reset();
    if (this->operators)
        this->operators->stop();
    this->threads.shutdown();
}

bool Box::write_ports_file(Core::LastReason& last_reason) const
{
    auto const& path = this->box_state.settings().ports_file;
    if (path.empty())
        return true;
    // NOTE: Written aside and renamed, so that a reader never sees half of it.
    auto const draft = path + ".draft";
    std::ofstream(draft) << this->callers->port() << " " << this->operators->port() << "\n";
    if (std::rename(draft.c_str(), path.c_str()) == 0)
        return true;
    last_reason.text = "can't write the ports file " + path;
    return false;
}

void Box::drain(Core::Duration balancer_lag)
{
    Log::EventLine("drain_started").info();
    this->box_state.begin_drain();
    std::this_thread::sleep_for(balancer_lag);
    this->callers->stop();
    Log::EventLine("drain_finished").info();
}

}
