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

/// Events and actions of the traffic engine. Everything here is a value; nothing does I/O.
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

/// What is known of a request when it arrives.
struct RequestFacts {
    RequestId id;
    ClassId request_class;
    AccountId account;
    Instant arrived;
    /// Hash of the prompt's beginning; 0 for none. Equal hashes may share an engine's prefix cache.
    std::uint64_t prefix_hash { 0 };
    /// Whether the caller sees the answer as it comes, so that it can't be started over once begun.
    bool streaming { false };

    bool operator==(RequestFacts const&) const = default;
};

/// An endpoint's report of its own load, already late when it arrives.
struct LoadReport {
    int running { 0 };
    int queued { 0 };
    int slots { 1 };
    /// When the figures were true, on this box's clock.
    Instant measured_at;
    bool leaving { false };

    bool operator==(LoadReport const&) const = default;
};

enum class AttemptResult {
    Completed,
    /// No byte of the request reached the endpoint.
    ConnectionRefused,
    /// The endpoint answered that it did not take the request.
    EndpointBusy,
    /// Sent, then nothing whole came back; it may have run.
    Failed,
    /// The answer broke after the caller had seen a part of it.
    BrokenAfterDelivery,
    /// Not sent: this box could not claim the key.
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

/// The figures that a decision was taken on, kept so that it can be explained later.
struct DecisionInputs {
    std::uint32_t queued { 0 };
    std::uint32_t running { 0 };
    Duration predicted_wait { 0 };
    /// Time left until the latest start that meets the target; negative when it has passed.
    Duration slack { 0 };
    std::array<CandidateScore, max_candidates> candidates {};
    std::uint32_t candidate_count { 0 };

    bool operator==(DecisionInputs const&) const = default;
};

/// The request waits in the queue.
struct Wait {
    RequestId request;
    DecisionInputs inputs;

    bool operator==(Wait const&) const = default;
};

/// Send the request to the endpoint now.
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
    TierId tier;
    Reason reason { Reason::PlacedInTierOrder };
    std::uint32_t attempt { 1 };
    DecisionInputs inputs;

    bool operator==(Dispatch const&) const = default;
};

/// Tell the caller now that the request is given up on.
struct Refuse {
    RequestId request;
    Reason reason { Reason::None };
    Duration retry_after { 0 };
    DecisionInputs inputs;

    bool operator==(Refuse const&) const = default;
};

/// Cancel the running attempt; the request goes back into the queue.
struct Preempt {
    RequestId request;
    EndpointId endpoint;
    Reason reason { Reason::PreemptedForUrgent };

    bool operator==(Preempt const&) const = default;
};

/// A failed attempt is tried again: the request waits in the queue once more.
struct Retry {
    RequestId request;
    Reason reason { Reason::None };

    bool operator==(Retry const&) const = default;
};

/// The request is over; a failed one is not tried again for the reason given.
struct Conclude {
    RequestId request;
    AttemptResult result { AttemptResult::Completed };
    Reason reason { Reason::AnswerComplete };

    bool operator==(Conclude const&) const = default;
};

using Action = std::variant<Wait, Dispatch, Refuse, Preempt, Retry, Conclude>;
using Actions = std::vector<Action>;

/// What a pool's engine has to know of the settings. Ids stay the same from one version to the next.
struct PoolPolicy {
    std::map<ClassId, Settings::ClassSettings> classes;
    std::map<AccountId, double> account_weights;
    std::map<EndpointId, Settings::EndpointSettings> endpoints;
    Settings::RoutingSettings routing;
    std::string failure_domain;

    bool operator==(PoolPolicy const&) const = default;
};

}
