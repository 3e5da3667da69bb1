#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Routing {

/// Average time for which a request occupies a slot of a service's engines, learnt from completed requests.
class SlotTimeEstimate {
public:
    void add(Core::Duration occupied);
    [[nodiscard]] double milliseconds() const { return this->average_milliseconds; }
    /// The average without the assumed time; unset before the first request has ended.
    [[nodiscard]] std::optional<Core::Duration> learnt() const;

private:
    /// Assumed before the first request has ended: a short answer at a common engine.
    static constexpr double initial_milliseconds = 1000;
    /// Weight of the newest request. At some ten requests per second and box, the average follows within three seconds.
    static constexpr double newest_weight = 0.03;
    /// Times beyond this are counted as this, so that a stalled endpoint does not distort the average.
    static constexpr double max_milliseconds = 60'000;

    double average_milliseconds { initial_milliseconds };
    double learnt_milliseconds { 0 };
    /// Requests so far, up to where the newest one has its usual weight.
    unsigned samples { 0 };
};

/// The rank of a request among the routes to its service.
enum class SlotRank {
    /// Engines run nothing that is less urgent, so the request waits until a slot is free.
    LeastUrgent,
    /// Engines may run less urgent requests, which they preempt for this one.
    Preempts,
};

/// Expected consequences of sending one more request to an engine.
struct SlotForecast {
    /// Expected time until a slot is free for the request; 0 if it preempts another one.
    double wait_milliseconds { 0 };
    /// Expected time until a slot is free for a request that preempts none. 0 while a slot is free.
    double queue_milliseconds { 0 };

    /// For an engine where work takes `factor` times as long as usual.
    [[nodiscard]] SlotForecast scaled_by(double factor) const
    {
        return { this->wait_milliseconds * factor, this->queue_milliseconds * factor };
    }
    bool operator==(SlotForecast const&) const = default;
};

/// `requests` are running or waiting at the engine before this one is sent there.
///
/// With bursts of long requests, all slots of an engine are taken while its prompts are read in time. Without the wait
/// for a slot, requests keep coming, wait for seconds or are preempted in the middle of their streams, and the engine
/// looks as if it had failed.
[[nodiscard]] SlotForecast forecast_slot(
    double requests, unsigned slots, SlotTimeEstimate const& slot_time, SlotRank rank);

}
