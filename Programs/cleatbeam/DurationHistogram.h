#pragma once

#include <cstdint>
#include <optional>
#include <vector>

/// Counts durations in classes that each end 5% above their start, from 0.1 ms to an hour, in bounded memory.
/// Percentiles are exact to 2.5%.
class DurationHistogram {
public:
    void add(double milliseconds);
    void add(DurationHistogram const& other);

    /// The duration in milliseconds that this share (0 to 1) of the durations doesn't exceed. Nothing if there are
    /// none.
    [[nodiscard]] std::optional<double> percentile(double share) const;

    bool operator==(DurationHistogram const&) const = default;

private:
    /// Empty until the first duration is added.
    std::vector<std::uint32_t> counts;
    std::uint64_t total { 0 };
};
