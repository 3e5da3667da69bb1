#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/HttpConnection.h>
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

/// Maintains this box's record in the platform's store and reads the records of all boxes.
class BoxRegistry {
public:
    /// Called after each attempt to read the list of boxes, successful or not.
    using OnBoxesRead = std::function<void()>;

    BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
        Membership::BoxRecord own, OnBoxesRead on_boxes_read, std::uint64_t seed);

    /// Which boxes start together with this process.
    enum class Start {
        OfThisBox,
        /// All boxes, for the first time, so the store holds no box records yet.
        OfAllBoxes,
    };
    /// The longest time from such a start until the list of boxes is known, if the store answers as usual.
    [[nodiscard]] static Core::Duration max_startup_time(Start start)
    {
        return start == Start::OfAllBoxes ? settling_time + usual_call_time : usual_call_time;
    }

    /// Called with each record in the topic that is not a box record.
    using OnOtherRecord = std::function<void(std::string const& key, std::string const& value)>;
    void set_on_other_record(OnOtherRecord handler) { this->on_other_record = std::move(handler); }
    /// Queues a record for the topic of box records. Writing is retried until the store has accepted the record.
    void queue_write(Adapter::KeyedRecord record);

    /// The store was restored from an older copy: reads the list anew and rewrites the records that the copy lacks.
    void store_restored();

    /// Runs until the process ends.
    [[nodiscard]] Task<void> run(Start start);
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }

private:
    /// The records of all boxes; empty if the store could not be read.
    [[nodiscard]] Task<std::optional<std::vector<Membership::BoxRecord>>> read_boxes();
    /// True if the store has accepted the record.
    [[nodiscard]] Task<bool> write(Adapter::KeyedRecord const& record);
    /// Writes queued records in order, also those that are queued meanwhile, until the time given.
    [[nodiscard]] Task<void> write_queued(Core::Instant until);
    [[nodiscard]] Task<void> delete_stale_records();
    /// Queues the records that this process has written and that the store no longer lists.
    void rewrite_missing(std::set<std::string> const& listed);
    /// Counts the call. Logs any answer but a success, and returns nothing for it.
    [[nodiscard]] std::optional<HttpAnswer> check_answer(std::optional<HttpAnswer> answer, std::string const& reason);
    [[nodiscard]] Core::Duration with_jitter(Core::Duration pause);

    /// The store usually answers within 4 ms; when it is slow, it takes up to 60 times as long.
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(700), std::chrono::milliseconds(1000) };
    /// Pause after the first record was written or a call failed. Boxes that started together have written their
    /// records by then.
    static constexpr Core::Duration short_pause { std::chrono::milliseconds(1000) };
    /// Boxes that start together do so within 0.3 s. After this time each has written its record, so one read of the
    /// list returns all of them.
    static constexpr Core::Duration settling_time { std::chrono::milliseconds(800) };
    /// For one read of the list, including the start of a slow box.
    static constexpr Core::Duration usual_call_time { std::chrono::milliseconds(300) };

    /// Records that a process remembers beside its box record, about 100 bytes each.
    static constexpr std::size_t max_written_records = 256;

    GatewayState& state;
    Membership::ControlSource& source;
    HttpConnection connection;
    Membership::BoxRecord own;
    OnBoxesRead on_boxes_read;
    OnOtherRecord on_other_record;
    std::deque<Adapter::KeyedRecord> queued_writes;
    /// Records of this process, beside its box record, that the store has accepted.
    std::map<std::string, std::string> written_records;
    bool must_read { false };
    InterruptibleTimer pause;
    pcg32 random;
};

}
