#pragma once

#include <LibRouting/EndpointNotices.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// What boxes tell each other of what endpoints say in their answers.
struct EndpointNoticeMessage {
    std::vector<Routing::EndpointNotice> notices;
    /// The sender wants to be told all.
    bool requests_all { false };

    bool operator==(EndpointNoticeMessage const&) const = default;
};

/// In one message, at most. Some 40 bytes each, so a message fits into one packet of 1,500 bytes.
inline constexpr std::size_t max_notices_per_message = 24;

/// `now` is this box's clock: boxes tell each other ages, since their clocks have nothing to do with each other.
[[nodiscard]] std::string encode(EndpointNoticeMessage const& message, Core::Instant now);
/// Nothing for bytes that are no such message, or hold what no box tells.
[[nodiscard]] std::optional<EndpointNoticeMessage> decode_endpoint_notices(std::string_view bytes, Core::Instant now);

}
