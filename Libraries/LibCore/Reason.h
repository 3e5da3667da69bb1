#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Core {

/// Outcome of a request as reported to the client. docs/OUTCOMES.md defines each value.
enum class Outcome {
    Completed,
    NotRun,
    Undecided,
    Unknown,
};

/// Why a decision was made. A closed set: every reason has a counter, and every refusal and retry carries one.
enum class Reason {
    None,
    // Decisions that let a request proceed.
    Admitted,
    Queued,
    PlacedInTierOrder,
    PlacedByFloor,
    PlacedByBaseline,
    AnswerComplete,
    AnswerReplayed,
    AnswerNotKept,
    // Refusals under load.
    BacklogTooLong,
    AccountOverShare,
    TargetOutOfReach,
    PatienceExpired,
    NoEndpoint,
    Draining,
    // Retries and preemptions.
    ConnectionRefused,
    RetryConnectionRefused,
    RetryAttemptFailed,
    RetryBudgetSpent,
    RetryNotAllowed,
    PreemptedForUrgent,
    // Ends of attempts.
    AnswerCutShort,
    EndpointError,
    CallerGone,
    // Not-repeatable requests.
    KeyMissing,
    KeyMalformed,
    KeyFromFuture,
    KeyTooOld,
    KeyHistoryNotRead,
    KeyReusedForOtherRequest,
    KeyVoided,
    ClaimNotReadBack,
    ClaimHeldByOther,
    ClaimantEnded,
    LogUnreachable,
    // Bad input.
    MalformedBody,
    BodyTooLarge,
    NotUtf8,
    DuplicateHeader,
    UnknownModel,
    UnknownPath,
    ClassNotAllowed,
    UnknownClass,
    CredentialMissing,
    CredentialWrong,
    SettingsNotLoaded,
    // The platform gateway: routing, configuration and endpoint state.
    RouteUnknown,
    KeyUnknown,
    ConfigurationMissing,
    ConfigurationAging,
    ConfigurationExpired,
    HeaderTooLarge,
    MalformedRequest,
    DeadlinePassed,
    RouteTimeoutPassed,
    EndpointFull,
    EndpointsAtLimit,
    EndpointsBackedOff,
    EndpointsEvacuated,
    NoEndpointInRegion,
    EndpointReplaced,
    EndpointFailed,
    EndpointSilent,
    StreamResumed,
    RequestCrashesEndpoints,
    RequestProbed,
    AttemptsSpent,
    MemoryLimit,
    EndpointsUnreachable,
    StreamOriginUnknown,
    NoEndpointOfVersion,
    Count,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(Reason::Count);

/// The kebab-case name used in responses, counters, logs and decision records.
[[nodiscard]] std::string_view to_string(Reason reason);
/// The reason of this name; nothing if there is none.
[[nodiscard]] std::optional<Reason> reason_from_name(std::string_view name);
[[nodiscard]] std::string_view to_string(Outcome outcome);

}
