#pragma once

#include <LibRouting/CrashLedger.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reports of runs during which endpoints crashed: the datagrams between boxes, and the records kept in the store.
namespace Membership {

using Core::Duration;

/// A crash, and its age when the message was sent.
struct TimedCrash {
    Routing::CrashReport report;
    Duration age { 0 };

    bool operator==(TimedCrash const&) const = default;
};

struct CrashMessage {
    std::vector<TimedCrash> crashes;
    /// Requests and prompt parts that an endpoint answered without a crash.
    std::vector<Routing::CrashSuspect> cleared;
    /// Endpoints that were reported as crashed but respond.
    std::vector<Routing::EndpointInstance> answering;
    /// Suspects that the sender is running as a probe: endpoints crashed under them before.
    std::vector<Routing::CrashSuspect> probed;
    /// Suspects whose probe by the sender has ended.
    std::vector<Routing::CrashSuspect> probes_ended;

    bool operator==(CrashMessage const&) const = default;
    [[nodiscard]] bool is_empty() const
    {
        return this->crashes.empty() && this->cleared.empty() && this->answering.empty() && this->probed.empty()
            && this->probes_ended.empty();
    }
};

/// Limit for the entries of each kind. Up to 85 bytes each, so a message fits into one packet of 1,500 bytes.
inline constexpr std::size_t max_crash_entries_per_message = 16;

[[nodiscard]] std::string encode(CrashMessage const& message);
/// Nothing for bytes that are no such message, or that contain invalid values.
[[nodiscard]] std::optional<CrashMessage> decode_crashes(std::string_view bytes);

/// Key of the record of a refused suspect, stored among the records of boxes.
[[nodiscard]] std::string crash_key(Routing::CrashSuspect suspect);
[[nodiscard]] bool is_crash_key(std::string_view key);
/// `now_unix_milliseconds` is this box's wall clock: the record outlives the process and its monotonic clock.
[[nodiscard]] std::string encode_crash_record(TimedCrash const& crash, std::int64_t now_unix_milliseconds);
/// Differences of seconds between wall clocks don't matter to a quarantine of minutes; a crash in the future gets the
/// age 0.
[[nodiscard]] std::optional<TimedCrash> decode_crash_record(std::string_view bytes, std::int64_t now_unix_milliseconds);

}
