#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Reason.h>
#include <LibCore/Time.h>
#include <LibSettings/Settings.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Events and actions of the traffic engine, as plain values. Nothing here does I/O.
namespace Traffic {

using Core::AccountId;
using Core::ClassId;
using Core::Duration;
using Core::EndpointId;
using Core::Instant;
using Core::Outcome;
using Core::Reason;
using Core::RequestId;
using Core::TierId;

/// Properties of a request that are known when it arrives.
struct RequestFacts {
    RequestId id;
    ClassId request_class;
    AccountId account;
    Instant arrived;
    /// Hash of the prompt's prefix; 0 for none. Requests with equal hashes may share an endpoint's prefix cache.
    std::uint64_t prefix_hash { 0 };
    /// Whether the answer is streamed to the client. It can't be restarted once a part has been sent.
    bool streaming { false };

    bool operator==(RequestFacts const&) const = default;
};

/// An endpoint's report of its own load. Always somewhat outdated when it arrives.
struct LoadReport {
    int running { 0 };
    int queued { 0 };
    int slots { 1 };
    /// When the load was measured, on this box's clock.
    Instant measured_at;
    bool leaving { false };

    bool operator==(LoadReport const&) const = default;
};

enum class AttemptResult {
    Completed,
    /// No byte of the request reached the endpoint.
    ConnectionRefused,
    /// The endpoint rejected the request without running it.
    EndpointBusy,
    /// Sent, but no complete answer was received; the request may have run.
    Failed,
    /// The connection broke after a part of the answer had been sent to the client.
    BrokenAfterDelivery,
    /// Not sent, because this box could not claim the idempotency key.
    NotSent,
    CallerGone,
    /// Cancelled by a Preempt action.
    Preempted,
};

struct AttemptEnd {
    AttemptResult result { AttemptResult::Completed };

    bool operator==(AttemptEnd const&) const = default;
};

struct CandidateScore {
    EndpointId endpoint;
    /// Predicted milliseconds to the first token; lower is better.
    double score { 0 };

    bool operator==(CandidateScore const&) const = default;
};

inline constexpr std::size_t max_candidates = 3;

/// Inputs of a decision, stored so that the decision can be explained later.
struct DecisionInputs {
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    Duration predicted_wait { 0 };
    /// Time until the latest start that still meets the target; negative if that start has passed.
    Duration slack { 0 };
    std::array<CandidateScore, max_candidates> candidates {};
    std::uint32_t candidate_count { 0 };

    bool operator==(DecisionInputs const&) const = default;
};

/// The request is queued.
struct Wait {
    RequestId request;
    DecisionInputs inputs;

    bool operator==(Wait const&) const = default;
};

/// Send the request to the endpoint.
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
    TierId tier;
    Reason reason { Reason::PlacedInTierOrder };
    std::uint32_t attempt { 1 };
    DecisionInputs inputs;

    bool operator==(Dispatch const&) const = default;
};

/// Refuse the request with an error to the client.
struct Refuse {
    RequestId request;
    Reason reason { Reason::None };
    Duration retry_after { 0 };
    DecisionInputs inputs;

    bool operator==(Refuse const&) const = default;
};

/// Cancel the running attempt and queue the request again.
struct Preempt {
    RequestId request;
    EndpointId endpoint;
    Reason reason { Reason::PreemptedForUrgent };

    bool operator==(Preempt const&) const = default;
};

/// The attempt failed; the request is queued again for a retry.
struct Retry {
    RequestId request;
    Reason reason { Reason::None };

    bool operator==(Retry const&) const = default;
};

/// The request has ended. If it failed, `reason` says why it is not retried.
struct Conclude {
    RequestId request;
    AttemptResult result { AttemptResult::Completed };
    Reason reason { Reason::AnswerComplete };

    bool operator==(Conclude const&) const = default;
};

using Action = std::variant<Wait, Dispatch, Refuse, Preempt, Retry, Conclude>;
using Actions = std::vector<Action>;

/// The settings that the engine of one pool needs. An id keeps its meaning from one settings version to the next.
struct PoolPolicy {
    std::map<ClassId, Settings::ClassSettings> classes;
    std::map<AccountId, double> account_weights;
    std::map<EndpointId, Settings::EndpointSettings> endpoints;
    Settings::RoutingSettings routing;
    std::string failure_domain;

    bool operator==(PoolPolicy const&) const = default;
};

}
