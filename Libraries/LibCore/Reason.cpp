#include <LibCore/Reason.h>
#include <LibCore/Verify.h>
#include <algorithm>

namespace Core {

namespace {

constexpr std::array<std::string_view, reason_count> reason_names {
    "none",
    "admitted",
    "queued",
    "placed-in-tier-order",
    "placed-by-floor",
    "placed-by-baseline",
    "answer-complete",
    "answer-replayed",
    "answer-not-kept",
    "backlog-too-long",
    "account-over-share",
    "target-out-of-reach",
    "patience-expired",
    "no-endpoint",
    "draining",
    "connection-refused",
    "retry-connection-refused",
    "retry-attempt-failed",
    "retry-budget-spent",
    "retry-not-allowed",
    "preempted-for-urgent",
    "answer-cut-short",
    "endpoint-error",
    "caller-gone",
    "key-missing",
    "key-malformed",
    "key-from-future",
    "key-too-old",
    "key-history-not-read",
    "key-reused-for-other-request",
    "key-voided",
    "claim-not-read-back",
    "claim-held-by-other",
    "claimant-ended",
    "log-unreachable",
    "malformed-body",
    "body-too-large",
    "not-utf8",
    "duplicate-header",
    "unknown-model",
    "unknown-path",
    "class-not-allowed",
    "unknown-class",
    "credential-missing",
    "credential-wrong",
    "settings-not-loaded",
    "route-unknown",
    "key-unknown",
    "configuration-missing",
    "configuration-aging",
    "configuration-expired",
    "header-too-large",
    "malformed-request",
    "deadline-passed",
    "route-timeout-passed",
    "endpoint-full",
    "endpoints-at-limit",
    "endpoints-backed-off",
    "endpoints-evacuated",
    "no-endpoint-in-region",
    "endpoint-replaced",
    "endpoint-failed",
    "endpoint-silent",
    "stream-resumed",
    "request-crashes-endpoints",
    "request-probed",
    "attempts-spent",
    "memory-limit",
    "endpoints-unreachable",
    "stream-origin-unknown",
    "no-endpoint-of-version",
};

}

std::optional<Reason> reason_from_name(std::string_view name)
{
    auto const found = std::ranges::find(reason_names, name);
    if (found == reason_names.end())
        return {};
    return static_cast<Reason>(found - reason_names.begin());
}

std::string_view to_string(Reason reason)
{
    auto const index = static_cast<std::size_t>(reason);
    VERIFY(index < reason_names.size() && !reason_names[index].empty());
    return reason_names[index];
}

std::string_view to_string(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Undecided:
        return "undecided";
    case Outcome::Unknown:
        return "unknown";
    }
    VERIFY(false);
}

}
