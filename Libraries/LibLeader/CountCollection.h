#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Leader {

using Core::Duration;
using Core::Instant;

/// Decides when a new leader may expect to have the counts of all boxes.
///
/// Boxes send their counts to the leader that announces itself to them, and it does so to the boxes that it knows. A
/// list from before its term may lack boxes, so the time that counts take begins with a list that was read during the
/// term.
class CountCollection {
public:
    void begin_term(Instant since);
    /// Tells when the list of boxes in use was read from the store, if it was.
    void boxes_listed(std::optional<Instant> asked_at, Instant now);
    /// `settling_time` is what announcements and counts take.
    [[nodiscard]] bool is_complete(Instant now, Duration settling_time) const;

private:
    /// A store that fails for this long is unlikely to take the report either, and a late report is worth less than one
    /// without some counts. A failed read of the list takes a second and is repeated after another.
    static constexpr Duration max_list_wait { std::chrono::seconds(4) };

    Instant term_began_at {};
    /// When this box learned of a list that was read during the term.
    std::optional<Instant> listed_at;
};

}
