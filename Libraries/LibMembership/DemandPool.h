#pragma once

#include <LibMembership/RelayMessages.h>

namespace Membership {

/// Adds up the recent demand for each service at the boxes that use this one as a relay.
class DemandPool {
public:
    /// Replaces the demand that a box sent before by that of its latest request.
    void update(std::string const& requester, std::map<std::string, Routing::WorkTotals> work, Instant now);
    /// The sums over all boxes with a recent request.
    [[nodiscard]] std::map<std::string, Routing::WorkTotals> totals(Instant now) const;

private:
    struct Demand {
        std::map<std::string, Routing::WorkTotals> work;
        Instant at;
    };

    /// A box that sent nothing for longer uses another relay, reads the store itself or no longer runs.
    static constexpr Duration retention { std::chrono::seconds(3) };

    std::map<std::string, Demand> boxes;
};

}
