#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Routing {

/// How long a request may wait until an engine begins to read its prompt; unset for no limit if the route has no goal.
///
/// A request that would wait longer is late in any case and delays the requests behind it. So it is refused at once,
/// before it runs. This limits the queue when long prompts arrive faster than the engines can read them.
[[nodiscard]] std::optional<Core::Duration> max_wait(Core::Duration goal, Core::Duration prefill);

/// How much longer than its usual limit an urgent request may wait while an account floods the service and less urgent
/// routes use the same engines. Where these exist, no share shortens the limit of an urgent request, and the flood
/// fills the queue up to the usual limit. `longest_goal` is that of all routes to the service. `steps` counts the less
/// urgent priorities, of which the last counts as far as the account's share allows.
[[nodiscard]] Core::Duration urgent_headroom(Core::Duration longest_goal, double steps);

/// Time after which a client should retry if its request was refused since `wait` exceeds `limit`: when the engine has
/// worked off the excess. `jitter`, from 0 to 1, spreads the retries.
[[nodiscard]] Core::Duration retry_after_backlog(Core::Duration wait, Core::Duration limit, double jitter);

}
