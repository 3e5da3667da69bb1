#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace Core {

/// What a caller is told of its request. See docs/OUTCOMES.md for the exact meaning of each.
enum class Outcome {
    Completed,
    NotRun,
    Undecided,
    Unknown,
};

/// Why a decision fell as it did. Closed: each has a counter, and each refusal and retry names one.
enum class Reason {
    None,
    // Decisions that let work go on.
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
    // The platform front: what configuration and endpoints say of a request.
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
    EndpointReplaced,
    EndpointFailed,
    EndpointSilent,
    StreamResumed,
    RequestCrashesEndpoints,
    RequestProbed,
    AttemptsSpent,
    MemoryLimit,
    Count,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(Reason::Count);

/// The kebab-case name used in answers, counters, logs and decision records.
[[nodiscard]] std::string_view to_string(Reason reason);
[[nodiscard]] std::string_view to_string(Outcome outcome);

}
