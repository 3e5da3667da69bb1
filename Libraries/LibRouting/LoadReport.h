#pragma once

#include <LibRouting/AccountShares.h>
#include <LibRouting/EndpointPace.h>
#include <LibRouting/EngineDemand.h>
#include <LibRouting/EngineSpeed.h>

#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Load of one box at one endpoint.
struct EndpointShare {
    std::string incarnation;
    /// Time to read the prompts that the box sent and that are not read yet.
    Duration backlog { 0 };
    /// Requests of the box at the endpoint.
    unsigned running { 0 };
    /// The box's newest samples of the endpoint's pace.
    std::optional<PaceSamples> pace {};

    bool operator==(EndpointShare const&) const = default;
};

/// A box's speed estimate of a service's engines, and the work of the box's recent requests.
struct ServiceReport {
    EngineSpeed speed;
    /// Samples that the speed is based on.
    std::uint64_t samples { 0 };
    WorkTotals work;
    AccountReport accounts {};

    bool operator==(ServiceReport const&) const = default;
};

/// Load that a box reports to the others, so that all place requests by the total load.
struct LoadReport {
    /// Endpoints without requests of this box are left out.
    std::vector<EndpointShare> endpoints;
    std::map<std::string, ServiceReport> services;

    bool operator==(LoadReport const&) const = default;
};

}
