#pragma once

#include <LibMembership/BoxDirectory.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Chooses the box to which a box that is cut off from the endpoints forwards a request (pure).
///
/// Any other box may be cut off as well, and only shows it when it is asked, so a box that could not serve a request is
/// left out for a while. The requests are spread over all others, since a single box may have a narrow link and a
/// slow processor: of two random boxes, the one with the wider link is chosen.
class ForwardingTargets {
public:
    /// Whether the request may pass through boxes of this failure domain.
    using IsAllowed = std::function<bool(std::string const& failure_domain)>;

    /// A random box of `boxes` that takes forwarded requests, other than `own` and those in `asked`; nothing if there
    /// is none. `draw` returns a random number less than its argument.
    [[nodiscard]] std::optional<BoxRecord> choose(BoxDirectory const& boxes, std::string const& own,
        std::vector<std::string> const& asked, IsAllowed const& is_allowed,
        std::function<std::size_t(std::size_t)> const& draw, Instant now) const;
    /// The box could not be reached, or is cut off itself.
    void mark_unable(std::string const& name, Instant now);
    /// The box served a request.
    void mark_able(std::string const& name) { this->unable_until.erase(name); }

private:
    /// How long a box is left out. Boxes that are cut off together are so for seconds, and asking one costs a round
    /// trip.
    static constexpr Duration unable_period { std::chrono::seconds(1) };

    std::map<std::string, Instant> unable_until;
};

}
