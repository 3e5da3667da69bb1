#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/EndpointLoad.h>

#include <unordered_map>

namespace Routing {

/// Speeds and penalties that placement reckons with. The speeds come from the users' sheets of their engines.
struct PlacementModel {
    /// Prompt tokens that an engine reads in a millisecond.
    double prefill_tokens_per_millisecond { 56.9 };
    /// A step of an engine without other requests.
    double step_milliseconds { 3.09 };
    /// What each running request adds to a step.
    double step_milliseconds_per_request { 0.102 };
    /// What a call of a plain service takes, where nothing was measured yet.
    double plain_call_milliseconds { 20 };
    /// Cost of leaving the failure domain: the way there and back, and the price of the bytes.
    double other_domain_milliseconds { 4 };
    /// Cost of an endpoint that fails all its requests: what a retry takes.
    double failure_milliseconds { 400 };
    /// Part of a shared prompt part that the part's usual endpoint is believed to keep though this box did not send it.
    double kept_at_home { 0.8 };
    /// How many times its reading time a shared part costs where it is read again: it holds up others, and the users
    /// price it at about the worth of a request for 7,000 tokens.
    double read_again_factor { 4 };
    /// Part of a service's engines that long answers go to first, so that long prompts do not stretch the pauses
    /// between their events. An engine bears far more long answers than one box in five gets.
    double share_for_long_answers { 0.2 };
    /// An answer is long if making it takes this many times as long as reading its prompt.
    double long_answer_ratio { 6 };
    /// Cost of placing a request on an engine that is meant for the other kind.
    double wrong_side_milliseconds { 400 };

    bool operator==(PlacementModel const&) const = default;
};

/// Why an endpoint was chosen, for the log.
struct PlacementFigures {
    double predicted_milliseconds { 0 };
    double backlog_milliseconds { 0 };
    std::uint32_t tokens_to_read { 0 };
    double running { 0 };
    std::size_t candidates { 0 };

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
    std::string const& own_domain;
    Instant now;
};

using LoadTable = std::unordered_map<EndpointId, EndpointLoad>;

/// Chooses the endpoint with the lowest predicted time to a useful answer. `candidates` holds only endpoints that may
/// take work, in the same order on every box.
[[nodiscard]] std::optional<PlacementChoice> choose_endpoint(std::vector<KnownEndpoint const*> const& candidates,
    LoadTable const& loads, PlacementQuery const& query, PlacementModel const& model);

}
