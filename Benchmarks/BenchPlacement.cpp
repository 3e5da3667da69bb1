// Time to choose an engine by the number of engines, comparing all of them or a sample.

#include <LibRouting/Placement.h>
#include <benchmark/benchmark.h>

namespace {

using namespace Routing;

std::string const own_domain = "hall";

/// Engines of one service without known load.
struct Engines {
    explicit Engines(std::size_t count)
    {
        this->endpoints.reserve(count);
        this->candidates.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
            this->endpoints.push_back({ EndpointId { static_cast<std::uint32_t>(index + 1) },
                { "i-" + std::to_string(index), "pool", { "10.0.0.1", 80 }, own_domain, 32, false }, {}, false });
        for (auto const& endpoint : this->endpoints)
            this->candidates.push_back(&endpoint);
    }

    std::vector<KnownEndpoint> endpoints;
    std::vector<KnownEndpoint const*> candidates;
};

void choose(benchmark::State& state, double compared_share)
{
    auto const count = static_cast<std::size_t>(state.range(0));
    Engines const engines(count);
    LoadTable const loads;
    Workload const review { { { 1, 2500 }, { 7, 3800 }, { 8, 2900 } }, 9200, 54 };
    std::uint64_t sample_seed = 0;
    while (state.KeepRunning()) {
        PlacementQuery const query { review, true, count / 4, own_domain, Instant { std::chrono::seconds(100) }, {}, {},
            SlotRank::LeastUrgent, compared_share, ++sample_seed };
        benchmark::DoNotOptimize(choose_endpoint({ engines.candidates }, loads, query, {}));
    }
}

void compare_all(benchmark::State& state)
{
    choose(state, 1);
}

void compare_some(benchmark::State& state)
{
    constexpr double share_at_rare_reports = 0.05;
    choose(state, share_at_rare_reports);
}

}

BENCHMARK(compare_all)->Arg(9)->Arg(204)->Arg(1900);
BENCHMARK(compare_some)->Arg(9)->Arg(204)->Arg(1900);
BENCHMARK_MAIN();
