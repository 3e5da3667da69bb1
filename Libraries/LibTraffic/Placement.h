#pragma once

#include <LibTraffic/EndpointTable.h>

#include <optional>

namespace Traffic {

/// Input of a placement policy.
struct PlacementQuery {
    EndpointTable const& endpoints;
    RequestFacts const& facts;
    WindowLimit limit;
    /// An endpoint where this request failed before; used only if no other endpoint is available.
    std::optional<EndpointId> avoided_endpoint;
    /// An endpoint that has just ended an attempt or reported its load. The whole pool is scanned only if there is
    /// none.
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

/// Baseline: endpoints in round-robin order.
class RoundRobinPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random);

private:
    std::size_t next { 0 };
};

/// Baseline: the endpoint with the fewest running requests of this box.
class LeastOutstandingPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random) const;
};

/// The best of a few randomly drawn endpoints, by predicted time to the first token. Boxes with the same outdated
/// report draw different endpoints, so they do not all choose the same one.
class SampledPlacement {
public:
    [[nodiscard]] std::optional<PlacementChoice> place(PlacementQuery const& query, pcg32& random) const;

private:
    static constexpr std::size_t max_samples = 8;
    /// Pools up to this size are scanned completely, which costs less than random sampling.
    static constexpr std::size_t max_scanned_pool = 16;
};

using PlacementPolicy = std::variant<RoundRobinPlacement, LeastOutstandingPlacement, SampledPlacement>;

}
