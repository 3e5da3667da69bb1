#pragma once

#include <LibCore/LastReason.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

/// A text in its compressed form (raw deflate, RFC 1951), as boxes pass the configuration on. Copies share the bytes,
/// so that a relay holds them once however many boxes it answers at the same time.
class CompressedText {
public:
    /// Nothing, with a reason, for a text that is longer than any that is passed on.
    [[nodiscard]] static std::optional<CompressedText> of(std::string_view text, Core::LastReason& last_reason);
    /// Takes what another box sent and says of it; text() tells whether it is true. Nothing, with a reason, if the text
    /// would be longer than any that is passed on, or than these bytes could hold.
    [[nodiscard]] static std::optional<CompressedText> from_bytes(
        std::string bytes, std::uint64_t text_size, Core::LastReason& last_reason);

    /// Nothing, with a reason, if the bytes are broken, cut off, or hold another number of bytes than was said.
    [[nodiscard]] std::optional<std::string> text(Core::LastReason& last_reason) const;
    [[nodiscard]] std::string const& bytes() const { return *this->shared_bytes; }
    /// The bytes, for whoever sends them while this text may be replaced by a newer one.
    [[nodiscard]] std::shared_ptr<std::string const> const& share_bytes() const { return this->shared_bytes; }
    [[nodiscard]] std::size_t text_size() const { return this->original_size; }

    bool operator==(CompressedText const& other) const
    {
        return this->original_size == other.original_size && this->bytes() == other.bytes();
    }

    /// Longest text, in bytes: as long as the longest answer of the store, from which every such text comes. Bounds
    /// what a message of some kilobytes can make a box allocate.
    static constexpr std::size_t max_text_size = 16UL * 1024 * 1024;

private:
    CompressedText(std::string bytes, std::size_t text_size);

    std::shared_ptr<std::string const> shared_bytes;
    std::size_t original_size;
};

}
