#include <LibCore/Time.h>

#include <LibCore/Verify.h>

#include <array>
#include <atomic>
#include <charconv>
#include <ctime>

namespace Core {

namespace {

/// Total length of suspensions simulated by tests.
std::atomic<Duration::rep> simulated_suspension { 0 };

Instant read_clock(clockid_t clock)
{
    timespec time {};
    VERIFY(clock_gettime(clock, &time) == 0);
    auto const since_epoch = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant { std::chrono::duration_cast<Duration>(since_epoch) };
}

}

Instant monotonic_now()
{
    return read_clock(CLOCK_BOOTTIME) + Duration { simulated_suspension.load(std::memory_order_relaxed) };
}

Instant now_without_suspension()
{
    return read_clock(CLOCK_MONOTONIC);
}

void simulate_suspension(Duration length)
{
    simulated_suspension += length.count();
}

std::int64_t wall_clock_milliseconds()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

namespace {

struct Unit {
    std::string_view suffix;
    double microseconds;
};

// NOTE: "ms" comes before "s" and "m", so that the longest suffix is tried first.
constexpr std::array<Unit, 4> units { { { "ms", 1e3 }, { "s", 1e6 }, { "m", 6e7 }, { "h", 3.6e9 } } };
constexpr double max_duration_microseconds = 366.0 * 24 * 3.6e9;

}

std::optional<Duration> parse_duration(std::string_view text)
{
    for (auto const& unit : units) {
        if (!text.ends_with(unit.suffix))
            continue;
        auto const digits = text.substr(0, text.size() - unit.suffix.size());
        double number = 0;
        auto const result
            = std::from_chars(digits.data(), digits.data() + digits.size(), number, std::chars_format::fixed);
        if (result.ec != std::errc {} || result.ptr != digits.data() + digits.size())
            return {};
        auto const microseconds = number * unit.microseconds;
        if (!(microseconds >= 0 && microseconds <= max_duration_microseconds))
            return {};
        return Duration { static_cast<Duration::rep>(microseconds) };
    }
    return {};
}

double to_milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e3;
}

double to_seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

Duration from_seconds(double seconds)
{
    return Duration { static_cast<Duration::rep>(seconds * 1e6) };
}

}
