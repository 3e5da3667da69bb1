#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/StoreConnection.h>
#include <LibMembership/ControlSource.h>
#include <LibMembership/RelayMessages.h>
#include <platform/StoreRecords.h>

#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <random>
#include <set>

namespace Gateway {

/// Keeps this box's record in the platform's store and reads which other boxes there are.
class BoxRegistry {
public:
    /// Called when the boxes were read, or could not be.
    using OnBoxes = std::function<void()>;

    BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
        Membership::BoxRecord own, OnBoxes on_boxes, std::uint64_t seed);

    /// What starts with this process.
    enum class Start {
        OfThisBox,
        /// All boxes, for the first time: the store holds no record of any.
        OfAllBoxes,
    };
    /// Longest time until the list of boxes is known after such a start, where the store answers as usual.
    [[nodiscard]] static Core::Duration longest_start(Start start)
    {
        return start == Start::OfAllBoxes ? settling_time + usual_call_time : usual_call_time;
    }

    /// Called with each record that is not of a box.
    using OnOther = std::function<void(std::string const& key, std::string const& value)>;
    void set_on_other(OnOther taker) { this->on_other = std::move(taker); }
    /// Writes the record among those of boxes, and again until the store has taken it.
    void keep(Adapter::KeyedRecord record);

    /// The store has come back from a copy: the list is read anew, and what this box wrote and the copy lacks is
    /// written again.
    void store_restored();

    /// Runs until the process ends.
    [[nodiscard]] Task<void> run(Start start);
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }

private:
    /// The records of all boxes; nothing if the store could not be read.
    [[nodiscard]] Task<std::optional<std::vector<Membership::BoxRecord>>> read();
    /// True if the store has taken it.
    [[nodiscard]] Task<bool> write(Adapter::KeyedRecord const& record);
    /// Writes what keep() was given, in order. Until `until`, whenever there is something to write.
    [[nodiscard]] Task<void> write_kept(Core::Instant until);
    [[nodiscard]] Task<void> drop_left_over_records();
    /// Keeps what this box once wrote and the store no longer lists.
    void keep_what_is_missing(std::set<std::string> const& listed);
    /// Counts the call; nothing, with a log line, for any answer but a success.
    [[nodiscard]] std::optional<StoreAnswer> accepted(std::optional<StoreAnswer> answer, std::string const& reason);
    [[nodiscard]] Core::Duration spread(Core::Duration pause);

    /// The store usually takes 4 ms, and up to 60 times as long when it is slow.
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(700), std::chrono::milliseconds(1000) };
    /// After the first record was written or a call failed: boxes that started together have written by then.
    static constexpr Core::Duration short_pause { std::chrono::milliseconds(1000) };
    /// Boxes that start together do so within 0.3 s; by then each has written its record, so that one reading of the
    /// list shows all of them.
    static constexpr Core::Duration settling_time { std::chrono::milliseconds(800) };
    /// For a read of the list, with the start of a slow box.
    static constexpr Core::Duration usual_call_time { std::chrono::milliseconds(300) };

    /// What a process may have written beside its own record, some 100 bytes each.
    static constexpr std::size_t most_written_remembered = 256;

    GatewayState& state;
    Membership::ControlSource& source;
    StoreConnection connection;
    Membership::BoxRecord own;
    OnBoxes on_boxes;
    OnOther on_other;
    std::deque<Adapter::KeyedRecord> kept;
    /// Records of this process, beside its own, that the store has taken.
    std::map<std::string, std::string> written;
    bool has_to_read { false };
    InterruptibleTimer pause;
    pcg32 random;
};

}
