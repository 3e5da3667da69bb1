#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// Requests by client account.
using AccountCounts = std::map<std::string, std::uint64_t>;

/// The usage window that contains this moment; windows follow one another since the start of 1970.
[[nodiscard]] constexpr std::uint64_t window_at(std::uint64_t unix_microseconds, Duration window_length)
{
    return window_length > Duration { 0 } ? unix_microseconds / static_cast<std::uint64_t>(window_length.count()) : 0;
}

/// The moment at which a window ends, in Unix microseconds.
[[nodiscard]] constexpr std::uint64_t end_of_window(std::uint64_t window, Duration window_length)
{
    return (window + 1) * static_cast<std::uint64_t>(window_length.count());
}

/// The length of usage windows, and how long after its end a window's report is due.
struct UsageSchedule {
    Duration window_length { 0 };
    Duration due { 0 };

    bool operator==(UsageSchedule const&) const = default;

    /// Windows before the one in progress whose report may still be in time.
    [[nodiscard]] std::uint64_t windows_until_due() const
    {
        return this->window_length > Duration { 0 } ? static_cast<std::uint64_t>(this->due / this->window_length) : 0;
    }
};

/// Requests that endpoints began for this box, by usage window and client account.
class UsageCounts {
public:
    void add(std::string const& account, std::uint64_t window, UsageSchedule const& schedule);
    [[nodiscard]] std::map<std::uint64_t, AccountCounts> const& windows() const { return this->counts; }

private:
    /// Windows that are kept besides those whose report may still be in time, so that a new leader receives all counts
    /// without a report.
    static constexpr std::uint64_t further_windows = 6;

    std::map<std::uint64_t, AccountCounts> counts;
};

/// Usage counts of all boxes, by window and process. Merging the same counts again changes nothing, and late or
/// reordered messages never reduce a count.
class UsageLedger {
public:
    void merge(std::uint64_t process, std::map<std::uint64_t, AccountCounts> const& reported);
    [[nodiscard]] AccountCounts total(std::uint64_t window) const;
    /// Removes earlier windows.
    void forget_before(std::uint64_t window);
    /// Number of processes that reported counts of a window.
    [[nodiscard]] std::size_t processes(std::uint64_t window) const;

private:
    std::map<std::uint64_t, std::map<std::uint64_t, AccountCounts>> by_window;
};

}
