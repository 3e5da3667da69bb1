#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/StoreConnection.h>
#include <platform/StoreRecords.h>

namespace Gateway {

/// Whether one of the two followers reaches the store, so that a loss and a return are logged once.
class StoreLink {
public:
    /// True if the store had been away before this answer.
    bool answered(Core::Instant now);
    /// True if this is the first failure since the last answer.
    bool failed(Core::Instant now);
    [[nodiscard]] Core::Duration away_for(Core::Instant now) const;

private:
    std::optional<Core::Instant> away_since;
};

/// Follows one topic of the platform's store: reads the newest record of each key once, then what is appended. When
/// the store no longer keeps what comes next, the newest records are read anew.
class StoreFollower {
public:
    struct Pace {
        /// How long a read waits at the store for something new.
        Core::Duration wait;
        /// Pause after a read, so that many small changes cost one call.
        Core::Duration pause;
    };

    StoreFollower(GatewayState& state, Routing::SocketAddress address, Adapter::Topic topic, Pace pace);

    /// Runs until stop().
    [[nodiscard]] Task<void> run();
    void stop();
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }
    /// Whether the topic was read whole at least once.
    [[nodiscard]] bool is_primed() const { return this->next.has_value(); }

private:
    [[nodiscard]] Task<bool> read_newest();
    [[nodiscard]] Task<bool> read_next();
    [[nodiscard]] Task<std::optional<StoreAnswer>> call(std::string const& target, Core::Duration patience);
    void take(std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, bool is_whole_list);
    /// False if the record can't be read.
    bool take_configuration(std::string const& text, Core::Instant asked_at);
    void take_endpoints(std::vector<Adapter::KeyedRecord> const& records, bool is_whole_list);
    [[nodiscard]] std::optional<Routing::EndpointRecord> decode_endpoint(Adapter::KeyedRecord const& record);
    void note_failure(std::string const& reason);
    void note_answer();

    /// Time for an answer beyond the wait. The store usually takes 4 ms, and up to 60 times as long when it is slow.
    static constexpr Core::Duration answer_patience { std::chrono::milliseconds(700) };
    /// Pause after a failed call; doubled with each further one up to the longest.
    static constexpr Core::Duration first_pause_after_failure { std::chrono::milliseconds(100) };
    static constexpr Core::Duration longest_pause_after_failure { std::chrono::milliseconds(800) };

    GatewayState& state;
    Adapter::Topic topic;
    Pace pace;
    StoreConnection connection;
    StoreLink link;
    /// The offset to read from; nothing until the newest records were read.
    std::optional<std::uint64_t> next;
    Core::Duration failure_pause { first_pause_after_failure };
    bool is_stopped { false };
};

}
