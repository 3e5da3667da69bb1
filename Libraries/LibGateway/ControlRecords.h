#pragma once

#include <LibGateway/CompressedEndpointList.h>
#include <LibGateway/Leadership.h>
#include <LibMembership/DemandPool.h>
#include <LibMembership/LateRecordFilter.h>
#include <LibMembership/LoadMessages.h>
#include <LibMembership/RelayMessages.h>
#include <LibMembership/StoreHistory.h>
#include <platform/StoreRecords.h>

#include <functional>

namespace Gateway {

/// The part of a topic that a read returned.
enum class Coverage {
    /// The newest record of each key.
    WholeList,
    /// Appended records up to the end of the log.
    UpToEnd,
    /// Appended records that end before the end of the log, since a page is limited in bytes: two configurations of
    /// half a megabyte take two pages. Such a page confirms nothing, because the records that follow may be older than
    /// the read.
    Part,
};

/// This box's copy of the platform's store, read from the store itself or from other boxes. Applies records to the
/// router, and keeps what is needed to relay them to other boxes and to resume reading the store.
class ControlRecords {
public:
    ControlRecords(GatewayState& state, std::string box_name, std::string failure_domain);

    void set_apply_within(Core::Duration bound) { this->apply_within = bound; }

    // Records read from the store. `asked_at` is when the read was sent; the answer confirms the records up to that
    // moment and no later.
    void apply_operator_records(
        std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    void confirm_configuration(Core::Instant asked_at);
    void apply_endpoint_records(
        std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    /// Called when the store answers again after an outage. Endpoint entries may have expired during the outage, unless
    /// the list was confirmed shortly before.
    void store_returned(Core::Instant now);

    /// Passes the leader's announcements on to boxes that the leader doesn't reach.
    struct AnnouncementRelay {
        std::function<std::optional<Leadership::RelayedAnnouncement>(Core::Instant now)> own;
        std::function<void(Leadership::RelayedAnnouncement const& relayed)> apply;
    };
    void set_announcement_relay(AnnouncementRelay relay) { this->announcement_relay = std::move(relay); }

    /// Passes the topic of box records on.
    struct BoxRecordsRelay {
        /// The version of this box's copy.
        std::function<Membership::BoxRecordsVersion()> version;
        /// This box's copy; empty for none.
        std::function<std::optional<Membership::SharedBoxRecords>()> own;
        std::function<void(Membership::SharedBoxRecords const& relayed)> apply;
    };
    void set_box_records_relay(BoxRecordsRelay relay) { this->box_records_relay = std::move(relay); }

    /// Called when the store has been restored from an older copy and has to be read anew.
    using OnNewEra = std::function<void()>;
    void set_on_new_era(OnNewEra handler) { this->on_new_era = std::move(handler); }
    /// Records that an answer of the store, or a message of another box, belongs to `era`. `era_began_at` is when the
    /// sender first saw that era, if it saw it begin. Returns false for an earlier era than the current one; the answer
    /// must then be discarded.
    [[nodiscard]] bool observe_era(std::uint64_t era, std::optional<Core::Instant> era_began_at, Core::Instant now);
    /// The store's current era, which changes when the store is restored from an older copy; 0 if unknown.
    [[nodiscard]] std::uint64_t era() const { return this->history.era(); }

    /// The offset at which to resume reading a topic; empty until the topic was read completely in the current era.
    [[nodiscard]] std::optional<std::uint64_t> next(Adapter::Topic topic) const;
    void set_next(Adapter::Topic topic, std::optional<std::uint64_t> offset);
    /// Whether the topic was read completely at least once, in any era.
    [[nodiscard]] bool was_read(Adapter::Topic topic) const { return this->position(topic).offset.has_value(); }

    // Messages between boxes and their relays.
    [[nodiscard]] Membership::ControlRequest request(Core::Instant now) const;
    /// The answer to another box's request; empty until both topics were read completely. A configuration of more than
    /// `max_configuration_bytes` when compressed is left out. Each version is compressed for the first answer that
    /// contains it, so boxes that are never asked compress nothing.
    [[nodiscard]] std::optional<Membership::ControlAnswer> answer(
        Membership::ControlRequest const& request, std::size_t max_configuration_bytes, Core::Instant now);
    /// Applies a relay's answer to a request sent at `asked_at`; `relay_domain` is the relay's failure domain. Returns
    /// false if the relay has a newer configuration that it left out or that can't be read.
    bool apply_relayed(
        Membership::ControlAnswer const& answer, std::string const& relay_domain, Core::Instant asked_at);

    // Store versions, which all boxes exchange with their load reports.
    [[nodiscard]] Membership::StoreVersions store_versions(Core::Instant now) const;
    void apply_store_versions(Membership::StoreVersions const& reported, Core::Instant sent_at);

    /// Whether the list of endpoints was read completely at least once.
    [[nodiscard]] bool has_endpoints() const { return this->endpoints_confirmed_at.has_value(); }

private:
    enum class Outcome {
        Unreadable,
        NotNewer,
        InForce,
    };
    struct ConfigurationResult {
        Outcome outcome { Outcome::Unreadable };
        std::uint64_t version { 0 };
    };
    /// An offset in a topic's log, valid only in the era in which it was read.
    struct Position {
        std::optional<std::uint64_t> offset;
        std::uint64_t era { 0 };

        bool operator==(Position const&) const = default;
    };

    [[nodiscard]] Position const& position(Adapter::Topic topic) const
    {
        return topic == Adapter::Topic::Operator ? this->operator_position : this->endpoints_position;
    }
    [[nodiscard]] Position& position(Adapter::Topic topic)
    {
        return topic == Adapter::Topic::Operator ? this->operator_position : this->endpoints_position;
    }
    void begin_era(Core::Instant now);
    /// Whether an answer without a newer configuration confirms the one in force. It doesn't while the store lacks a
    /// version that this or another box has seen.
    [[nodiscard]] bool may_confirm_configuration(Core::Instant now) const;
    ConfigurationResult apply_configuration(
        std::string const& text, Core::Instant asked_at, std::optional<Core::Instant> confirmed_at);
    void apply_relayed_configuration(Membership::ConfigurationRecord const& record, Core::Instant confirmed_at);
    /// The configuration record in force, compressed; empty if it can't be compressed.
    [[nodiscard]] std::optional<Membership::CompressedText> compressed_configuration();
    [[nodiscard]] std::optional<Membership::CompressedText> compress(std::string const& text) const;
    /// Empty for a deleted entry and for one that can't be read.
    [[nodiscard]] std::optional<Routing::EndpointRecord> decode_endpoint(Adapter::KeyedRecord const& record);
    /// Logs each unreadable entry once per reason, since endpoints rewrite their entries again and again.
    void note_rejected(std::string const& key, std::string const& reason);
    /// Applies the evacuations among the records of a topic that was read up to `operator_position`.
    void apply_evacuations(std::vector<Adapter::KeyedRecord> const& records, Coverage coverage, Core::Instant now);
    void set_evacuated_domains(std::set<std::string> domains, Position const& as_of, Core::Instant now);
    /// Marks the list of endpoints as confirmed up to that moment.
    void confirm_endpoints(Core::Instant confirmed_at);
    // These take the revision of the journal from the position up to which the topic was read.
    void put_endpoint(Routing::EndpointRecord const& record, Membership::RecordSource source);
    /// Why the entry names no endpoint any more.
    enum class Removal {
        EntryDropped,
        /// Another writer may have written it, and the endpoint writes its own again.
        EntryUnreadable,
    };
    void remove_endpoint(std::string const& incarnation, Removal removal);
    void replace_endpoints(std::vector<Routing::EndpointRecord> records, Membership::RecordSource source);
    /// Why the record is not the endpoint's current one; empty if it is. Logs and counts such a record.
    [[nodiscard]] std::optional<Membership::Lateness> check_lateness(
        Routing::EndpointRecord const& record, Membership::RecordSource source, Core::Instant now);
    /// Replaces records that are out of date by the known ones, and leaves out those of endpoints that are not listed.
    void correct_late_records(
        std::vector<Routing::EndpointRecord>& records, Membership::RecordSource source, Core::Instant now);
    /// Lists the endpoints whose records were ignored as late and that have turned out to be running.
    void accept_ignored_records(Core::Instant now);
    /// Records that an endpoint's entry is no longer listed.
    void note_departure(Routing::EndpointRecord const& record, Core::Instant now);
    /// Identifies the store's history to which this box's list of endpoints belongs; 0 before there is one.
    [[nodiscard]] std::uint64_t list_history() const;
    /// Adds the endpoints that the requester lacks to the answer.
    void put_endpoints(Membership::ControlRequest const& request, Membership::ControlAnswer& answer);
    /// Adds the box records to the answer, unless the requester has the same or newer ones.
    void put_box_records(Membership::BoxRecordsVersion const& requester, Membership::ControlAnswer& answer) const;
    /// The whole list that an answer brings; empty if it can't be read.
    [[nodiscard]] std::optional<std::vector<Routing::EndpointRecord>> whole_list(
        Membership::ControlAnswer const& answer);
    /// Notes a version that this box has read from the store or in a record passed on by a relay.
    void note_read_version(std::uint64_t version, Core::Instant now);
    void apply_relayed_endpoints(Membership::ControlAnswer const& answer, Core::Instant confirmed_at);
    [[nodiscard]] std::uint64_t version() const;

    /// For this long after its start, a box applies the versions that other boxes report, since the store may have lost
    /// them before the box first read it.
    static constexpr Core::Duration startup_window { std::chrono::seconds(3) };

    /// For this long after the store was restored from an older copy, its list of endpoints may contain entries that
    /// had left or changed. By then such entries have expired again or were rewritten.
    static constexpr Core::Duration stale_list_time { std::chrono::seconds(5) };

    /// For this long after a record was accepted late it is sent to each box that asks. Boxes ask about once a second.
    static constexpr Core::Duration resend_time { std::chrono::seconds(10) };

    /// An entry expires after three missed heartbeats, which are at least a second apart. The last heartbeat before the
    /// outage may be one interval old, which leaves at least two.
    static constexpr Core::Duration min_expiry_time { std::chrono::seconds(2) };

    /// The division of the engines changes within seconds, and hundreds of boxes ask for it.
    static constexpr Core::Duration answer_shares_interval { std::chrono::milliseconds(100) };

    /// Unreadable entries whose reason is remembered, so that each is logged once.
    static constexpr std::size_t max_rejections = 1024;

    GatewayState& state;
    std::string box_name;
    std::string failure_domain;
    Membership::EndpointJournal journal;
    /// The era to which the journal's revisions belong.
    std::uint64_t journal_era { 0 };
    CompressedEndpointList compressed_list;
    /// Why entries can't be read, by key.
    std::map<std::string, std::string> rejected_endpoints;
    /// Demand of this failure domain only: each domain divides the engines by its own demand.
    Membership::DemandPool demand_of_askers;
    /// The moment up to which the list of endpoints is confirmed; empty until it was known completely.
    std::optional<Core::Instant> endpoints_confirmed_at;
    Membership::StoreHistory history;
    OnNewEra on_new_era;
    AnnouncementRelay announcement_relay;
    BoxRecordsRelay box_records_relay;
    Position endpoints_position;
    Position operator_position;
    std::set<std::string> evacuated_domains;
    /// How far the operator's topic was read, here or at a relay, when the evacuated domains were known.
    Position evacuations_position;
    /// The newest version that this box or a relay of it has read from the store in its current era.
    std::uint64_t version_in_store { 0 };
    /// The newest version reported by other boxes, which the store may have lost.
    std::uint64_t version_reported { 0 };
    Core::Instant started_at { Core::monotonic_now() };
    /// The bound within which changes must be applied.
    Core::Duration apply_within { 0 };
    /// Whether the operator has written since the store was restored from an older copy.
    bool is_rewritten { false };
    Membership::LateRecordFilter late_records;
    /// The operator's record in force, kept to be passed on: as text until the first box asks for it, compressed from
    /// then on. Empty if it can't be compressed.
    std::optional<Membership::ConfigurationRecord> configuration_record;
    std::optional<Core::Instant> store_returned_at;
    Core::Instant last_accepted_late {};
    /// The division of the engines that requesters get, and when it was computed.
    std::map<std::string, double> answer_shares;
    std::optional<Core::Instant> answer_shares_at;
};

}
