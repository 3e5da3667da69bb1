#pragma once

#include <LibMembership/CompressedText.h>
#include <LibMembership/EndpointJournal.h>
#include <LibMembership/RelayMessages.h>

#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The whole list of endpoints of a journal, compressed once and shared by all boxes that need it.
///
/// Hundreds of boxes may ask a relay for the list at the same time. Each gets the compressed list of an earlier
/// revision together with the changes since then.
class CompressedEndpointList {
public:
    /// A list and the revision of the journal to which it belongs.
    struct Snapshot {
        std::uint64_t revision { 0 };
        Membership::CompressedText text;
    };

    /// The list to send now, compressed anew if too much of it has changed. Null if it can't be compressed.
    [[nodiscard]] Snapshot const* update(Membership::EndpointJournal const& journal);

    /// Lists with at least this many endpoints are sent compressed.
    static constexpr std::size_t min_endpoints = 64;

private:
    /// Whether the changes since the last snapshot are known and few.
    [[nodiscard]] bool is_current(Membership::EndpointJournal const& journal) const;
    void compress(Membership::EndpointJournal const& journal);

    /// The list is compressed anew when this fraction of it has changed.
    static constexpr double max_changed_share = 0.1;

    std::optional<Snapshot> snapshot;
};

/// The whole list that an answer contains; empty, with a reason, if it can't be read.
[[nodiscard]] std::optional<std::vector<Routing::EndpointRecord>> whole_endpoint_list(
    Membership::ControlAnswer const& answer, Core::LastReason& last_reason);

}
