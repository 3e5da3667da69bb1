#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EndpointDirectory.h>

#include <map>
#include <string>
#include <vector>

/// Which boxes there are, and from which of them a box takes what the platform's store says (pure).
namespace Membership {

using Core::Duration;
using Core::Instant;
using Routing::SocketAddress;

/// What a box says of itself.
struct BoxRecord {
    /// Unique among the boxes of a deployment, and the same after a restart.
    std::string name;
    /// Where it answers other boxes.
    SocketAddress address;
    std::string failure_domain;
    std::uint64_t link_bytes_per_second { 0 };

    bool operator==(BoxRecord const&) const = default;
};

/// The boxes that wrote a record of themselves. Only advice: a record may be of a box that is long gone, and a box may
/// be missing.
class BoxDirectory {
public:
    /// Takes a whole list in place of what was known.
    void replace_all(std::vector<BoxRecord> records);

    [[nodiscard]] BoxRecord const* find(std::string const& name) const;
    /// The boxes of a failure domain in the order in which they are asked for what the store says: those with a wide
    /// link first, then by a hash of their names. All boxes that know the same records come to the same order.
    [[nodiscard]] std::vector<BoxRecord> in_order(std::string const& failure_domain) const;
    /// The given boxes in this order.
    [[nodiscard]] static std::vector<BoxRecord> in_order(std::vector<BoxRecord> given);
    /// By name.
    [[nodiscard]] std::map<std::string, BoxRecord> const& all() const { return this->boxes; }
    [[nodiscard]] std::size_t size() const { return this->boxes.size(); }

private:
    std::map<std::string, BoxRecord> boxes;
};

}
