#pragma once

#include <LibMembership/BoxDirectory.h>
#include <LibRouting/StreamOrigin.h>

#include <optional>
#include <unordered_map>
#include <vector>

/// Which endpoints may continue a stream that a client takes up again at any box, and which boxes know it (pure).
namespace Membership {

using Routing::StreamId;
using Routing::StreamOrigin;

/// The origin of a stream, and how much longer a client may take it up.
struct KnownStream {
    StreamId stream;
    StreamOrigin origin;
    Duration valid_for { 0 };

    bool operator==(KnownStream const&) const = default;
};

/// The origins of streams that this box holds, for streams that it served and for other boxes.
class StreamOrigins {
public:
    /// Later origins of the same stream replace earlier ones.
    void put(KnownStream const& known, Instant now);
    /// Nothing if the stream is unknown.
    [[nodiscard]] std::optional<KnownStream> find(StreamId stream, Instant now) const;
    /// All streams that may still be taken up.
    [[nodiscard]] std::vector<KnownStream> all(Instant now) const;
    void expire(Instant now);
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    /// Some 100 bytes each. Where streams begin faster than this allows, the first to expire are forgotten, and clients
    /// that take them up are refused.
    static constexpr std::size_t max_entries = 64 * 1024;

private:
    struct Entry {
        StreamOrigin origin;
        Instant expires_at;
    };

    std::unordered_map<StreamId, Entry> entries;
};

/// The first `count` boxes, other than `own`, that hold the origin of the stream. All boxes with the same list compute
/// the same order; with one box more or less, one box of the order is. The first ones are in different failure domains
/// as far as there are any.
[[nodiscard]] std::vector<BoxRecord> stream_holders(
    BoxDirectory const& boxes, std::string const& own, StreamId stream, std::size_t count);

}
