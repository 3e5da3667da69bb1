#include "DecisionPath.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations { 0 };

}

// Counts heap allocations of the decision path.
void* operator new(std::size_t size)
{
    ++allocations;
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
void operator delete(void* memory) noexcept
{
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

void one_request(benchmark::State& state)
{
    DecisionPath path(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    auto const before = allocations.load();
    while (state.KeepRunning())
        path.step();
    state.counters["allocations"]
        = benchmark::Counter(static_cast<double>(allocations.load() - before), benchmark::Counter::kAvgIterations);
}

void one_tick(benchmark::State& state)
{
    DecisionPath path(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    while (state.KeepRunning())
        path.tick();
}

}

BENCHMARK(one_request)->Args({ 12, 10 })->Args({ 110, 850 })->Args({ 1900, 850 })->Unit(benchmark::kMicrosecond);
BENCHMARK(one_tick)->Args({ 12, 10 })->Args({ 110, 850 })->Args({ 1900, 850 })->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
