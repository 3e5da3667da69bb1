#include <LibLeader/SharedClock.h>

#include <algorithm>
#include <vector>

namespace Leader {

void SharedClock::start(std::uint64_t wall_unix_microseconds, Instant now)
{
    this->offset = offset_of(wall_unix_microseconds, now);
    this->of_clocks = 1;
}

void SharedClock::hear(std::uint64_t process, std::uint64_t wall_unix_microseconds, Instant now)
{
    this->told.insert_or_assign(process, Told { offset_of(wall_unix_microseconds, now), now });
}

void SharedClock::agree(std::uint64_t own_wall_unix_microseconds, Instant now)
{
    std::erase_if(this->told, [now](auto const& entry) { return now - entry.second.at > memory; });
    std::vector<std::int64_t> offsets { offset_of(own_wall_unix_microseconds, now) };
    for (auto const& [process, heard] : this->told)
        offsets.push_back(heard.offset);
    if (offsets.size() < fewest_clocks)
        return;
    auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    this->offset = *middle;
    this->of_clocks = static_cast<unsigned>(offsets.size());
}

void SharedClock::follow(std::uint64_t unix_microseconds, unsigned clocks, Instant now)
{
    if (clocks < fewest_clocks)
        return;
    this->offset = offset_of(unix_microseconds, now);
    this->of_clocks = clocks;
}

std::uint64_t SharedClock::unix_microseconds(Instant now) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(this->offset + now.time_since_epoch().count(), 0));
}

}
