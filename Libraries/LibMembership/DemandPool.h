#pragma once

#include <LibMembership/RelayMessages.h>

namespace Membership {

/// Adds up what the boxes that ask a relay have lately seen of their services' demand.
class DemandPool {
public:
    /// What a box told in its latest question, in place of what it told before.
    void update(std::string const& requester, std::map<std::string, Routing::WorkTotals> work, Instant now);
    /// The sums over all boxes that were heard of a short while ago.
    [[nodiscard]] std::map<std::string, Routing::WorkTotals> totals(Instant now) const;

private:
    struct Demand {
        std::map<std::string, Routing::WorkTotals> work;
        Instant at;
    };

    /// A box that was silent for longer asks another relay, reads the store itself or is gone.
    static constexpr Duration retention { std::chrono::seconds(3) };

    std::map<std::string, Demand> boxes;
};

}
