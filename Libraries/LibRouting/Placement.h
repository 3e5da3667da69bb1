#pragma once

#include <LibRouting/EndpointDirectory.h>
#include <LibRouting/EndpointLoad.h>
#include <LibRouting/EngineDemand.h>
#include <LibRouting/EngineSpeed.h>
#include <LibRouting/SlotWait.h>

#include <unordered_map>

namespace Routing {

/// Costs used in placement decisions.
struct PlacementModel {
    /// Default duration of a call to a service without engines.
    double plain_call_milliseconds { 20 };
    /// Cost of leaving the failure domain: the round trip and the price of the traffic.
    double other_domain_milliseconds { 4 };
    /// Cost of an endpoint that fails all its requests: the time of a retry.
    double failure_milliseconds { 400 };
    /// Assumed cached fraction of a shared prompt part at its home endpoint if this box did not send the part there.
    double cached_at_home { 0.8 };
    /// Cost of rereading a shared prompt part, as a multiple of its reading time. Reading it again delays other
    /// requests, and 7,000 tokens are priced at about the value of a request.
    double reread_factor { 8 };
    /// Like `reread_factor`, for endpoints with a rate limit, which get few requests and so cache little.
    double limited_reread_factor { 1 };
    /// Benefit of using an endpoint with a rate limit. An unused slot is lost, and only answers show when the limit
    /// ends.
    double limited_bonus_milliseconds { 10 };
    /// Cost of placing a long prompt on an engine for long answers, or the reverse.
    double wrong_group_milliseconds { 400 };
    /// Cost factor of an endpoint's silence beyond the expected time: it has most likely failed.
    double overdue_factor { 4 };
    /// Cost of an engine whose slots are all taken; it rises from 0 at half of them. A higher cost would move requests
    /// away from engines that have their prompts cached.
    double full_engine_milliseconds { 150 };
    /// Cost of preempting a less urgent request: its prompt is read again, and its stream pauses meanwhile.
    double preemption_milliseconds { 300 };
    /// Fraction of the queue for slots that a request which preempts others has to wait for nevertheless, as far as
    /// placement reckons: the requests there may all be as urgent as it is.
    double equally_urgent_share { 0.3 };

    bool operator==(PlacementModel const&) const = default;
};

/// Reasons for the choice of an endpoint, for the log.
struct PlacementFigures {
    double predicted_milliseconds { 0 };
    double backlog_milliseconds { 0 };
    /// Expected wait for a slot of the engine.
    double slot_wait_milliseconds { 0 };
    std::uint32_t tokens_to_read { 0 };
    /// `tokens_to_read` if it is certain, else 0: other boxes may have made the engine cache shared parts.
    std::uint32_t certain_tokens { 0 };
    double running { 0 };
    /// Id of the prompt part that determines the home endpoint, and whether the chosen endpoint is the home.
    std::uint64_t home_key { 0 };
    bool is_home { false };
    std::size_t candidates { 0 };
    /// The estimated speed of the service's engines.
    EngineSpeed speed;
    /// How long work takes at the endpoint, as a factor of the usual time.
    double pace { 1 };

    bool operator==(PlacementFigures const&) const = default;
};

struct PlacementChoice {
    EndpointId endpoint;
    /// Expected time in which the engine reads the prompt.
    Duration prefill { 0 };
    /// Expected time until the first piece of the answer.
    Duration first_piece { 0 };
    PlacementFigures figures;

    bool operator==(PlacementChoice const&) const = default;
};

/// The request to place and the state to use.
struct PlacementQuery {
    Workload const& workload;
    bool is_engine { false };
    /// Number of engines that are preferred for long answers, so that long prompts do not delay their events; 0 if
    /// every engine takes both kinds.
    std::size_t engines_for_answers { 0 };
    std::string const& own_domain;
    Instant now;
    /// Estimated speed of the service's engines.
    EngineSpeed speed;
    /// How long requests occupy the slots of the service's engines, and whether this one preempts others there.
    SlotTimeEstimate slot_time;
    SlotRank rank { SlotRank::LeastUrgent };
    /// The fraction of engines, from 0 to 1, that this box compares, and the seed that selects them.
    ///
    /// Boxes that receive each other's load reports at the same time would all find the same engine the emptiest, and
    /// send requests there until the next reports. So the less frequent the reports are, the fewer engines each box
    /// compares.
    double compared_share { 1 };
    std::uint64_t sample_seed { 0 };
};

using LoadTable = std::unordered_map<EndpointId, EndpointLoad>;

/// Endpoints that may get requests, in the same order on every box.
struct PlacementCandidates {
    /// Endpoints without a rate limit. Home endpoints are chosen from these, and they are divided by kind of work.
    std::vector<KnownEndpoint const*> usual;
    /// Endpoints with a rate limit. They are no homes, since homes would move whenever the limit allows a request or
    /// not.
    std::vector<KnownEndpoint const*> limited {};
};

/// Chooses the endpoint with the lowest predicted cost; unset without candidates.
[[nodiscard]] std::optional<PlacementChoice> choose_endpoint(PlacementCandidates const& candidates,
    LoadTable const& loads, PlacementQuery const& query, PlacementModel const& model);

}
