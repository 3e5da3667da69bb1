#pragma once

#include <LibCore/Time.h>

namespace Traffic {

/// Trust in an endpoint by what became of the requests sent there: after a few failures in a row it gets no work for a
/// while, then one request at a time until one succeeds.
class EndpointHealth {
public:
    void succeeded();
    void failed(Core::Instant now);

    /// Whether it may get a request now, with `running_here` requests of this box there.
    [[nodiscard]] bool takes_work(Core::Instant now, int running_here) const;
    [[nodiscard]] bool ejected(Core::Instant now) const { return this->ejected_until > now; }

private:
    /// One or two failures in a row are common where an endpoint fails a part of its requests.
    static constexpr int failures_before_ejection = 3;
    /// Longer than a restart's first moments, short beside the targets of the most urgent classes.
    static constexpr Core::Duration first_ejection { std::chrono::milliseconds(250) };
    static constexpr Core::Duration longest_ejection { std::chrono::seconds(8) };

    int consecutive_failures { 0 };
    Core::Duration ejection { 0 };
    Core::Instant ejected_until;
};

}
