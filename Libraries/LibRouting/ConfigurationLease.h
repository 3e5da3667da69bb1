#pragma once

#include <LibRouting/ConfigurationSnapshot.h>

namespace Routing {

/// How current the configuration in force is.
enum class ConfigurationFreshness {
    /// No configuration has been read yet.
    Missing,
    /// Recently confirmed: unknown routes and keys may be refused permanently.
    Fresh,
    /// A newer version may exist or is known to exist. Requests that this version allows are served; others may be
    /// allowed by the newer version, so they are refused with a time to retry.
    Aging,
    /// Either a key may have been revoked for longer than the operator accepts, and requests with a key are not served.
    /// Or a newer version should have been in force by now, and no request is served.
    Expired,
};

struct LeaseBounds {
    /// Time within which a configuration must be in force after the store acknowledged it.
    Duration apply_within { std::chrono::seconds(2) };
    /// Time within which a key must be refused after the store acknowledged its removal; unset for no limit.
    std::optional<Duration> revoke_within;

    bool operator==(LeaseBounds const&) const = default;
};

/// The configuration in force on this box. It is held on a lease, which the store renews by confirming that no newer
/// version exists. Versions never decrease.
class ConfigurationLease {
public:
    explicit ConfigurationLease(LeaseBounds bounds)
        : bounds(bounds)
    {
    }

    /// Puts the configuration in force if it is newer than the current one, and returns whether it was. No newer
    /// version existed at `confirmed_at`; it is unset if more versions are known to follow, and the lease is then not
    /// renewed.
    bool offer(SharedConfiguration offered, std::optional<Instant> confirmed_at);
    /// The store answered a read sent at `read_sent_at` that no newer version exists.
    void confirm(Instant read_sent_at);
    /// Another box or the store reported at `notified_at` that this version or a newer one exists. The reporting box
    /// has known the version since `known_since`, which equals `notified_at` if this box read it from the store.
    void note_version(std::uint64_t version, Instant notified_at, Instant known_since);
    /// Like note_version(), for a version that the store has lost and that other boxes have had for longer than
    /// `apply_within`: keys and routes that the version removed must be refused here at once.
    void note_overdue_version(std::uint64_t version, Instant notified_at);
    /// Whether a version newer than the one in force is known to exist.
    [[nodiscard]] bool is_superseded() const
    {
        return this->in_force && this->in_force->version() < this->newest_known;
    }
    /// The box was suspended until `resumed_at`. If the last confirmation is older than `apply_within`, requests are
    /// refused until the store confirms the version again, which takes about 10 ms if the store can be reached.
    void after_suspension(Instant resumed_at) { this->unconfirmed_since = resumed_at; }
    void set_bounds(LeaseBounds changed) { this->bounds = changed; }

    [[nodiscard]] ConfigurationFreshness freshness(Instant now) const;
    [[nodiscard]] Duration age(Instant now) const { return now - this->last_confirmed_at; }
    /// Since when the version in force has been known to this box or to the box that reported it; unset if neither is
    /// known.
    [[nodiscard]] std::optional<Instant> const& known_since() const { return this->in_force_known_since; }
    /// The configuration in force; null before the first one.
    [[nodiscard]] SharedConfiguration const& current() const { return this->in_force; }

private:
    void put_in_force(SharedConfiguration offered);

    /// Fraction of `revoke_within` after which keys are no longer accepted. The rest covers the time from the check to
    /// the endpoint and differences in clock speed.
    static constexpr double share_of_revoke_bound = 0.9;
    /// Added to `apply_within` before refusals stop being permanent. The store holds reads back for up to a second, so
    /// an answer confirms a moment that lies that long before it.
    static constexpr Duration max_read_wait { std::chrono::seconds(1) };

    /// The latest that a connected box is notified of a version, through relays of relays, as a fraction of
    /// `apply_within`. A later notification means that the box was cut off; it gets the rest of `apply_within` to read
    /// the version before it refuses requests.
    static constexpr double max_notification_delay_share { 0.55 };

    LeaseBounds bounds;
    SharedConfiguration in_force;
    std::optional<Instant> in_force_known_since;
    Instant last_confirmed_at;
    std::uint64_t newest_known { 0 };
    Instant newest_notified_at;
    Instant newest_known_since;
    /// When the box resumed after a suspension; unset once the store has confirmed the version in force.
    std::optional<Instant> unconfirmed_since;
    /// Since when a newer version has been known to this box or to the box that reported it.
    Instant superseded_since;
};

}
