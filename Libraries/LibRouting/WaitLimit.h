#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Routing {

/// How long a request may wait until an engine begins to read its prompt; nothing for no limit, where the route has no
/// goal.
///
/// What would wait longer comes late in any case, and it makes what comes after it late too. So it is refused at once,
/// while it has not run. It answers bursts of long prompts beyond what the engines read.
[[nodiscard]] std::optional<Core::Duration> max_wait(Core::Duration goal, Core::Duration prefill);

/// When a client may come back that was refused since the wait is longer than the limit: once the engine has worked off
/// what is too much. `drawn`, from 0 to 1, spreads the callers, so that they don't come back together.
[[nodiscard]] Core::Duration retry_after_backlog(Core::Duration wait, Core::Duration limit, double jitter);

}
