#pragma once

#include <LibHttp/Asio.h>

#include <string_view>

/// How much of a message may wait in a connection's buffer, and whether the end of its body can be told from its head.
namespace Http {

/// Why the end of a message's body can't be told from its head (RFC 9112, 6.1 and 6.3).
enum class FramingFault {
    /// The last transfer coding isn't chunked. For a request nothing then marks the end of its body.
    LastCodingNotChunked,
    /// Another coding precedes chunked. Without the coding the body would be another one.
    UnsupportedCoding,
    /// HTTP/1.0 has no transfer codings, so the sender may have passed on a field that it doesn't know.
    CodingInHttp10,
    LengthBesideCoding,
};

[[nodiscard]] std::string_view to_string(FramingFault fault);

/// The fault in the framing of a request or an answer with these fields; empty if there is none. `is_chunked` is
/// whether its parser expects chunks.
[[nodiscard]] std::optional<FramingFault> framing_fault(http::fields const& fields, unsigned version, bool is_chunked);

/// Whether an answer with this status precedes the final one. 101 does not: what follows it is no HTTP.
[[nodiscard]] bool is_interim_status(unsigned status);
/// Whether the status is one of a final answer (RFC 9110, 15). Bytes with any other are no answer.
[[nodiscard]] bool is_final_status(unsigned status);

/// A buffer may hold this much more than the largest head that it takes: the parser reports a head that is too large
/// only if it has some bytes behind the limit. The head of a chunk and the trailers have to fit in as a head does.
constexpr std::size_t buffered_beyond_head = 4 * 1024;

/// Whether a read ended because a chunk's head or the trailers don't fit into the connection's buffer.
[[nodiscard]] bool is_buffer_full(error_code error);

}
