#pragma once

#include <optional>

namespace Routing {

/// The rate limit that an endpoint reports.
struct RateLimit {
    /// Requests per second from all boxes together; unset for no limit.
    std::optional<double> per_second;

    bool operator==(RateLimit const&) const = default;
};

}
