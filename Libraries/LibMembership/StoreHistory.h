#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Membership {

using Core::Duration;
using Core::Instant;

/// Which history of the platform's store a box knows.
///
/// The store may come back from a copy some seconds old. What was written since is gone until its writers write it
/// again, offsets are given out again, and a number in all its answers, the era, rises. So a position in a log is of
/// one era, and for a short time after a rise the store's silence about something says nothing.
class StoreHistory {
public:
    /// What was heard against what is known.
    enum class Relation {
        SameHistory,
        /// The store came back from a copy since this box last heard of it.
        LaterHistory,
        /// Of before the copy: nothing in it holds any more.
        EarlierHistory,
    };

    /// An answer, of the store or of another box, is of this era; 0 from one that doesn't tell. `risen_at` is when
    /// another box heard of the era's beginning; nothing if it heard of none, or from the store.
    Relation observe(std::uint64_t era, std::optional<Instant> era_began_at, Instant now);
    /// 0 before any was heard.
    [[nodiscard]] std::uint64_t era() const { return this->known_era; }
    /// When the era's beginning was heard of; nothing if this box heard of no earlier one.
    [[nodiscard]] std::optional<Instant> const& era_began_at() const { return this->began_at; }
    /// Whether writers may not yet have written again what the copy lacks.
    [[nodiscard]] bool is_settling(Instant now) const
    {
        return this->began_at && now - *this->began_at <= settling_time;
    }

private:
    /// The platform's pages say that endpoints are back within two seconds; operators' tools write as soon.
    static constexpr Duration settling_time { std::chrono::seconds(2) };

    std::uint64_t known_era { 0 };
    std::optional<Instant> began_at;
};

}
