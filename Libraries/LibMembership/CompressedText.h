#pragma once

#include <LibCore/LastReason.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

/// A compressed text (raw deflate, RFC 1951), the form in which boxes send the configuration. Copies share the bytes,
/// so that a relay stores them once however many boxes it answers at the same time.
class CompressedText {
public:
    /// Compresses a text. Nothing, with a reason, if it is longer than `max_text_size`.
    [[nodiscard]] static std::optional<CompressedText> of(std::string_view text, Core::LastReason& last_reason);
    /// Wraps bytes and a text size received from another box; text() checks that they match. Nothing, with a reason, if
    /// the text would be longer than `max_text_size` or than the bytes can encode.
    [[nodiscard]] static std::optional<CompressedText> from_bytes(
        std::string bytes, std::uint64_t text_size, Core::LastReason& last_reason);

    /// Decompresses the text. Nothing, with a reason, if the bytes are corrupt or truncated, or encode a text of
    /// another size.
    [[nodiscard]] std::optional<std::string> text(Core::LastReason& last_reason) const;
    [[nodiscard]] std::string const& bytes() const { return *this->shared_bytes; }
    /// The shared bytes, for a sender that must outlive the replacement of this text by a newer one.
    [[nodiscard]] std::shared_ptr<std::string const> const& share_bytes() const { return this->shared_bytes; }
    [[nodiscard]] std::size_t text_size() const { return this->original_size; }

    bool operator==(CompressedText const& other) const
    {
        return this->original_size == other.original_size && this->bytes() == other.bytes();
    }

    /// Largest text, in bytes: the size limit of a store response, from which every such text comes. Limits how much
    /// memory a message of some kilobytes can make a box allocate.
    static constexpr std::size_t max_text_size = 16UL * 1024 * 1024;

private:
    CompressedText(std::string bytes, std::size_t text_size);

    std::shared_ptr<std::string const> shared_bytes;
    std::size_t original_size;
};

}
