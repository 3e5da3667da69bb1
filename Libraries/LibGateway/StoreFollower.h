#pragma once

#include <LibGateway/ControlRecords.h>
#include <LibGateway/HttpConnection.h>
#include <LibMembership/ControlSource.h>

#include <functional>

namespace Gateway {

/// Detects the start and end of a store outage as seen by one follower, so that each is logged once.
class OutageTracker {
public:
    /// A store outage that has ended.
    struct Outage {
        Core::Instant since;
        unsigned failed_calls { 0 };

        bool operator==(Outage const&) const = default;
    };

    /// The outage that this answer ended; empty if there was none.
    [[nodiscard]] std::optional<Outage> answered();
    /// True for the first failure since the last answer.
    [[nodiscard]] bool failed(Core::Instant now);

private:
    std::optional<Outage> outage;
};

/// Follows one topic of the platform's store: reads the newest record of each key once, then appended records. If the
/// store has already discarded the next records, the newest records are read anew. Pauses while a relay provides the
/// same records.
class StoreFollower {
public:
    struct Pace {
        /// How long a read waits at the store for new records.
        Core::Duration wait;
        /// Pause after a read, which combines small changes into one call.
        Core::Duration pause;
    };
    /// Pace of a box that reads for itself, and of one that other boxes use as their relay.
    struct Paces {
        Pace alone;
        Pace as_relay;
    };

    /// Called when the store answers again after an outage, to wake the other follower.
    using OnStoreReturn = std::function<void()>;

    StoreFollower(
        GatewayState& state, ControlRecords& records, Membership::ControlSource& source, Routing::SocketAddress address,
        Adapter::Topic topic, Paces paces, OnStoreReturn on_store_return = [] {});

    /// Runs until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }
    /// Ends a pause, since the box may have to read the store now.
    void wake() { this->pause.interrupt(); }
    /// To be called when the box resumes after a suspension: the next read doesn't wait at the store.
    void after_suspension();
    /// Reads once even while a relay provides the records.
    void read_now();
    /// While both followers fail, retries only the other one where ControlSource says so. `other` must live as long as
    /// this one.
    void defer_retries_to(StoreFollower const& other) { this->first_to_retry = &other; }

private:
    [[nodiscard]] bool must_read() const;
    /// Whether a retry waits until the other follower's read succeeds.
    [[nodiscard]] bool waits_for_other() const;
    [[nodiscard]] Pace const& pace() const;
    [[nodiscard]] Task<bool> read_newest();
    [[nodiscard]] Task<bool> read_next();
    /// `wait` is how long the store may delay the answer.
    [[nodiscard]] Task<std::optional<HttpAnswer>> call(std::string const& target, Core::Duration wait);
    void apply(std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    /// Whether to read the newest records instead of the next ones in the log.
    [[nodiscard]] bool skips_to_newest() const;
    /// Counts and logs records of an answer that can't be read.
    void note_unreadable(std::size_t count);
    void note_failure(std::string const& reason);
    void note_answer();

    /// Time to the first byte beyond the wait. The store usually answers within 4 ms; when it is slow, it takes up to
    /// 60 times as long. A longer timeout would delay the retry after a lost answer.
    static constexpr Core::Duration first_byte_timeout { std::chrono::milliseconds(500) };
    /// Longest silence within an answer. Longer than the first timeout, since the part that was received is worth
    /// keeping and a packet that is lost twice takes 0.6 s (retransmissions after 0.2 and 0.4 s).
    static constexpr Core::Duration idle_timeout { std::chrono::milliseconds(1000) };

    GatewayState& state;
    ControlRecords& records;
    Membership::ControlSource& source;
    Adapter::Topic topic;
    Paces paces;
    OnStoreReturn on_store_return;
    HttpConnection connection;
    OutageTracker outages;
    InterruptibleTimer pause;
    /// The next read doesn't wait at the store, since the box's records are outdated after a pause or a long transfer.
    /// If it waited, a box whose lease expired during the transfer would refuse requests although the new version is in
    /// force.
    bool skips_wait { false };
    /// When the last suspension of the box ended.
    std::optional<Core::Instant> suspension_ended_at;
    bool is_read_wanted { false };
    /// The last page ended before the end of the log.
    bool is_behind { false };
    /// Consecutive failed reads.
    unsigned failures { 0 };
    /// The store gave no answer to the last call, or refused it.
    bool has_failed { false };
    StoreFollower const* first_to_retry { nullptr };
    bool is_stopped { false };
};

}
