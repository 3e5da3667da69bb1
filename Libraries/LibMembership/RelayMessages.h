#pragma once

#include <LibMembership/CompressedText.h>
#include <LibMembership/EndpointJournal.h>
#include <LibRouting/EngineDemand.h>

#include <set>
#include <tuple>
#include <variant>

namespace Membership {

/// The records of a topic that boxes write, by key, as they are stored.
using BoxRecords = std::map<std::string, std::string>;

/// Which box records a box has, and when they were read from the store.
struct BoxRecordsVersion {
    /// Differs for other records; 0 for none.
    std::uint64_t fingerprint { 0 };
    /// The store's era, and the end of the topic's log when the records were read. The end is 0 if neither is known:
    /// boxes of earlier versions don't tell.
    std::uint64_t era { 0 };
    std::uint64_t end { 0 };

    /// False if it isn't known which are older.
    [[nodiscard]] bool is_older_than(BoxRecordsVersion const& other) const
    {
        return this->end != 0 && other.end != 0 && std::tie(this->era, this->end) < std::tie(other.era, other.end);
    }

    bool operator==(BoxRecordsVersion const&) const = default;
};

/// A copy of the topic of box records that boxes pass on.
struct SharedBoxRecords {
    BoxRecordsVersion version;
    CompressedText records;

    bool operator==(SharedBoxRecords const&) const = default;
};

/// A box's request to a relay.
struct ControlRequest {
    /// The store's history to which the requester's list of endpoints belongs; 0 for none.
    std::uint64_t source { 0 };
    /// The revision of the list in that history.
    std::uint64_t revision { 0 };
    std::uint64_t configuration_version { 0 };
    /// Name of the requesting box.
    std::string requester;
    /// Work that the requester's recent requests cause at engines, by service.
    std::map<std::string, Routing::WorkTotals> work;
    /// Failure domain of the requester; empty from boxes that use relays of their own domain only.
    std::string requester_domain;
    /// Of the requester's copy of the topic of box records.
    BoxRecordsVersion box_records {};
    /// Whether the requester reads compressed lists of endpoints.
    bool takes_compressed_endpoints { false };

    bool operator==(ControlRequest const&) const = default;
};

/// The operator's record, compressed or in the store's form.
using ConfigurationRecord = std::variant<CompressedText, std::string>;

/// The store data that a relay has, and its age.
struct ControlAnswer {
    std::uint64_t source { 0 };
    /// An earlier state of the whole list, to which `endpoints` are the changes; empty if they are complete.
    std::optional<CompressedText> endpoint_list;
    EndpointChanges endpoints;
    /// Age of the list of endpoints: time since the moment up to which it is confirmed.
    Duration endpoints_age { 0 };
    /// Offset at which to continue reading the store's topic of endpoints.
    std::uint64_t endpoints_next { 0 };
    std::uint64_t configuration_version { 0 };
    /// The operator's record; empty if the requester has it or if it is too long to send. In the store's form only from
    /// a box that doesn't compress it.
    std::optional<ConfigurationRecord> configuration;
    Duration configuration_age { 0 };
    std::uint64_t configuration_next { 0 };
    /// How long the version has been known to the relay or to the box it came from; empty if neither reported it, or if
    /// the requester has the version.
    std::optional<Duration> configuration_known_for;
    /// The failure domains whose endpoints get no new requests, as of `configuration_next`; empty if the relay doesn't
    /// know.
    std::optional<std::set<std::string>> evacuated_domains;
    /// Empty if the requester has the same records or newer ones, or if the relay has none.
    std::optional<SharedBoxRecords> box_records;
    /// Time since the store responded to the relay again after an outage.
    std::optional<Duration> store_returned_ago;
    /// Era of the store's history that the data belongs to; 0 if the relay doesn't know it.
    std::uint64_t store_era { 0 };
    /// Time since the relay observed the start of the era; empty if it observed no earlier era.
    std::optional<Duration> store_era_began_ago;
    /// The relay's latest announcement of the leader, in its wire form, and its age; empty without any.
    std::string leader_announcement;
    Duration leader_announcement_age { 0 };
    /// The share of each service's engines that long answers get at all boxes that use this relay.
    std::map<std::string, double> answer_shares;

    bool operator==(ControlAnswer const&) const = default;
};

/// An encoded answer in two parts, sent one after the other: the first is specific to the requester, the second is
/// shared by all requesters.
struct EncodedAnswer {
    std::string own;
    /// Null if the answer contains no configuration.
    std::shared_ptr<std::string const> shared;

    /// Both parts together.
    [[nodiscard]] std::string whole() const { return this->shared ? this->own + *this->shared : this->own; }
};

/// A list of endpoints in the form in which it is compressed.
[[nodiscard]] std::string encode(std::vector<EndpointChange> const& endpoints);
[[nodiscard]] std::optional<std::vector<EndpointChange>> decode_endpoints(std::string const& bytes);
/// Box records in the form in which they are compressed.
[[nodiscard]] std::string encode(BoxRecords const& records);
[[nodiscard]] std::optional<BoxRecords> decode_box_records(std::string const& bytes);

// Messages between boxes, and the store's record of a box. Decoders return nothing for other bytes.
[[nodiscard]] std::string encode(ControlRequest const& request);
[[nodiscard]] std::optional<ControlRequest> decode_request(std::string const& bytes);
[[nodiscard]] EncodedAnswer encode(ControlAnswer const& answer);
[[nodiscard]] std::optional<ControlAnswer> decode_answer(std::string const& bytes);
/// All but the name, which is the record's key.
[[nodiscard]] std::string encode(BoxRecord const& record);
// With the name, for a record whose key is the failure domain.
[[nodiscard]] std::string encode_relay(BoxRecord const& record);
[[nodiscard]] std::optional<BoxRecord> decode_relay(std::string const& bytes);
[[nodiscard]] std::optional<BoxRecord> decode_box(std::string const& name, std::string const& bytes);

}
