#pragma once

#include <LibGateway/ControlRecords.h>
#include <LibGateway/StoreConnection.h>
#include <LibMembership/ControlSource.h>

#include <functional>

namespace Gateway {

/// Whether one of the two followers reaches the store, so that a loss and a return are logged once.
class StoreLink {
public:
    /// A loss of the store that is over.
    struct Loss {
        Core::Instant since;
        unsigned failed_calls { 0 };

        bool operator==(Loss const&) const = default;
    };

    /// The loss that this answer ended; nothing if the store had not been away.
    [[nodiscard]] std::optional<Loss> answered();
    /// True if this is the first failure since the last answer.
    [[nodiscard]] bool failed(Core::Instant now);

private:
    std::optional<Loss> loss;
};

/// Follows one topic of the platform's store: reads the newest record of each key once, then what is appended. When
/// the store no longer keeps what comes next, the newest records are read anew. Rests while a relay tells the same.
class StoreFollower {
public:
    struct Pace {
        /// How long a read waits at the store for something new.
        Core::Duration wait;
        /// InterruptibleTimer after a read, so that many small changes cost one call.
        Core::Duration pause;
    };
    /// How this box reads for itself, and how it does while other boxes rely on it.
    struct Paces {
        Pace alone;
        Pace as_relay;
    };

    /// Called when the store answers again after a loss, so that whoever else waits for it doesn't wait on.
    using OnReturn = std::function<void()>;

    StoreFollower(
        GatewayState& state, ControlRecords& records, Membership::ControlSource& source, Routing::SocketAddress address,
        Adapter::Topic topic, Paces paces, OnReturn on_return = [] {});

    /// Runs until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }
    /// Ends a pause, since who reads the store may have changed.
    void wake() { this->pause.interrupt(); }
    /// The box was suspended: the next read doesn't wait at the store.
    void woke();
    /// Reads once even while a relay tells what the store says.
    void read_now();
    /// After a failed read the other follower's answer comes first, where the source says so. Both live as long.
    void leave_retries_to(StoreFollower const& other) { this->first_to_retry = &other; }

private:
    [[nodiscard]] bool has_to_read() const;
    /// Whether a read that failed waits until the other follower's is answered.
    [[nodiscard]] bool waits_for_other() const;
    [[nodiscard]] Pace const& pace() const;
    [[nodiscard]] Task<bool> read_newest();
    [[nodiscard]] Task<bool> read_next();
    /// `wait` is how long the store may hold the answer back.
    [[nodiscard]] Task<std::optional<StoreAnswer>> call(std::string const& target, Core::Duration wait);
    void take(std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    /// Whether the newest records are read in place of those that follow.
    [[nodiscard]] bool skips_to_newest() const;
    /// An answer held records that can't be read; the others were taken.
    void note_unreadable(std::size_t count);
    void note_failure(std::string const& reason);
    void note_answer();

    /// Time to the first byte of an answer beyond the wait. The store usually takes 4 ms, and up to 60 times as long
    /// when it is slow. A longer one costs the time in which a lost answer could be asked for again.
    static constexpr Core::Duration first_byte_timeout { std::chrono::milliseconds(500) };
    /// Longest silence within an answer. Longer than the first: what has come is worth keeping, and a packet that is
    /// lost twice takes 0.6 s (retransmission after 0.2 and 0.4 s).
    static constexpr Core::Duration idle_timeout { std::chrono::milliseconds(1000) };

    GatewayState& state;
    ControlRecords& records;
    Membership::ControlSource& source;
    Adapter::Topic topic;
    Paces paces;
    OnReturn on_return;
    StoreConnection connection;
    StoreLink link;
    InterruptibleTimer pause;
    /// The next read doesn't wait at the store: what this box knows is old already, after a rest or a long transfer.
    /// With the wait, a box whose transfer took its lease would refuse on although the new version is in force.
    bool asks_at_once { false };
    /// When the box was last suspended until.
    std::optional<Core::Instant> woke_at;
    bool is_read_wanted { false };
    /// The last page ended before the end of the log.
    bool is_behind { false };
    /// In a row, up to now.
    unsigned failures { 0 };
    /// The store gave no answer to the last call, or refused it.
    bool is_unanswered { false };
    StoreFollower const* first_to_retry { nullptr };
    bool is_stopped { false };
};

}
