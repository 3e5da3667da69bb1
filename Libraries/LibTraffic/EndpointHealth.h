#pragma once

#include <LibCore/Time.h>

namespace Traffic {

/// Passive health check of an endpoint. After several consecutive failures the endpoint is ejected for a while; then it
/// gets one request at a time until one succeeds.
class EndpointHealth {
public:
    void record_success();
    void record_failure(Core::Instant now);

    /// Whether the endpoint may get a request now, while it runs `own_running` requests of this box.
    [[nodiscard]] bool accepts_work(Core::Instant now, int own_running) const;
    [[nodiscard]] bool is_ejected(Core::Instant now) const { return this->ejected_until > now; }

private:
    /// One or two consecutive failures are common for an endpoint that fails some of its requests.
    static constexpr int failures_before_ejection = 3;
    /// Longer than the start of a restart, short compared to the targets of the most urgent classes.
    static constexpr Core::Duration min_ejection { std::chrono::milliseconds(250) };
    static constexpr Core::Duration max_ejection { std::chrono::seconds(8) };

    int consecutive_failures { 0 };
    Core::Duration ejection { 0 };
    Core::Instant ejected_until;
};

}
