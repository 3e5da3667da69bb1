#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace Core {

/// A typed integer id. Ids with different tags do not convert to each other.
template <typename Tag, typename Number = std::uint64_t> class StrongId {
public:
    constexpr StrongId() = default;
    constexpr explicit StrongId(Number value)
        : value_of_id(value)
    {
    }

    [[nodiscard]] constexpr Number value() const { return this->value_of_id; }
    auto operator<=>(StrongId const&) const = default;

private:
    Number value_of_id { 0 };
};

}

template <typename Tag, typename Number> struct std::hash<Core::StrongId<Tag, Number>> {
    std::size_t operator()(Core::StrongId<Tag, Number> const& id) const noexcept
    {
        return std::hash<Number> {}(id.value());
    }
};
