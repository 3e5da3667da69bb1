#pragma once

#include <LibMembership/StreamOrigins.h>

#include <string>
#include <string_view>

namespace Membership {

/// Origins of streams, exchanged between boxes.
struct StreamOriginMessage {
    /// Origins to hold, or answers to questions.
    std::vector<KnownStream> known;
    /// Streams whose origins the sender asks for.
    std::vector<StreamId> asked;
    /// Streams that the sender was asked for and doesn't know.
    std::vector<StreamId> unknown;

    bool operator==(StreamOriginMessage const&) const = default;
};

/// Limit for the entries of each kind. Some 80 bytes each, so a message fits into one packet of 1,500 bytes.
inline constexpr std::size_t max_streams_per_message = 14;

[[nodiscard]] std::string encode(StreamOriginMessage const& message);
/// Nothing for bytes that are no such message, or that contain invalid values.
[[nodiscard]] std::optional<StreamOriginMessage> decode_stream_origins(std::string_view bytes);

}
