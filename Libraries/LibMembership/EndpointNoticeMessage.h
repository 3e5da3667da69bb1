#pragma once

#include <LibRouting/EndpointNotices.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// Notices that endpoints sent in their answers, exchanged between boxes.
struct EndpointNoticeMessage {
    std::vector<Routing::EndpointNotice> notices;
    /// The sender requests all notices of the receiver.
    bool requests_all { false };
    std::vector<Routing::EndpointRejection> rejections {};

    bool operator==(EndpointNoticeMessage const&) const = default;
};

/// Some 40 bytes each, so a message fits into one packet of 1,500 bytes.
inline constexpr std::size_t max_notices_per_message = 24;

/// `now` is this box's clock: messages contain ages, since the clocks of boxes are not synchronized.
[[nodiscard]] std::string encode(EndpointNoticeMessage const& message, Core::Instant now);
/// Nothing for bytes that are no such message, or that contain invalid values.
[[nodiscard]] std::optional<EndpointNoticeMessage> decode_endpoint_notices(std::string_view bytes, Core::Instant now);

}
