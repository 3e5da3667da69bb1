#include <LibGateway/CallWatchdog.h>

#include <algorithm>

namespace Gateway {

using Core::monotonic_now;

CallWatchdog::CallWatchdog(asio::io_context& context, CallTimeouts timeouts, OnTimeout on_timeout)
    : timer(context)
    , timeouts(timeouts)
    , on_timeout(std::move(on_timeout))
    , started(monotonic_now())
    , expires_at(this->started + timeouts.first_byte)
{
}

void CallWatchdog::start()
{
    this->arm();
}

void CallWatchdog::on_progress()
{
    auto const previous = std::exchange(
        this->expires_at, std::min(monotonic_now() + this->timeouts.idle, this->started + max_call_duration));
    // NOTE: A later expiry is checked when the timer fires, which is cheaper than resetting the timer for each piece.
    if (this->expires_at < previous)
        this->arm();
}

void CallWatchdog::finish()
{
    this->is_over = true;
    this->timer.cancel();
}

void CallWatchdog::arm()
{
    this->timer.expires_after(this->expires_at - monotonic_now());
    // NOTE: The handler may already be queued when the call ends and its connection is destroyed.
    this->timer.async_wait([self = this->shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->is_over)
            self->timer_ended();
    });
}

void CallWatchdog::timer_ended()
{
    if (monotonic_now() < this->expires_at)
        return this->arm();
    this->timed_out = true;
    this->on_timeout();
}

}
