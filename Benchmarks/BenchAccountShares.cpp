// Time that shares of accounts add to the decision on a request, by the numbers of accounts and of other boxes.

#include <LibRouting/AccountShares.h>
#include <benchmark/benchmark.h>
#include <pcg_random.hpp>
#include <string>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t other_boxes = 985;

/// Accounts of which each has sent something at this box, and reports of other boxes.
struct Load {
    explicit Load(std::size_t count)
    {
        for (std::size_t account = 0; account < count; ++account)
            this->keys.push_back(account_key("account-" + std::to_string(account)));
        for (auto const key : this->keys) {
            this->shares.add_requested(key, 100 + this->random(10'000), this->now);
            this->shares.add_admitted(key, 100, this->now);
        }
        for (std::uint32_t box = 0; box < other_boxes; ++box)
            this->shares.apply_peer(box, this->report(), this->now);
    }

    AccountKey draw_key() { return this->keys[this->random(static_cast<std::uint32_t>(this->keys.size()))]; }
    AccountReport report()
    {
        AccountReport report;
        for (std::size_t index = 0; index < AccountShares::max_named; ++index)
            report.largest.push_back(
                { this->draw_key(), { 100.0 + this->random(10'000), 100.0 + this->random(10'000) } });
        report.rest = { 1000, 1000 };
        return report;
    }

    pcg32 random { 1 };
    std::vector<AccountKey> keys;
    AccountShares shares;
    Core::Instant now { seconds(100) };
};

/// A request, the decision on it and its admission, with a report of another box every second request.
void decide(benchmark::State& state)
{
    Load load(static_cast<std::size_t>(state.range(0)));
    std::uint64_t count = 0;
    while (state.KeepRunning()) {
        load.now += milliseconds(2);
        auto const key = load.draw_key();
        load.shares.add_requested(key, 1000, load.now);
        benchmark::DoNotOptimize(load.shares.standing(key, load.keys.size(), load.now));
        load.shares.add_admitted(key, 1000, load.now);
        if (++count % 2 == 0) {
            state.PauseTiming();
            load.shares.apply_peer(load.random(other_boxes), load.report(), load.now);
            state.ResumeTiming();
        }
    }
}

/// The slowest decision: the 128th half-life of 4 s has passed, and all sums are scaled back.
void decide_and_scale_back(benchmark::State& state)
{
    Load load(static_cast<std::size_t>(state.range(0)));
    static_cast<void>(load.shares.standing(load.keys.front(), load.keys.size(), load.now + seconds(1000)));
    load.now += seconds(1000);
    while (state.KeepRunning()) {
        state.PauseTiming();
        load.now += seconds(511);
        for (auto const key : load.keys)
            load.shares.add_requested(key, 1000, load.now);
        load.now += seconds(2);
        state.ResumeTiming();
        benchmark::DoNotOptimize(load.shares.standing(load.keys.front(), load.keys.size(), load.now));
    }
}

/// A box that was cut off from all others: their reports expire at the same time.
void decide_after_expiry(benchmark::State& state)
{
    Load load(static_cast<std::size_t>(state.range(0)));
    load.now += seconds(7);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(load.shares.standing(load.keys.front(), load.keys.size(), load.now));
}

void apply_report(benchmark::State& state)
{
    Load load(static_cast<std::size_t>(state.range(0)));
    auto const report = load.report();
    while (state.KeepRunning()) {
        load.now += milliseconds(2);
        load.shares.apply_peer(load.random(other_boxes), report, load.now);
    }
}

void own_report(benchmark::State& state)
{
    Load load(static_cast<std::size_t>(state.range(0)));
    while (state.KeepRunning())
        benchmark::DoNotOptimize(load.shares.own_report(load.now));
}

}

BENCHMARK(decide)->Arg(24)->Arg(5000);
BENCHMARK(decide_and_scale_back)->Arg(24)->Arg(5000)->Iterations(200);
BENCHMARK(decide_after_expiry)->Arg(24)->Arg(5000)->Iterations(60);
BENCHMARK(apply_report)->Arg(24)->Arg(5000);
BENCHMARK(own_report)->Arg(24)->Arg(5000);
BENCHMARK_MAIN();
