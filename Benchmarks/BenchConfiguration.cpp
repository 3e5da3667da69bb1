#include "LargeConfiguration.h"

#include <LibRouting/ConfigurationSnapshot.h>
#include <platform/StoreRecords.h>

#include <algorithm>
#include <benchmark/benchmark.h>
#include <boost/beast/core/detail/base64.hpp>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

// What the heap holds for the program, with the allocator's rounding; one thread only.
std::size_t bytes_held { 0 };
std::size_t peak_bytes_held { 0 };
std::size_t allocations { 0 };

}

// Counts what the work takes from the heap.
void* operator new(std::size_t size)
{
    auto* const memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    ++allocations;
    bytes_held += malloc_usable_size(memory);
    peak_bytes_held = std::max(peak_bytes_held, bytes_held);
    return memory;
}
void operator delete(void* memory) noexcept
{
    bytes_held -= malloc_usable_size(memory);
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

/// Runs the work once more beside the timing, and tells what it took from the heap at its peak and kept.
template <typename Work> void count_memory(benchmark::State& state, Work work)
{
    auto const held_before = bytes_held;
    auto const allocations_before = allocations;
    peak_bytes_held = bytes_held;
    auto const result = work();
    state.counters["peak_bytes"] = static_cast<double>(peak_bytes_held - held_before);
    state.counters["kept_bytes"] = static_cast<double>(bytes_held - held_before);
    state.counters["allocations"] = static_cast<double>(allocations - allocations_before);
}

LargeConfiguration record_for(benchmark::State const& state)
{
    return LargeConfiguration(static_cast<std::size_t>(state.range(0)));
}

Routing::Configuration decoded(std::string const& text)
{
    Core::LastReason reason;
    return Adapter::decode_configuration(text, reason).value();
}

template <typename Work> void time_work(benchmark::State& state, std::size_t bytes, Work work)
{
    while (state.KeepRunning()) {
        auto result = work();
        benchmark::DoNotOptimize(result);
        // What is decoded is dropped elsewhere.
        state.PauseTiming();
        result = {};
        state.ResumeTiming();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    count_memory(state, work);
}

void decode(benchmark::State& state)
{
    auto const record = record_for(state);
    time_work(state, record.text().size(), [&] {
        Core::LastReason reason;
        return Adapter::decode_configuration(record.text(), reason);
    });
}

void decode_page(benchmark::State& state)
{
    auto const record = record_for(state);
    auto const body = std::string(16, '\0') + Adapter::encode_record({ "config", record.text() });
    time_work(state, body.size(), [&] {
        Core::LastReason reason;
        return Adapter::decode_records(body, 0, reason);
    });
}

void decode_newest(benchmark::State& state)
{
    namespace base64 = boost::beast::detail::base64;
    auto const record = record_for(state);
    std::string encoded(base64::encoded_size(record.text().size()), '\0');
    encoded.resize(base64::encode(encoded.data(), record.text().data(), record.text().size()));
    auto const body = R"({"items":[{"tls_key":"config","value":")" + encoded + R"("}],"end":6})";
    time_work(state, body.size(), [&] {
        Core::LastReason reason;
        return Adapter::decode_newest(body, reason);
    });
}

void build_snapshot(benchmark::State& state)
{
    auto const record = record_for(state);
    while (state.KeepRunning()) {
        state.PauseTiming();
        auto configuration = decoded(record.text());
        state.ResumeTiming();
        auto snapshot = std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration));
        state.PauseTiming();
        snapshot.reset();
        state.ResumeTiming();
    }
    auto configuration = decoded(record.text());
    count_memory(
        state, [&] { return std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration)); });
}

void drop_snapshot(benchmark::State& state)
{
    auto const record = record_for(state);
    while (state.KeepRunning()) {
        state.PauseTiming();
        auto snapshot = std::make_shared<Routing::ConfigurationSnapshot const>(decoded(record.text()));
        state.ResumeTiming();
        snapshot.reset();
    }
}

/// From the record's text to the version in force, the one before it dropped: what stands still meanwhile.
void change(benchmark::State& state)
{
    auto const record = record_for(state);
    Routing::SharedConfiguration in_force;
    auto const renew = [&] {
        in_force = std::make_shared<Routing::ConfigurationSnapshot const>(decoded(record.text()));
        return in_force;
    };
    while (state.KeepRunning())
        renew();
    in_force.reset();
    count_memory(state, renew);
}

void find_route(benchmark::State& state)
{
    Routing::ConfigurationSnapshot const snapshot(decoded(record_for(state).text()));
    auto const& routes = snapshot.configuration().routes;
    // A step that has no factor in common with the number of routes, so that all are asked for and neighbours are not.
    constexpr std::size_t step = 7919;
    std::size_t index = 0;
    std::vector<std::string> targets;
    targets.reserve(routes.size());
    for (auto const& route : routes)
        targets.push_back(route.path_prefix + "2f");
    auto const allocations_before = allocations;
    while (state.KeepRunning()) {
        index = (index + step) % routes.size();
        benchmark::DoNotOptimize(snapshot.find_route(routes[index].host, targets[index]));
    }
    state.counters["allocations"]
        = benchmark::Counter(static_cast<double>(allocations - allocations_before), benchmark::Counter::kAvgIterations);
}

void longest_goal(benchmark::State& state)
{
    Routing::ConfigurationSnapshot const snapshot(decoded(record_for(state).text()));
    unsigned priority = 0;
    while (state.KeepRunning()) {
        priority = (priority + 1) % 3;
        benchmark::DoNotOptimize(snapshot.longest_goal("model", priority));
    }
}

void sizes(benchmark::internal::Benchmark* benchmark)
{
    for (auto const routes : { 50, 1000, 3000, 10000 })
        benchmark->Arg(routes);
}

/// For what is prepared or dropped anew around each timing, which takes longer than what is timed.
void sizes_prepared_anew(benchmark::internal::Benchmark* benchmark)
{
    constexpr int iterations = 40;
    sizes(benchmark);
    benchmark->Iterations(iterations)->Unit(benchmark::kMillisecond);
}

}

BENCHMARK(decode)->Apply(sizes_prepared_anew);
BENCHMARK(decode_page)->Apply(sizes_prepared_anew);
BENCHMARK(decode_newest)->Apply(sizes_prepared_anew);
BENCHMARK(build_snapshot)->Apply(sizes_prepared_anew);
BENCHMARK(drop_snapshot)->Apply(sizes_prepared_anew);
BENCHMARK(change)->Apply(sizes_prepared_anew);
BENCHMARK(find_route)->Apply(sizes);
BENCHMARK(longest_goal)->Apply(sizes);
BENCHMARK_MAIN();
