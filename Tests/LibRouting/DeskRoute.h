#pragma once

#include <LibRouting/Configuration.h>

namespace Routing {

/// A route of host "h" to the service "desk" with a timeout of 3 s.
inline Route route_to_desk(std::string prefix, RouteKind kind, unsigned max_attempts)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = std::move(prefix);
    route.kind = kind;
    route.timeout = std::chrono::seconds(3);
    route.services = { { "desk", 1 } };
    route.max_attempts = max_attempts;
    return route;
}

}
