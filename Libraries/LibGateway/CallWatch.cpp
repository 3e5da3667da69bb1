#include <LibGateway/CallWatch.h>

#include <algorithm>

namespace Gateway {

using Core::monotonic_now;

CallWatch::CallWatch(asio::io_context& context, CallTimeouts timeouts, OnTimeout on_timeout)
    : timer(context)
    , timeouts(timeouts)
    , on_timeout(std::move(on_timeout))
    , started(monotonic_now())
    , ends_at(this->started + timeouts.first_byte)
{
}

void CallWatch::start()
{
    this->arm();
}

void CallWatch::progressed()
{
    auto const previous
        = std::exchange(this->ends_at, std::min(monotonic_now() + this->timeouts.idle, this->started + longest_call));
    // NOTE: A later end is seen when the timer ends, which costs less than a new timer for each piece.
    if (this->ends_at < previous)
        this->arm();
}

void CallWatch::finish()
{
    this->is_over = true;
    this->timer.cancel();
}

void CallWatch::arm()
{
    this->timer.expires_after(this->ends_at - monotonic_now());
    // NOTE: The handler may still be queued when the call is over and its connection is gone.
    this->timer.async_wait([self = this->shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->is_over)
            self->timer_ended();
    });
}

void CallWatch::timer_ended()
{
    if (monotonic_now() < this->ends_at)
        return this->arm();
    this->timed_out = true;
    this->on_timeout();
}

}
