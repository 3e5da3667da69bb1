#pragma once

#include <LibGateway/GatewayState.h>
#include <LibGateway/HttpConnection.h>
#include <LibGateway/WholeTopic.h>
#include <LibMembership/ControlSource.h>
#include <LibMembership/RelayMessages.h>
#include <LibMembership/RelaySearch.h>
#include <platform/StoreRecords.h>

#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <random>

namespace Gateway {

/// Finds the other boxes after a start, and maintains this box's record in the platform's store.
///
/// Only boxes that read the store themselves read the topic of box records; all others get it from their relay. So what
/// a box reads at its start does not grow with the number of boxes.
class BoxRegistry {
public:
    /// Called after the list of boxes was read or received, and after a read of it failed.
    using OnBoxesRead = std::function<void()>;
    /// Called when this box has found a relay to ask, or has to read the store itself.
    using OnSourceFound = std::function<void()>;

    BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
        Membership::BoxRecord own, OnSourceFound on_source_found, OnBoxesRead on_boxes_read, std::uint64_t seed);

    /// Which boxes start together with this process.
    enum class Start {
        OfThisBox,
        /// All boxes, for the first time, so the store holds no box records yet.
        OfAllBoxes,
    };

    /// Boxes that start together write their records at random times within this time. The store takes about a thousand
    /// records a second.
    static constexpr Core::Duration registration_spread { std::chrono::milliseconds(1500) };
    /// Boxes that start together do so within 0.3 s, so after this time one read of the list returns all of them. No
    /// box leads before that.
    static constexpr Core::Duration settling_time { registration_spread + std::chrono::milliseconds(500) };
    /// The store usually answers within 4 ms; when it is slow, it takes up to 60 times as long.
    static constexpr CallTimeouts timeouts { std::chrono::milliseconds(700), std::chrono::milliseconds(1000) };

    /// Called with each record in the topic that is not a box record.
    using OnOtherRecord = std::function<void(std::string const& key, std::string const& value)>;
    void set_on_other_record(OnOtherRecord handler) { this->on_other_record = std::move(handler); }
    /// Queues a record for the topic of box records. Writing is retried until the store has accepted the record.
    void queue_write(Adapter::KeyedRecord record);

    /// The version of this box's copy of the topic.
    [[nodiscard]] Membership::BoxRecordsVersion records_version() const
    {
        return this->copy ? this->copy->version : Membership::BoxRecordsVersion {};
    }
    /// This box's copy of the topic, to be passed on; empty for none.
    [[nodiscard]] std::optional<Membership::SharedBoxRecords> const& records() const { return this->copy; }
    /// Reads the list from the store soon, at most once a second: it may lack boxes.
    void read_again();
    /// When the last read of the list that succeeded began; empty without any.
    [[nodiscard]] std::optional<Core::Instant> const& read_at() const { return this->last_read_at; }
    /// Applies a relay's copy of the topic, unless it was read before this box's copy.
    void apply_relayed(Membership::SharedBoxRecords const& relayed);

    /// The store was restored from an older copy: reads the list anew and rewrites the records that the copy lacks.
    void store_restored();

    /// Runs until the process ends.
    [[nodiscard]] Task<void> run(Start start);
    void set_address(Routing::SocketAddress address) { this->connection.set_address(std::move(address)); }

private:
    /// Carries out one step of the search for a relay. Returns the pause until the next one.
    struct SearchStep;

