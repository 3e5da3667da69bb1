#include <LibRouting/WaitLimit.h>

#include <algorithm>

namespace Routing {

std::optional<Core::Duration> max_wait(Core::Duration goal, Core::Duration prefill)
{
    /// Fraction of the goal that waiting and reading may take as predicted. The rest covers what the prediction misses.
    constexpr double share_for_first_piece = 0.6;
    /// Fraction of the goal that any request may wait, however long its own prompt is. Otherwise the longest prompts
    /// would be refused whenever anything is queued.
    constexpr double share_for_waiting = 0.25;
    if (goal <= Core::Duration { 0 })
        return {};
    auto const seconds = Core::to_seconds(goal);
    auto const left = seconds * share_for_first_piece - Core::to_seconds(prefill);
    return Core::from_seconds(std::max(left, seconds * share_for_waiting));
}

Core::Duration urgent_headroom(Core::Duration longest_goal, double steps)
{
    /// Fraction of the goal for a step. Engines process urgent requests first, so this delays them less than it seems.
    /// At 0.05, a flood of all priorities takes more than a twentieth from others of unequal size.
    constexpr double share_for_step = 0.075;
    return Core::from_seconds(Core::to_seconds(longest_goal) * share_for_step * steps);
}

Core::Duration retry_after_backlog(Core::Duration wait, Core::Duration limit, double jitter)
{
    return wait - limit + Core::from_seconds(Core::to_seconds(wait) * jitter);
}

}
