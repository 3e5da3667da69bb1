#include <TestMain.h>

#include <LibLeader/SharedClock.h>
#include <LibLeader/UsageCounts.h>

using namespace Leader;

namespace {

Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

constexpr std::uint64_t second = 1'000'000;
constexpr std::uint64_t some_day = 1'790'000'000 * second;

}

TEST_CASE("windows follow one another since 1970")
{
    constexpr Duration length { std::chrono::seconds(5) };
    CHECK(window_at(0, length) == 0);
    CHECK(window_at(5 * second - 1, length) == 0);
    CHECK(window_at(5 * second, length) == 1);
    CHECK(end_of_window(1, length) == 10 * second);
    CHECK(window_at(5 * second, Duration { 0 }) == 0);
}

TEST_CASE("repeated, late or reordered counts are added once")
{
    UsageLedger ledger;
    ledger.merge(1, { { 7, { { "a", 4 }, { "b", 1 } } } });
    ledger.merge(1, { { 7, { { "a", 2 } } } });
    ledger.merge(1, { { 7, { { "a", 4 } } }, { 8, { { "a", 1 } } } });
    ledger.merge(2, { { 7, { { "a", 3 } } } });
    CHECK(ledger.total(7) == AccountCounts { { "a", 7 }, { "b", 1 } });
    CHECK(ledger.total(8) == AccountCounts { { "a", 1 } });
    CHECK(ledger.total(9).empty());
    CHECK(ledger.processes(7) == 2);
}

TEST_CASE("a restarted box counts as another process beside its previous one")
{
    UsageLedger ledger;
    ledger.merge(1, { { 7, { { "a", 4 } } } });
    ledger.merge(11, { { 7, { { "a", 2 } } } });
    CHECK(ledger.total(7).at("a") == 6);
}

TEST_CASE("a box keeps the counts of the last windows for a new leader")
{
    auto const windows_kept = [](UsageSchedule const& schedule) {
        UsageCounts counts;
        for (std::uint64_t window = 1; window <= 20; ++window)
            counts.add("a", window, schedule);
        CHECK(counts.windows().begin()->first == 21 - counts.windows().size());
        return counts.windows().size();
    };
    CHECK(windows_kept({ std::chrono::seconds(5), std::chrono::seconds(10) }) == 8);
    CHECK(windows_kept({ std::chrono::seconds(1), std::chrono::seconds(10) }) == 16);
}

TEST_CASE("a clock that steps does not move windows while most clocks are right")
{
    SharedClock clock;
    clock.start(some_day, at(0));
    for (std::uint64_t process = 1; process <= 6; ++process) {
        auto const step = process <= 2 ? 2 * second : 0;
        clock.add_sample(process, some_day + second + step, at(1000));
    }
    // The leader's own clock has stepped back by three seconds.
    clock.update_from_samples(some_day - 2 * second, at(1000));
    CHECK(clock.unix_microseconds(at(1000)) == some_day + second);
    CHECK(clock.clocks() == 7);
}

TEST_CASE("few clocks have no reliable median")
{
    SharedClock clock;
    clock.start(some_day, at(0));
    clock.add_sample(1, some_day + 5 * second, at(0));
    clock.update_from_samples(some_day + 9 * second, at(0));
    CHECK(clock.unix_microseconds(at(0)) == some_day);
    clock.adopt(some_day + 9 * second, 2, at(0));
    CHECK(clock.unix_microseconds(at(0)) == some_day);
    clock.adopt(some_day + 9 * second, 5, at(0));
    CHECK(clock.unix_microseconds(at(500)) == some_day + 9 * second + second / 2);
}

TEST_CASE("clocks of boxes without recent samples are ignored")
{
    SharedClock clock;
    clock.start(some_day, at(0));
    for (std::uint64_t process = 1; process <= 6; ++process)
        clock.add_sample(process, some_day + 7 * second, at(0));
    clock.update_from_samples(some_day + 20 * second, at(20'000));
    CHECK(clock.unix_microseconds(at(20'000)) == some_day + 20 * second);
}
