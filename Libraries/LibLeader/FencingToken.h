#pragma once

#include <compare>
#include <cstdint>

/// What one box does for all of them: which box that is, the usage that it reports, and the servers that it orders
/// (pure).
namespace Leader {

/// Says which of two leaders is the later one: the place of its claim in the store's log, behind the history of the
/// store that the log is of. So it rises although offsets are given out again after a return from a copy.
struct FencingToken {
    std::uint64_t era { 0 };
    std::uint64_t offset { 0 };

    auto operator<=>(FencingToken const&) const = default;

    /// As one number: below 2^53 for two million eras and four thousand million records.
    [[nodiscard]] std::uint64_t value() const { return (this->era << offset_bits) + this->offset + 1; }

private:
    static constexpr unsigned offset_bits = 32;
};

}
