#pragma once

#include <LibRouting/CrashLedger.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What boxes tell each other of requests under which endpoints crashed, and what of it they keep in the store.
namespace Membership {

using Core::Duration;

/// A crash, and how long ago it was when this was told.
struct TimedCrash {
    Routing::CrashReport report;
    Duration age { 0 };

    bool operator==(TimedCrash const&) const = default;
};

struct CrashMessage {
    std::vector<TimedCrash> crashes;
    /// Requests of which a run ended well.
    std::vector<Routing::RequestFingerprint> cleared;
    /// Endpoints that were said to have crashed and answer.
    std::vector<Routing::EndpointLife> answering;
    /// Requests under which endpoints crashed, of which the teller has a run under way.
    std::vector<Routing::RequestFingerprint> probed;
    /// Requests of which the teller's run is over.
    std::vector<Routing::RequestFingerprint> probes_ended;

    bool operator==(CrashMessage const&) const = default;
    [[nodiscard]] bool is_empty() const
    {
        return this->crashes.empty() && this->cleared.empty() && this->answering.empty() && this->probed.empty()
            && this->probes_ended.empty();
    }
};

/// Of each kind in one message, at most. Some 60 bytes each, so a message fits into one packet of 1,500 bytes.
inline constexpr std::size_t max_crash_entries_per_message = 16;

[[nodiscard]] std::string encode(CrashMessage const& message);
/// Nothing for bytes that are no such message, or hold what no box tells.
[[nodiscard]] std::optional<CrashMessage> decode_crashes(std::string_view bytes);

/// Key of the record of a refused request, among those of boxes.
[[nodiscard]] std::string crash_key(Routing::RequestFingerprint request);
[[nodiscard]] bool is_crash_key(std::string_view key);
/// `now_unix_milliseconds` is this box's wall clock: the record outlives the process, and with it any other clock.
[[nodiscard]] std::string encode_crash_record(TimedCrash const& crash, std::int64_t now_unix_milliseconds);
/// Clocks that differ by seconds don't matter to a quarantine of minutes; a crash in the future is taken for one now.
[[nodiscard]] std::optional<TimedCrash> decode_crash_record(std::string_view bytes, std::int64_t now_unix_milliseconds);

}
