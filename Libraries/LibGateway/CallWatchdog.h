#pragma once

#include <LibGateway/Asio.h>

#include <functional>

namespace Gateway {

/// How long a call may go without progress. The whole transfer has no such limit: a cancelled transfer restarts from
/// its first byte, so an answer too large for the link to carry within the limit would never arrive.
struct CallTimeouts {
    /// From the call to the first byte of its answer.
    Core::Duration first_byte { 0 };
    /// Between two received pieces of an answer.
    Core::Duration idle { 0 };

    bool operator==(CallTimeouts const&) const = default;
};

/// Cancels a call that makes no progress.
class CallWatchdog : public std::enable_shared_from_this<CallWatchdog> {
public:
    /// Cancels the call.
    using OnTimeout = std::function<void()>;

    CallWatchdog(asio::io_context& context, CallTimeouts timeouts, OnTimeout on_timeout);

    void start();
    /// Must be called for each received piece of the answer.
    void on_progress();
    /// Must be called when the call has ended. OnTimeout is not called afterwards.
    void finish();
    [[nodiscard]] bool has_timed_out() const { return this->timed_out; }
    [[nodiscard]] Core::Duration elapsed() const { return Core::monotonic_now() - this->started; }

private:
    void arm();
    void timer_ended();

    /// Bounds an answer that trickles in: twice the transfer time of the largest answer (16 MB) over a link of 10
    /// Mbit/s.
    static constexpr Core::Duration max_call_duration { std::chrono::seconds(27) };

    asio::steady_timer timer;
    CallTimeouts timeouts;
    OnTimeout on_timeout;
    Core::Instant started;
    Core::Instant expires_at;
    bool is_over { false };
    bool timed_out { false };
};

}
