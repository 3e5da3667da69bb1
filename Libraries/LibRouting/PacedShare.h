#pragma once

#include <LibRouting/LimitShare.h>

namespace Routing {

/// This box's share of a rate limit that may change at any moment.
///
/// Unlike LimitShare, the requests of a second are released evenly over the second, so that no burst reaches an
/// endpoint at its start, and a limit that is lowered applies to the rest of the second.
class PacedShare {
public:
    /// Whether this box may send a request of this priority now. In the first half of a second, as many requests are
    /// reserved for high priority as asked in the second before.
    [[nodiscard]] bool may_send(SharedLimit const& limit, SendPriority rank);
    /// Counts a request against the share.
    void count_send(SharedLimit const& limit);

private:
    void enter_second(SharedLimit const& limit);
    /// Requests that this box may have sent when this fraction of the second has elapsed.
    [[nodiscard]] double released(SharedLimit const& limit, double elapsed) const;

    std::uint64_t second { 0 };
    /// This box's position among all in this second.
    std::size_t rank { 0 };
    unsigned sent { 0 };
    /// Requests of high priority that asked in this second and in the one before.
    unsigned high_requests { 0 };
    unsigned previous_high_requests { 0 };
};

}
