#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Routing {

/// Identifies a stream by hashes of the client account and of the client's id of the attempt that brought its first
/// event. Equal on every box. Clients choose their ids, so equal ids of two accounts are of two streams.
struct StreamId {
    std::uint64_t account { 0 };
    std::uint64_t attempt { 0 };

    auto operator<=>(StreamId const&) const = default;
};

[[nodiscard]] StreamId stream_id_of(std::string_view account, std::string_view attempt);

/// The endpoints that may continue a stream: what two software versions write doesn't fit together.
struct StreamOrigin {
    std::string service;
    /// Version of the software of the endpoint that began the stream.
    std::string version;

    auto operator<=>(StreamOrigin const&) const = default;
};

}

template <> struct std::hash<Routing::StreamId> {
    std::size_t operator()(Routing::StreamId const& stream) const noexcept
    {
        return static_cast<std::size_t>(stream.account ^ stream.attempt);
    }
};
