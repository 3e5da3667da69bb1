#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EndpointDirectory.h>

#include <map>
#include <string>
#include <vector>

/// The known boxes, and from which of them a box receives the contents of the platform's store (pure).
namespace Membership {

using Core::Duration;
using Core::Instant;
using Routing::SocketAddress;

/// The record that a box writes about itself.
struct BoxRecord {
    /// Unique among the boxes of a deployment, and unchanged by a restart.
    std::string name;
    /// Where the box serves requests of other boxes.
    SocketAddress address;
    std::string failure_domain;
    std::uint64_t link_bytes_per_second { 0 };
    /// Port at the same host for clients' requests that other boxes forward; 0 if the box takes none.
    std::uint16_t forwarding_port { 0 };

    bool operator==(BoxRecord const&) const = default;
};

/// The boxes that wrote a record of themselves. The list is only a hint: a record may be of a box that no longer
/// exists, and a box may be missing.
class BoxDirectory {
public:
    /// Replaces all known records.
    void replace_all(std::vector<BoxRecord> records);

    [[nodiscard]] BoxRecord const* find(std::string const& name) const;
    /// The boxes of a failure domain in the order in which they are used as relays: those with a wide link first, then
    /// by a hash of their names. All boxes with the same records compute the same order.
    [[nodiscard]] std::vector<BoxRecord> in_order(std::string const& failure_domain) const;
    /// Whether the box's link is wide enough to send the endpoints and the configuration to a failure domain in time.
    [[nodiscard]] static bool has_wide_link(BoxRecord const& box);
    /// Sorts the given boxes into this order.
    [[nodiscard]] static std::vector<BoxRecord> in_order(std::vector<BoxRecord> given);
    /// By name.
    [[nodiscard]] std::map<std::string, BoxRecord> const& all() const { return this->boxes; }
    [[nodiscard]] std::size_t size() const { return this->boxes.size(); }

private:
    std::map<std::string, BoxRecord> boxes;
};

}
