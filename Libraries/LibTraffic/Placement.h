#pragma once

#include <LibTraffic/EndpointTable.h>

#include <optional>

namespace Traffic {

/// What a placement policy may look at.
struct PlacementQuery {
    EndpointTable const& endpoints;
    RequestFacts const& facts;
    WindowLimit limit;
    /// An endpoint that failed this request before; taken only when there is no other.
    std::optional<EndpointId> avoided_endpoint;
    /// An endpoint where a slot has just come free; the whole pool is scanned only without it.
    std::optional<EndpointId> suggested_endpoint;
    std::string const& failure_domain;
    Duration typical_first_token { 0 };
    Instant now;
};

struct PlacementChoice {
    EndpointId endpoint;
    std::array<CandidateScore, max_candidates> candidates {};
    std::uint32_t candidate_count { 0 };
};

/// Endpoints in turn. A baseline.
class RoundRobinPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random);

private:
    std::size_t next { 0 };
};

/// The endpoint with the fewest requests of this box. A baseline.
class LeastOutstandingPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random) const;
};

/// The best of a few endpoints drawn at random, by predicted time to the first token. Boxes that hold the same stale
/// report draw different samples, so they do not all choose the same endpoint.
class SampledPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random) const;

private:
    static constexpr std::size_t max_samples = 8;
    /// Pools up to this size are always scanned; it costs less than the tries.
    static constexpr std::size_t max_scanned_pool = 16;
};

using PlacementPolicy = std::variant<RoundRobinPlacement, LeastOutstandingPlacement, SampledPlacement>;

}
