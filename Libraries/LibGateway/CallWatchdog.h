#pragma once

#include <LibGateway/Asio.h>

#include <functional>

namespace Gateway {

/// How long a call may go without progress. The whole transfer of an answer has no such limit: an answer that is given
/// up has to be asked for again from its first byte, so a limit on the whole keeps away for ever what is longer than
/// link times limit.
struct CallTimeouts {
    /// From the call to the first byte of its answer.
    Core::Duration first_byte { 0 };
    /// Between two pieces of an answer.
    Core::Duration idle { 0 };

    bool operator==(CallTimeouts const&) const = default;
};

/// Ends one call that makes no progress.
class CallWatchdog : public std::enable_shared_from_this<CallWatchdog> {
public:
    /// Ends the call under way.
    using OnTimeout = std::function<void()>;

    CallWatchdog(asio::io_context& context, CallTimeouts timeouts, OnTimeout on_timeout);

    void start();
    /// A piece of the answer came.
    void on_progress();
    /// The call is over, and nothing is done to it any more.
    void finish();
    [[nodiscard]] bool has_timed_out() const { return this->timed_out; }
    [[nodiscard]] Core::Duration elapsed() const { return Core::monotonic_now() - this->started; }

private:
    void arm();
    void timer_ended();

    /// Ends an answer that comes by drops: twice the time in which 16 MB, the largest answer, cross a link of 10
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
