#include <LibRouting/RateSchedule.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Routing {

namespace {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mix(std::uint64_t hash, std::uint64_t number)
{
    return XXH3_64bits_withSeed(&hash, sizeof(hash), number);
}

}

BoxGroup::BoxGroup(std::string const& own, std::vector<std::string> const& names)
    : own(hash_of(own, 0))
{
    for (auto const& name : names) {
        if (name != own)
            this->others.push_back(hash_of(name, 0));
    }
}

std::size_t BoxGroup::rank(std::uint64_t number) const
{
    auto const own_key = mix(this->own, number);
    return static_cast<std::size_t>(
        std::ranges::count_if(this->others, [&](auto other) { return mix(other, number) < own_key; }));
}

std::uint64_t endpoint_turn(std::string_view endpoint, std::uint64_t turn)
{
    return hash_of(endpoint, turn);
}

RateSchedule::RateSchedule(double per_second)
    : per_second(std::max(per_second * allotted_share, min_per_second))
    , length(std::max(min_slot_length, Core::from_seconds(1 / this->per_second)))
{
}

std::uint64_t RateSchedule::slot_at(SharedMicroseconds now) const
{
    return now / static_cast<std::uint64_t>(this->length.count());
}

bool RateSchedule::is_second_half_of_slot(SharedMicroseconds now) const
{
    auto const slot = static_cast<std::uint64_t>(this->length.count());
    return now % slot >= slot / 2;
}

unsigned RateSchedule::allotment(std::uint64_t slot, std::string_view endpoint, BoxGroup const& boxes) const
{
    // NOTE: Fractions of a request add up over slots. The upper limit exceeds what boxes can send.
    constexpr double most_in_slot = 1e6;
    auto const in_slot = std::min(this->per_second * Core::to_seconds(this->length), most_in_slot);
    auto const whole = std::floor(in_slot);
    auto const fraction = in_slot - whole;
    constexpr std::uint64_t slots_to_add_up = 1000;
    auto const number = static_cast<double>(slot % slots_to_add_up);
    auto const carried = std::floor((number + 1) * fraction) - std::floor(number * fraction);
    auto const requests = static_cast<std::uint64_t>(whole + carried);
    auto const per_box = requests / boxes.size();
    auto const rank = boxes.rank(endpoint_turn(endpoint, slot));
    return static_cast<unsigned>(per_box + (rank < requests % boxes.size() ? 1 : 0));
}

}
