#include <LibLeader/SharedClock.h>

#include <algorithm>
#include <vector>

namespace Leader {

void SharedClock::start(std::uint64_t wall_unix_microseconds, Instant now)
{
    this->offset = offset_of(wall_unix_microseconds, now);
    this->clock_count = 1;
}

void SharedClock::add_sample(std::uint64_t process, std::uint64_t wall_unix_microseconds, Instant now)
{
    this->samples.insert_or_assign(process, Sample { offset_of(wall_unix_microseconds, now), now });
}

void SharedClock::update_from_samples(std::uint64_t own_wall_unix_microseconds, Instant now)
{
    std::erase_if(this->samples, [now](auto const& entry) { return now - entry.second.at > sample_retention; });
    std::vector<std::int64_t> offsets { offset_of(own_wall_unix_microseconds, now) };
    for (auto const& [process, sample] : this->samples)
        offsets.push_back(sample.offset);
    if (offsets.size() < min_clocks)
        return;
    auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    this->offset = *middle;
    this->clock_count = static_cast<unsigned>(offsets.size());
}

void SharedClock::adopt(std::uint64_t unix_microseconds, unsigned clocks, Instant now)
{
    if (clocks < min_clocks)
        return;
    this->offset = offset_of(unix_microseconds, now);
    this->clock_count = clocks;
}

std::uint64_t SharedClock::unix_microseconds(Instant now) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(this->offset + now.time_since_epoch().count(), 0));
}

}
