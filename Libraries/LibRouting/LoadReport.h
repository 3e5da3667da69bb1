#pragma once

#include <LibRouting/EngineDemand.h>
#include <LibRouting/EngineSpeed.h>

#include <map>
#include <string>
#include <vector>

namespace Routing {

/// What one box has at an endpoint.
struct EndpointShare {
    std::string incarnation;
    /// Prompt tokens that it sent there and that are not read yet, as time.
    Duration backlog { 0 };
    /// Its requests there.
    unsigned running { 0 };

    bool operator==(EndpointShare const&) const = default;
};

/// What a box learnt of a service's engines, and what its recent requests ask of them.
struct ServiceReport {
    EngineSpeed speed;
    /// Requests that the speed rests on.
    std::uint64_t samples { 0 };
    WorkTotals work;

    bool operator==(ServiceReport const&) const = default;
};

/// What a box tells the others of its own load, so that all choose with what all have sent.
struct LoadReport {
    /// Endpoints where the box has nothing are left out.
    std::vector<EndpointShare> endpoints;
    std::map<std::string, ServiceReport> services;

    bool operator==(LoadReport const&) const = default;
};

}
