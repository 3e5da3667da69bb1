#pragma once

#include <optional>

namespace Routing {

/// What an endpoint says it takes.
struct RateLimit {
    /// Requests a second from all boxes together; nothing where it has no limit.
    std::optional<double> per_second;

    bool operator==(RateLimit const&) const = default;
};

}
