#pragma once

#include <LibGateway/Leadership.h>
#include <LibMembership/DemandPool.h>
#include <LibMembership/DepartedEndpoints.h>
#include <LibMembership/LoadMessages.h>
#include <LibMembership/RelayMessages.h>
#include <LibMembership/StoreHistory.h>
#include <platform/StoreRecords.h>

#include <functional>

namespace Gateway {

/// What of a topic a read brought.
enum class Coverage {
    /// The newest record of each key.
    WholeList,
    /// What was appended, up to the end of the log.
    UpToEnd,
    /// What was appended, and more follows. A page is limited in bytes, so two configurations of half a megabyte take
    /// two.
    /// It vouches for nothing: what follows may be older than the read.
    Part,
};

/// What this box knows from the platform's store, wherever it heard it from: applies records to the router, and keeps
/// what is needed to pass them on to other boxes and to go on reading the store where the last reader stopped.
class ControlRecords {
public:
    /// `source` names this process to other boxes; not 0.
    ControlRecords(GatewayState& state, std::string box_name, std::string failure_domain, std::uint64_t source);

    void set_apply_within(Core::Duration bound) { this->apply_within = bound; }

    // From the store. `asked_at` is when the read was sent; an answer vouches for no later moment.
    void apply_operator_records(
        std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    void confirm_configuration(Core::Instant asked_at);
    void apply_endpoint_records(
        std::vector<Adapter::KeyedRecord> const& records, Core::Instant asked_at, Coverage coverage);
    /// The store answered again at that moment. Entries may have lapsed while it was away, unless the list was known to
    /// be whole shortly before.
    void store_returned(Core::Instant now);

    /// The leader's word, which relays pass on to boxes that it doesn't reach.
    struct AnnouncementRelay {
        std::function<std::optional<Leadership::RelayedAnnouncement>(Core::Instant now)> own;
        std::function<void(Leadership::RelayedAnnouncement const& relayed)> apply;
    };
    void set_announcement_relay(AnnouncementRelay relay) { this->announcement_relay = std::move(relay); }

    /// Called when the store has come back from a copy, so that it is read anew.
    using OnNewEra = std::function<void()>;
    void set_on_new_era(OnNewEra handler) { this->on_new_era = std::move(handler); }
    /// The store, or a box that heard of the era's beginning at `era_began_at`, gave an answer of this era. False if it
    /// is of an earlier one than this box knows, so that nothing in it holds.
    [[nodiscard]] bool observe_era(std::uint64_t era, std::optional<Core::Instant> era_began_at, Core::Instant now);
    /// The history of the store that this box knows of; 0 for none.
    [[nodiscard]] std::uint64_t era() const { return this->history.era(); }

    /// Where to go on reading a topic; nothing until it was read whole, in the history of the store that is known.
    [[nodiscard]] std::optional<std::uint64_t> next(Adapter::Topic topic) const;
    void set_next(Adapter::Topic topic, std::optional<std::uint64_t> offset);
    /// Whether the topic was read whole at least once, in whatever history.
    [[nodiscard]] bool was_read(Adapter::Topic topic) const { return this->position(topic).offset.has_value(); }

    // Between boxes.
    [[nodiscard]] Membership::ControlQuestion request(Core::Instant now) const;
    /// Nothing until both topics were read whole. A configuration that takes more than `max_configuration_bytes` bytes
    /// when compressed is left out. The first answer that holds a version compresses it, so only a box that is asked
    /// does.
    [[nodiscard]] std::optional<Membership::ControlAnswer> answer(
        Membership::ControlQuestion const& request, std::size_t max_configuration_bytes, Core::Instant now);
    /// Takes what a relay of this failure domain, or of another one, answered to a request sent at `asked_at`. False
    /// if it knows of a configuration that it did not pass on.
    bool apply_relayed(
        Membership::ControlAnswer const& answer, std::string const& relay_domain, Core::Instant asked_at);

    // Between all boxes, beside their load.
    [[nodiscard]] Membership::StoreKnowledge store_versions(Core::Instant now) const;
    void apply_store_versions(Membership::StoreKnowledge const& reported, Core::Instant sent_at);

    /// Whether the endpoints were read whole at least once.
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
    /// A place in a topic's log, which means nothing in another history of the store.
    struct Position {
        std::optional<std::uint64_t> offset;
        std::uint64_t era { 0 };
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
    /// Whether the store's word that nothing newer exists may be relied on. Not while it lacks what it has reported.
    [[nodiscard]] bool may_confirm_configuration(Core::Instant now) const;
    ConfigurationResult apply_configuration(
        std::string const& text, Core::Instant asked_at, std::optional<Core::Instant> confirmed_at);
    void apply_relayed_configuration(Membership::ConfigurationRecord const& record, Core::Instant confirmed_at);
    /// The record in force; nothing if it is longer than any that is passed on.
    [[nodiscard]] std::optional<Membership::CompressedText> compressed_configuration();
    [[nodiscard]] std::optional<Membership::CompressedText> compress(std::string const& text) const;
    /// Nothing for an entry that was dropped or names no endpoint.
    [[nodiscard]] std::optional<Routing::EndpointRecord> decode_endpoint(Adapter::KeyedRecord const& record);
    /// Logs an entry that can't be read once for each reason, however often it is written again.
    void note_rejected(std::string const& key, std::string const& reason);
    /// The list of endpoints is known as of that moment.
    void confirm_endpoints(Core::Instant confirmed_at);
    void put_endpoint(Routing::EndpointRecord const& record);
    void remove_endpoint(std::string const& incarnation);
    void replace_endpoints(std::vector<Routing::EndpointRecord> records);
    /// A version that this box itself has read of.
    void note_read_version(std::uint64_t version, Core::Instant now);
    void apply_relayed_endpoints(Membership::ControlAnswer const& answer, Core::Instant confirmed_at);
    [[nodiscard]] std::uint64_t version() const;

    /// For so long after this process started, others may know of a version that the store lost before.
    static constexpr Core::Duration startup_window { std::chrono::seconds(3) };

    /// For so long after the store came back from a copy its list of endpoints may hold entries that had gone or
    /// changed: until then they have lapsed again, or were written again.
    static constexpr Core::Duration stale_list_time { std::chrono::seconds(5) };

    /// An entry lapses after three heartbeats without one, a second or more each; the one before the gap may be as old
    /// as one.
    static constexpr Core::Duration min_expiry_time { std::chrono::seconds(2) };

    /// Entries that can't be read of which the reason is remembered, so that each is logged once.
    static constexpr std::size_t max_rejections = 1024;

    GatewayState& state;
    std::string box_name;
    std::string failure_domain;
    std::uint64_t source;
    Membership::EndpointJournal journal;
    /// Why entries of the store name no endpoint, by their keys.
    std::map<std::string, std::string> rejected_endpoints;
    /// Of this failure domain alone: each divides the engines for itself.
    Membership::DemandPool demand_of_askers;
    /// The moment that the list of endpoints vouches for; nothing until it was known whole.
    std::optional<Core::Instant> endpoints_confirmed_at;
    Membership::StoreHistory history;
    OnNewEra on_new_era;
    AnnouncementRelay announcement_relay;
    Position endpoints_position;
    Position operator_position;
    /// The newest version that this box itself has read in the store's present history.
    std::uint64_t version_in_store { 0 };
    /// The newest version that other boxes have told of and that the store may have lost.
    std::uint64_t version_reported { 0 };
    Core::Instant started_at { Core::monotonic_now() };
    /// The bound for applying changes.
    Core::Duration apply_within { 0 };
    /// Whether the operator has written since the store came back from a copy.
    bool is_rewritten { false };
    Membership::DepartedEndpoints departed;
    /// The operator's record in force, which is kept to be passed on: as the store holds it until another box asks for
    /// it, compressed from then on. Nothing if it can't be.
    std::optional<Membership::ConfigurationRecord> configuration_record;
    std::optional<Core::Instant> store_returned_at;
    /// Which process the list of endpoints was last taken from, and its revision there; 0 for the store.
    std::uint64_t relayed_source { 0 };
    std::uint64_t relayed_revision { 0 };
};

}
