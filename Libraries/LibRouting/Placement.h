#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/EndpointLoad.h>
#include <LibRouting/EngineDemand.h>
#include <LibRouting/EngineSpeed.h>

#include <unordered_map>

namespace Routing {

/// Penalties that placement reckons with.
struct PlacementModel {
    /// What a call of a plain service takes, where nothing is known yet.
    double plain_call_milliseconds { 20 };
    /// Cost of leaving the failure domain: the way there and back, and the price of the bytes.
    double other_domain_milliseconds { 4 };
    /// Cost of an endpoint that fails all its requests: what a retry takes.
    double failure_milliseconds { 400 };
    /// Part of a shared prompt part that the part's usual endpoint is believed to keep though this box did not send it.
    double cached_at_home { 0.8 };
    /// How many times its reading time a shared part costs where it is read again: it holds up others, and the users
    /// price it at about the worth of a request for 7,000 tokens.
    double reread_factor { 8 };
    /// The same at an endpoint that takes work at times only, which gets little and keeps little.
    double limited_reread_factor { 1 };
    /// What it gains to use an endpoint that takes work at times only: a turn that lapses is lost to all, and only
    /// answers tell when its limit ends.
    double limited_bonus_milliseconds { 10 };
    /// Cost of placing a request on an engine that is meant for the other kind.
    double wrong_group_milliseconds { 400 };
    /// How many times the silence of an endpoint beyond the expected counts: it has most likely failed.
    double overdue_factor { 4 };
    /// Cost of an engine all of whose slots are taken; half of them are free of cost. A dear engine sends requests away
    /// from what it keeps of their prompts.
    double full_engine_milliseconds { 150 };

    bool operator==(PlacementModel const&) const = default;
};

/// Why an endpoint was chosen, for the log.
struct PlacementFigures {
    double predicted_milliseconds { 0 };
    double backlog_milliseconds { 0 };
    std::uint32_t tokens_to_read { 0 };
    /// The part of these that no other box can have made the engine keep.
    std::uint32_t certain_tokens { 0 };
    double running { 0 };
    /// The part of the prompt that decides on the home, and whether this endpoint is it.
    std::uint64_t home_key { 0 };
    bool is_home { false };
    std::size_t candidates { 0 };
    /// What was believed of the engines' speed.
    EngineSpeed speed;

    bool operator==(PlacementFigures const&) const = default;
};

struct PlacementChoice {
    EndpointId endpoint;
    /// How long the engine is expected to read the prompt.
    Duration prefill { 0 };
    /// When the first piece of the answer is expected, from now.
    Duration first_piece { 0 };
    PlacementFigures figures;

    bool operator==(PlacementChoice const&) const = default;
};

/// What a placement looks at.
struct PlacementQuery {
    Workload const& workload;
    bool is_engine { false };
    /// How many of the engines long answers go to first, so that long prompts do not stretch the pauses between their
    /// events; 0 if every engine takes both kinds.
    std::size_t engines_for_answers { 0 };
    std::string const& own_domain;
    Instant now;
    /// Of the service's engines, as far as it is known.
    EngineSpeed speed;
    /// The part of the engines, from 0 to 1, that this box compares, and a number that draws them; at 1 all are
    /// compared.
    ///
    /// Boxes that hear of each other's load at the same moments all find the same engine the emptiest, and send there
    /// until the next reports. So the older what boxes know of each other, the fewer engines each compares.
    double compared_share { 1 };
    std::uint64_t sample_seed { 0 };
};

using LoadTable = std::unordered_map<EndpointId, EndpointLoad>;

/// Endpoints that may take work, in the same order on every box.
struct PlacementCandidates {
    /// Prompt parts have their homes here, and long answers their share of engines.
    std::vector<KnownEndpoint const*> usual;
    /// These take work now and then only. They are no homes, since prompt parts would move with each turn.
    std::vector<KnownEndpoint const*> limited {};
};

/// Chooses the endpoint with the lowest predicted time to a useful answer.
[[nodiscard]] std::optional<PlacementChoice> choose_endpoint(PlacementCandidates const& candidates,
    LoadTable const& loads, PlacementQuery const& query, PlacementModel const& model);

}
