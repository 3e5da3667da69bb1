#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Membership {

using Core::Duration;
using Core::Instant;

/// The era of the platform's store that a box knows.
///
/// The store may be restored from a copy that is some seconds old. Later writes are lost until their writers repeat
/// them, offsets are assigned again, and the era, a number in all responses of the store, rises. So an offset in a log
/// is valid in one era only, and for a short time after a rise an entry may be missing from the store although it
/// exists.
class StoreHistory {
public:
    /// An observed era, compared with the known one.
    enum class Relation {
        SameHistory,
        /// The store was restored from a copy since this box last observed its era.
        LaterHistory,
        /// From before the restore: no longer valid.
        EarlierHistory,
    };

    /// Observes the era of a response of the store or of another box; 0 if the response has none. `era_began_at` is
    /// when another box observed the start of the era; empty if it did not, or if the response is of the store.
    Relation observe(std::uint64_t era, std::optional<Instant> era_began_at, Instant now);
    /// 0 before any era was observed.
    [[nodiscard]] std::uint64_t era() const { return this->known_era; }
    /// When the start of the era was observed; empty if this box knows no earlier era.
    [[nodiscard]] std::optional<Instant> const& era_began_at() const { return this->began_at; }
    /// Whether the store may still lack entries that their writers have to repeat.
    [[nodiscard]] bool is_settling(Instant now) const
    {
        return this->began_at && now - *this->began_at <= settling_time;
    }

private:
    /// The platform's documentation says that endpoints are back within two seconds; operators' tools write as soon.
    static constexpr Duration settling_time { std::chrono::seconds(2) };

    std::uint64_t known_era { 0 };
    std::optional<Instant> began_at;
};

}
