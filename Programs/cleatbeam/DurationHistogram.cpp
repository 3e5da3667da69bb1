#include "DurationHistogram.h"

#include <algorithm>
#include <cmath>

namespace {

constexpr double smallest_milliseconds = 0.1;
constexpr double growth = 1.05;
/// The last class ends above 0.1 ms * 1.05^357, which is an hour.
constexpr std::size_t class_count = 358;

std::size_t class_of(double milliseconds)
{
    if (milliseconds <= smallest_milliseconds)
        return 0;
    auto const index = std::log(milliseconds / smallest_milliseconds) / std::log(growth);
    return std::min(static_cast<std::size_t>(std::min(index, static_cast<double>(class_count))), class_count - 1);
}

/// The geometric mean of the ends of a class.
double middle_of(std::size_t index)
{
    return smallest_milliseconds * std::pow(growth, static_cast<double>(index) + 0.5);
}

}

void DurationHistogram::add(double milliseconds)
{
    this->counts.resize(class_count);
    ++this->counts[class_of(milliseconds)];
    ++this->total;
}

void DurationHistogram::add(DurationHistogram const& other)
{
    if (other.counts.empty())
        return;
    this->counts.resize(class_count);
    for (std::size_t index = 0; index < class_count; ++index)
        this->counts[index] += other.counts[index];
    this->total += other.total;
}

std::optional<double> DurationHistogram::percentile(double share) const
{
    if (this->total == 0)
        return {};
    auto const rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total)));
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < class_count; ++index) {
        below += this->counts[index];
        if (below >= std::max<std::uint64_t>(rank, 1))
            return middle_of(index);
    }
    return middle_of(class_count - 1);
}
