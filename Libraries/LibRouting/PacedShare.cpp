#include <LibRouting/PacedShare.h>

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

constexpr SharedMicroseconds microseconds_per_second = 1'000'000;

/// The elapsed fraction of the current second.
double elapsed_share(SharedMicroseconds now)
{
    return static_cast<double>(now % microseconds_per_second) / static_cast<double>(microseconds_per_second);
}

/// Requests that a limit allows all boxes in a second. Fractions add up over the seconds.
double requests_in_second(double per_second, std::uint64_t second)
{
    constexpr std::uint64_t seconds_to_add_up = 1000;
    auto const number = static_cast<double>(second % seconds_to_add_up);
    return std::floor((number + 1) * per_second) - std::floor(number * per_second);
}

}

bool PacedShare::may_send(SharedLimit const& limit, SendPriority rank)
{
    this->enter_second(limit);
    auto const remaining = this->released(limit, elapsed_share(limit.now)) - this->sent;
    if (rank == SendPriority::High) {
        ++this->high_requests;
        return remaining >= 1;
    }
    constexpr double first_half = 0.5;
    bool const is_late = elapsed_share(limit.now) >= first_half;
    return remaining >= 1 + (is_late ? 0 : this->previous_high_requests);
}

void PacedShare::count_send(SharedLimit const& limit)
{
    this->enter_second(limit);
    ++this->sent;
}

void PacedShare::enter_second(SharedLimit const& limit)
{
    auto const current = limit.now / microseconds_per_second;
    if (current == this->second)
        return;
    this->previous_high_requests = current == this->second + 1 ? this->high_requests : 0;
    this->high_requests = 0;
    this->sent = 0;
    this->second = current;
    this->rank = limit.boxes.rank(endpoint_turn(limit.endpoint, current));
}

double PacedShare::released(SharedLimit const& limit, double elapsed) const
{
    // NOTE: The boxes take turns in the order of their ranks, as often as there are requests to release.
    auto const by_all = requests_in_second(limit.per_second, this->second) * elapsed;
    auto const turns = (by_all - static_cast<double>(this->rank)) / static_cast<double>(limit.boxes.size());
    return std::max(0.0, std::ceil(turns));
}

}
