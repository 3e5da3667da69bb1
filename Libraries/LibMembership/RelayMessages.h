#pragma once

#include <LibMembership/CompressedText.h>
#include <LibMembership/EndpointJournal.h>
#include <LibRouting/EngineDemand.h>

#include <variant>

namespace Membership {

/// What a box asks a relay.
struct ControlRequest {
    /// The process that the asker's list of endpoints comes from, drawn at random when it started; 0 for none.
    std::uint64_t source { 0 };
    /// The revision of that process's list.
    std::uint64_t revision { 0 };
    std::uint64_t configuration_version { 0 };
    /// Name of the box that asks.
    std::string requester;
    /// What the asker's recent requests ask of engines, by service.
    std::map<std::string, Routing::WorkTotals> work;
    /// Its failure domain; empty from boxes that ask within their own only.
    std::string requester_domain;

    bool operator==(ControlRequest const&) const = default;
};

/// The operator's record: compressed, or as the store holds it.
using ConfigurationRecord = std::variant<CompressedText, std::string>;

/// What a relay knows from the platform's store, and how old that is.
struct ControlAnswer {
    std::uint64_t source { 0 };
    EndpointChanges endpoints;
    /// Time since the moment that the list of endpoints vouches for.
    Duration endpoints_age { 0 };
    /// Offset from which to go on reading the store's topic of endpoints.
    std::uint64_t endpoints_next { 0 };
    std::uint64_t configuration_version { 0 };
    /// The operator's record; nothing if the asker has it, or if it is too long to be passed on. As the store holds it
    /// only from a box that doesn't compress it.
    std::optional<ConfigurationRecord> configuration;
    Duration configuration_age { 0 };
    std::uint64_t configuration_next { 0 };
    /// How long the version has been known to the relay or to whoever told it; nothing if neither said so, or if
    /// the asker has it.
    std::optional<Duration> configuration_known_for;
    /// How long ago the store answered the relay again after a loss.
    std::optional<Duration> store_returned_ago;
    /// Which history of the store all of this is of; 0 if the relay doesn't know.
    std::uint64_t store_era { 0 };
    /// How long ago the relay heard that the era began; nothing if it heard of no earlier one.
    std::optional<Duration> store_era_began_ago;
    /// The leader's last word that the relay has, as the leader told it, and how old it is; empty without any.
    std::string leader_announcement;
    Duration leader_announcement_age { 0 };
    /// The part of each service's engines that long answers get at all boxes that ask this relay.
    std::map<std::string, double> answer_shares;

    bool operator==(ControlAnswer const&) const = default;
};

/// The form of an answer between boxes, in two parts that follow one another: what each asker gets of its own, and what
/// all that get it share.
struct EncodedAnswer {
    std::string own;
    /// Nothing if the answer holds no configuration.
    std::shared_ptr<std::string const> shared;

    /// Both parts together.
    [[nodiscard]] std::string whole() const { return this->shared ? this->own + *this->shared : this->own; }
};

// The forms that these take between boxes, and a box's record in the store. Decoders give nothing for other bytes.
[[nodiscard]] std::string encode(ControlRequest const& request);
[[nodiscard]] std::optional<ControlRequest> decode_request(std::string const& bytes);
[[nodiscard]] EncodedAnswer encode(ControlAnswer const& answer);
[[nodiscard]] std::optional<ControlAnswer> decode_answer(std::string const& bytes);
/// All but the name, which is the record's key.
[[nodiscard]] std::string encode(BoxRecord const& record);
[[nodiscard]] std::optional<BoxRecord> decode_box(std::string const& name, std::string const& bytes);

}