    /// Runs until the list of boxes is known or this box reads the store itself.
    [[nodiscard]] Task<void> search();
    /// Gives up a first relay that does not respond or has no data for too long.
    void check_first_relay(Core::Instant now);
    [[nodiscard]] Task<void> read_relay_record();
    [[nodiscard]] Task<void> claim();
    /// Writes this box's record for its failure domain. `expected_end` is where the log has to end, if it matters.
    [[nodiscard]] Task<std::optional<HttpAnswer>> write_relay_record(std::optional<std::uint64_t> expected_end);
    /// Writes it when this box has become the one that others ask first.
    [[nodiscard]] Task<void> update_relay_record();
    /// Reads the list of boxes if this box reads the store itself. Returns the pause until the next time.
    [[nodiscard]] Task<Core::Duration> update_list(unsigned& reads);
    /// Writes this box's record if it is due.
    void register_if_due(Core::Instant now);
    /// Arranges for this box's record to be written if the list lacks it.
    void check_own_record(Core::Instant now);
    /// The newest records of the topic; empty if the store could not be read.
    [[nodiscard]] Task<std::optional<WholeTopic>> read_topic(Adapter::Topic topic);
    /// Applies records that were read in this era of the store, up to this end of the topic's log.
    void apply_records(Membership::BoxRecords const& records, std::uint64_t era, std::uint64_t end);
    void keep_copy(std::string const& text, Membership::BoxRecordsVersion const& version);
    /// True if the store has accepted the record.
    [[nodiscard]] Task<bool> write(Adapter::KeyedRecord const& record);
    /// Writes queued records in order, also those that are queued meanwhile, until the time given.
    [[nodiscard]] Task<void> write_queued(Core::Instant until);
    [[nodiscard]] Task<void> delete_stale_records();
    /// Adds the known records that a store lacks which was restored from a copy a short time ago. Their boxes are
    /// running and write them again.
    void add_lost_records(Membership::BoxRecords& listed) const;
    /// Queues the records that this process has written and that the store no longer lists.
    void rewrite_missing(Membership::BoxRecords const& listed);
    /// Counts the call. Logs any answer but a success, and returns nothing for it.
    [[nodiscard]] std::optional<HttpAnswer> check_answer(std::optional<HttpAnswer> answer, std::string const& reason);
    [[nodiscard]] Core::Duration with_jitter(Core::Duration pause);
    [[nodiscard]] Core::Duration random_up_to(Core::Duration limit);

    /// Pause after the first record was written or a call failed.
    static constexpr Core::Duration short_pause { std::chrono::milliseconds(1000) };
    /// A record that was written this long ago and is not listed is written again. Lists of relays are older than that
    /// of the store.
    static constexpr Core::Duration registration_grace { std::chrono::seconds(15) };
    /// Interval of the check whether the first relay responds and has sent the list of boxes.
    static constexpr Core::Duration search_check_interval { std::chrono::milliseconds(100) };
    static_assert(settling_time < Membership::RelaySearch::max_list_wait);

    /// Records that a process remembers beside its box record, about 100 bytes each.
    static constexpr std::size_t max_written_records = 256;

    GatewayState& state;
    Membership::ControlSource& source;
    HttpConnection connection;
    Membership::BoxRecord own;
    OnSourceFound on_source_found;
    OnBoxesRead on_boxes_read;
    OnOtherRecord on_other_record;
    Membership::RelaySearch relay_search;
    /// The first relay in use.
    std::optional<Membership::BoxRecord> first_relay;
    /// The end of the topic of relay records when it was last read.
    std::uint64_t relay_records_end { 0 };
    /// Whether this box's relay record is in the store, as far as known.
    bool has_relay_record { false };
    /// When this box's record is to be written; empty if it is not due.
    std::optional<Core::Instant> registers_at;
    std::optional<Core::Instant> registered_at;
    /// Until then a list may lack boxes that are running, since the store was restored from a copy.
    std::optional<Core::Instant> keeps_lost_records_until;
    /// Boxes that started together have written their records by then.
    Core::Instant settled_at;
    /// When the list of boxes is read next, if this box has to read it.
    Core::Instant lists_at;
    /// When the last read of the list began, successful or not.
    Core::Instant list_read_at;
    std::optional<Core::Instant> last_read_at;
    /// Whether the list may lack boxes and has to be read soon.
    bool reads_again { false };
    std::optional<Membership::SharedBoxRecords> copy;
    std::deque<Adapter::KeyedRecord> queued_writes;
    /// Records of this process, beside its box record, that the store has accepted.
    std::map<std::string, std::string> written_records;
    bool must_read { false };
    InterruptibleTimer pause;
    pcg32 random;
};

}
