#pragma once

#include <compare>
#include <cstdint>

/// Leader election among boxes, and the leader's duties: usage reports and orders of servers (pure).
namespace Leader {

/// Orders leaders in time: the era of the store's history, then the offset of the leader's claim in the store's log.
/// The era comes first because offsets are assigned again after the store was restored from a copy.
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
