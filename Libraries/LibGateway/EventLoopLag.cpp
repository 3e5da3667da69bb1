#include <LibGateway/EventLoopLag.h>

#include <algorithm>

namespace Gateway {

Core::Duration EventLoopLag::measure()
{
    auto const now = Core::monotonic_now();
    if (this->measured_since)
        return std::max(this->average, now - *this->measured_since);
    this->measured_since = now;
    asio::post(this->context, [this] { this->add(Core::monotonic_now()); });
    return this->average;
}

void EventLoopLag::add(Core::Instant now)
{
    auto const lag = Core::to_seconds(now - *this->measured_since);
    auto const since_last = Core::to_seconds(now - std::exchange(this->last_measured, now));
    auto const weight = since_last / (since_last + Core::to_seconds(averaging_time));
    auto const before = Core::to_seconds(this->average);
    this->average = Core::from_seconds(before + (lag - before) * weight);
    this->measured_since.reset();
}

}
