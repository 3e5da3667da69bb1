#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

using Core::Duration;

/// A moment by the clock that all boxes go by, in microseconds since 1970.
using SharedMicroseconds = std::uint64_t;

/// The boxes of a deployment as one of them knows them.
class BoxGroup {
public:
    BoxGroup() = default;
    /// `names` may hold the own one or not.
    BoxGroup(std::string const& own, std::vector<std::string> const& names);

    /// Boxes, this one among them.
    [[nodiscard]] std::size_t size() const { return this->others.size() + 1; }
    /// This box's place among all in an order that the number draws, from 0; the same order on every box.
    [[nodiscard]] std::size_t rank(std::uint64_t number) const;

    bool operator==(BoxGroup const&) const = default;

private:
    /// Hashes of the names.
    std::uint64_t own { 0 };
    std::vector<std::uint64_t> others;
};

/// Divides what an endpoint takes from all boxes together among them, without a word between them.
///
/// Time is cut into slots. The requests of a slot are dealt to boxes in an order that endpoint and slot draw, so all
/// boxes that know the same others deal alike. What a box doesn't send in its slot lapses. So the sum keeps to the
/// limit however many boxes there are, and a box that is lost or cut off costs its own part and nobody's time. Boxes
/// that know different others, or whose clocks differ, deal differently until they agree.
class RateSchedule {
public:
    /// `per_second` is what the endpoint takes.
    explicit RateSchedule(double per_second);

    [[nodiscard]] Duration slot_length() const { return this->length; }
    [[nodiscard]] std::uint64_t slot_at(SharedMicroseconds now) const;
    /// Whether the slot's first half is over.
    [[nodiscard]] bool is_second_half_of_slot(SharedMicroseconds now) const;
    /// Requests that this box may send to the endpoint in the slot.
    [[nodiscard]] unsigned allotment(std::uint64_t slot, std::string_view endpoint, BoxGroup const& boxes) const;

private:
    /// Part of the limit that is dealt: the rest is for boxes that know different others.
    static constexpr double allotted_share = 0.9;
    /// An endpoint that takes nothing is asked this often all the same, since only its answers tell when that ends.
    static constexpr double min_per_second = 0.1;
    /// Long enough that most boxes have a request for the endpoint in it.
    static constexpr Duration min_slot_length { std::chrono::seconds(1) };

    double per_second;
    Duration length;
};

}
