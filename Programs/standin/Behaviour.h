#pragma once

#include "AnswerStyle.h"

#include <LibCore/LastReason.h>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace Standin {

/// How often a stand-in endpoint answers in which style; in the usual one otherwise.
///
/// Read from a behaviour file, a YAML document:
///
///     seed: 7                       # of the draws
///     answers:                      # shares of the requests that it runs, together at most 1
///       ends_with_connection: 0.1
///       broken_off: 0.05
struct Behaviour {
    struct Share {
        /// Upper end of the style's part of the range from 0 to 1.
        double end { 0 };
        AnswerStyle style;

        auto operator<=>(Share const&) const = default;
    };

    std::uint64_t seed { 0 };
    /// Ascending.
    std::vector<Share> shares;

    auto operator<=>(Behaviour const&) const = default;
};

/// Reads the text of a behaviour file. If it is not valid, sets `last_reason` to the line, the field and the fault.
[[nodiscard]] std::optional<Behaviour> read_behaviour(std::string const& text, Core::LastReason& last_reason);

/// Draws the style of each answer.
class AnswerStyles {
public:
    explicit AnswerStyles(Behaviour behaviour)
        : behaviour(std::move(behaviour))
        , random(this->behaviour.seed)
    {
    }

    [[nodiscard]] AnswerStyle draw();

private:
    [[nodiscard]] double draw_fraction();

    Behaviour behaviour;
    pcg32 random;
};

}
