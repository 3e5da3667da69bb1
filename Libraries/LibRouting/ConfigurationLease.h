#pragma once

#include <LibRouting/ConfigurationSnapshot.h>

namespace Routing {

/// How far the configuration in force can be relied on.
enum class ConfigurationFreshness {
    /// None was read yet.
    Missing,
    /// Confirmed a short while ago: what it does not allow may be refused for good.
    Fresh,
    /// A newer one may exist, or is known to: what it allows is served, what it does not allow may be allowed by now.
    Aging,
    /// A key may have been taken away for longer than the operator accepts: requests with a key are not served. Or a
    /// newer one is known to exist and should be in force by now: nothing is served.
    Expired,
};

struct LeaseBounds {
    /// A configuration must be in force this long after the store acknowledged it.
    Duration apply_within { std::chrono::seconds(2) };
    /// A key must be refused this long after the store acknowledged that it is gone; nothing for no such bound.
    std::optional<Duration> revoke_within;

    bool operator==(LeaseBounds const&) const = default;
};

/// The configuration in force on this box, held on a lease that the store renews by confirming that nothing newer
/// exists. Versions only rise.
class ConfigurationLease {
public:
    explicit ConfigurationLease(LeaseBounds bounds)
        : bounds(bounds)
    {
    }

    /// Takes the configuration if it is newer than the one in force. `confirmed_at` is the moment at which nothing
    /// newer existed; nothing where more versions are known to follow, which renews no lease.
    bool offer(SharedConfiguration offered, std::optional<Instant> confirmed_at);
    /// The store said to a read sent at `read_sent_at` that nothing newer exists.
    void confirm(Instant read_sent_at);
    /// This box was told at `told_at` that the version, or a newer one, exists, by a box that has known it since
    /// `known_since`; both are the same where this box read it.
    void note_version(std::uint64_t version, Instant notified_at, Instant known_since);
    /// The same of a version that the store lost and that others have had for longer than the bound for applying
    /// changes: what it took away must be gone here as well.
    void note_overdue_version(std::uint64_t version, Instant notified_at);
    /// Whether a newer version than the one in force is known to exist.
    [[nodiscard]] bool is_superseded() const
    {
        return this->in_force && this->in_force->version() < this->newest_known;
    }
    /// The box was suspended until `resumed_at`. What the store confirmed before the bound for applying changes is not
    /// served on until it is confirmed anew, which takes some 10 ms where the store can be reached.
    void after_suspension(Instant resumed_at) { this->unconfirmed_since = resumed_at; }
    void set_bounds(LeaseBounds changed) { this->bounds = changed; }

    [[nodiscard]] ConfigurationFreshness freshness(Instant now) const;
    [[nodiscard]] Duration age(Instant now) const { return now - this->last_confirmed_at; }
    /// Since when the version in force has been known to this box or to whoever told it; nothing if neither said so.
    [[nodiscard]] std::optional<Instant> const& known_since() const { return this->in_force_known_since; }
    /// The configuration in force; null before the first.
    [[nodiscard]] SharedConfiguration const& current() const { return this->in_force; }

private:
    void put_in_force(SharedConfiguration offered);

    /// Part of the revocation bound after which keys are no longer trusted. The rest covers the way from the check to
    /// the endpoint and clocks that run unevenly.
    static constexpr double share_of_revoke_bound = 0.9;
    /// Added to the bound for applying changes before refusals stop being final: the moment that a read vouches for
    /// lies up to a second before its answer, since the read waits at the store.
    static constexpr Duration max_read_wait { std::chrono::seconds(1) };

    /// Part of the bound for applying changes by which a box in touch is told of a version late: relays of relays
    /// know nothing older. What is later comes from a lost way, and a box that has it back gets the rest of the bound
    /// to read the version before it refuses.
    static constexpr double max_notification_delay_share { 0.55 };

    LeaseBounds bounds;
    SharedConfiguration in_force;
    std::optional<Instant> in_force_known_since;
    Instant last_confirmed_at;
    std::uint64_t newest_known { 0 };
    Instant newest_notified_at;
    Instant newest_known_since;
    /// When the box woke, until the store has confirmed what it knows.
    std::optional<Instant> unconfirmed_since;
    /// Since when a newer version than the one in force has been known to this box or to whoever told it.
    Instant superseded_since;
};

}
