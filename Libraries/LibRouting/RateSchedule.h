#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

using Core::Duration;

/// A time of the clock that all boxes share, in microseconds since 1970.
using SharedMicroseconds = std::uint64_t;

/// The boxes of a deployment as known to one of them.
class BoxGroup {
public:
    BoxGroup() = default;
    /// `names` may include the box's own name.
    BoxGroup(std::string const& own, std::vector<std::string> const& names);

    /// Number of boxes, including this one.
    [[nodiscard]] std::size_t size() const { return this->others.size() + 1; }
    /// This box's position, from 0, in a pseudorandom order of all boxes. The order depends on the number only and is
    /// the same on every box.
    [[nodiscard]] std::size_t rank(std::uint64_t number) const;

    bool operator==(BoxGroup const&) const = default;

private:
    /// Hashes of the names.
    std::uint64_t own { 0 };
    std::vector<std::uint64_t> others;
};

/// A number for BoxGroup::rank() that differs between endpoints and between their turns.
[[nodiscard]] std::uint64_t endpoint_turn(std::string_view endpoint, std::uint64_t turn);

/// Divides an endpoint's rate limit among all boxes without communication.
///
/// Time is divided into slots. The requests of a slot are allotted to boxes in a pseudorandom order that depends on
/// endpoint and slot, so boxes with the same list of boxes agree. Unused requests expire with their slot. So the sum
/// stays within the limit for any number of boxes, and a box that fails only wastes its own share. Boxes with different
/// lists or clocks disagree until these are in agreement again.
class RateSchedule {
public:
    /// `per_second` is the endpoint's limit.
    explicit RateSchedule(double per_second);

    [[nodiscard]] Duration slot_length() const { return this->length; }
    [[nodiscard]] std::uint64_t slot_at(SharedMicroseconds now) const;
    [[nodiscard]] bool is_second_half_of_slot(SharedMicroseconds now) const;
    /// Requests that this box may send to the endpoint in the slot.
    [[nodiscard]] unsigned allotment(std::uint64_t slot, std::string_view endpoint, BoxGroup const& boxes) const;

private:
    /// Fraction of the limit that is allotted. The rest covers boxes that disagree on the list of boxes.
    static constexpr double allotted_share = 0.9;
    /// An endpoint with a limit of zero still gets this many requests, since only its answers show when the limit ends.
    static constexpr double min_per_second = 0.1;
    /// Long enough that most boxes have a request for the endpoint in each slot.
    static constexpr Duration min_slot_length { std::chrono::seconds(1) };

    double per_second;
    Duration length;
};

}
