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

/// Requests that endpoints began for this box, by usage window and client account.
class UsageCounts {
public:
    void add(std::string const& account, std::uint64_t window);
    [[nodiscard]] std::map<std::uint64_t, AccountCounts> const& windows() const { return this->counts; }

private:
    /// Covers more than the time by which a report may be late, so that a new leader receives all counts without a
    /// report.
    static constexpr std::size_t max_windows = 8;

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
