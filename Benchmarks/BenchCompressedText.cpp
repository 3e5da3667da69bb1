#include <LibMembership/CompressedText.h>
#include <array>
#include <benchmark/benchmark.h>
#include <pcg_random.hpp>

namespace {

using Membership::CompressedText;

std::string letters(pcg32& random, int count)
{
    std::string made;
    for (int letter = 0; letter < count; ++letter)
        made += static_cast<char>('a' + random(26));
    return made;
}

/// An operator's record with routes of 36 hosts, each with a random path prefix.
std::string record_of(std::int64_t routes)
{
    constexpr std::array kinds { "idempotent", "non_idempotent", "streaming" };
    pcg32 random(7);
    std::array<std::string, 36> hosts;
    for (auto& host : hosts)
        host = letters(random, 6) + ".example";
    std::string text = R"({"version":13,"services":[],"routes":[)";
    for (std::int64_t number = 0; number < routes; ++number) {
        text += number == 0 ? "" : ",";
        text += R"({"name":"r)" + std::to_string(number) + R"(","host":")" + hosts.at(random(hosts.size()))
            + R"(","path_prefix":"/)" + letters(random, 8) + R"(/","kind":")" + kinds.at(random(3)) + R"(","service":")"
            + (random(3) == 0 ? "field-desk" : "model-pool") + R"(","timeout_ms":)"
            + std::to_string(600 + 100 * random(40)) + R"(,"goal_ms":)" + std::to_string(100 + 20 * random(20))
            + R"(,"max_attempts":)" + std::to_string(1 + random(3)) + R"(,"priority":)" + std::to_string(random(4))
            + "}";
    }
    return text + "]}";
}

void compress(benchmark::State& state)
{
    auto const text = record_of(state.range(0));
    Core::LastReason reason;
    std::size_t size = 0;
    while (state.KeepRunning())
        size = CompressedText::of(text, reason)->bytes().size();
    state.counters["bytes"] = static_cast<double>(text.size());
    state.counters["compressed"] = static_cast<double>(size);
}

void decompress(benchmark::State& state)
{
    Core::LastReason reason;
    auto const compressed = CompressedText::of(record_of(state.range(0)), reason);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(compressed->text(reason));
}

}

BENCHMARK(compress)->Arg(1000)->Arg(2850)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK(decompress)->Arg(1000)->Arg(2850)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
