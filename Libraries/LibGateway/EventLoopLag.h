#pragma once

#include <LibGateway/Asio.h>

#include <optional>

namespace Gateway {

/// Measures how long events that are ready wait until the event loop handles them. Only for the event loop's thread.
class EventLoopLag {
public:
    explicit EventLoopLag(asio::io_context& context)
        : context(context)
    {
    }

    /// Starts a measurement unless one is under way. Returns the average of the last ones, or how long the current one
    /// has taken if that is longer.
    [[nodiscard]] Core::Duration measure();

private:
    void add(Core::Instant now);

    /// Longer than a processor quota holds a box up, which happens to a box that keeps up too.
    static constexpr Core::Duration averaging_time { std::chrono::seconds(1) };

    asio::io_context& context;
    std::optional<Core::Instant> measured_since;
    Core::Instant last_measured;
    Core::Duration average { 0 };
};

}
