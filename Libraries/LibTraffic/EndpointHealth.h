#pragma once

#include <LibCore/Time.h>

namespace Traffic {

/// Trust in an endpoint by what became of the requests sent there: after a few failures in a row it gets no work for a
/// while, then one request at a time until one succeeds.
class EndpointHealth {
public:
    void record_success();
    void record_failure(Core::Instant now);

    /// Whether it may get a request now, with `own_running` requests of this box there.
    [[nodiscard]] bool accepts_work(Core::Instant now, int own_running) const;
    [[nodiscard]] bool is_ejected(Core::Instant now) const { return this->ejected_until > now; }

private:
    /// One or two failures in a row are common where an endpoint fails a part of its requests.
    static constexpr int failures_before_ejection = 3;
    /// Longer than a restart's first moments, short beside the targets of the most urgent classes.
    static constexpr Core::Duration min_ejection { std::chrono::milliseconds(250) };
    static constexpr Core::Duration max_ejection { std::chrono::seconds(8) };

    int consecutive_failures { 0 };
    Core::Duration ejection { 0 };
    Core::Instant ejected_until;
};

}
