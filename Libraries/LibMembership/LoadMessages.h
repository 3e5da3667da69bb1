#pragma once

#include <LibMembership/BoxDirectory.h>
#include <LibRouting/LoadReport.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

/// What a box knows from the store, told beside its load: a box that starts just after the store came back from a copy
/// reads an older configuration there than others know.
struct StoreVersions {
    std::uint64_t configuration_version { 0 };
    std::uint64_t store_era { 0 };
    /// How long ago the box heard that the era began; nothing if it heard of no earlier one.
    std::optional<Duration> era_began_ago;
    /// How long the version has been known to the box or to whoever told it; nothing if neither said so.
    std::optional<Duration> configuration_known_for {};

    bool operator==(StoreVersions const&) const = default;
};

/// A load report as it goes from box to box.
struct LoadMessage {
    /// The process that tells it, drawn at random when it started; never 0.
    std::uint64_t sender { 0 };
    /// By the sender's steady clock, which has nothing to do with that of the box that hears it.
    Instant sent_at;
    Routing::LoadReport report;
    StoreVersions store_versions {};

    bool operator==(LoadMessage const&) const = default;
};

/// The endpoints with the most of this box's work come first; what does not fit into a datagram is left out.
[[nodiscard]] std::string encode(LoadMessage const& message);
/// Nothing for other bytes.
[[nodiscard]] std::optional<LoadMessage> decode_load(std::string_view bytes);

/// Tells how old a message is that came from a box with another clock, and which messages come too late.
///
/// The least difference seen between the clocks of sender and receiver belongs to the fastest message so far. A message
/// whose difference is larger was that much longer on its way, or lay in a buffer while this box stood still. So a
/// belief never looks fresher than it is, but for the time that the fastest message took.
class MessageAgeTracker {
public:
    /// The age of a message that was read at `now`; nothing for one that an equally new or newer one overtook.
    [[nodiscard]] std::optional<Duration> age(LoadMessage const& message, Instant now);
    /// Forgets senders that have been silent for long.
    void expire(Instant now);

private:
    struct Sender {
        Duration min_difference;
        Instant newest_sent_at;
        Instant received_at;
    };

    /// Longer than any freeze of a box after which the same process goes on.
    static constexpr Duration retention { std::chrono::seconds(60) };

    std::map<std::uint64_t, Sender> senders;
};

/// How often a box tells its load, and to how many others each time.
struct ReportPlan {
    Duration interval { 0 };
    std::size_t receivers { 0 };

    bool operator==(ReportPlan const&) const = default;
};

/// Keeps what a box sends within a fixed number of bytes a second: few others are told often, many less often, and of
/// very many only some each time.
[[nodiscard]] ReportPlan plan_reports(std::size_t others, std::size_t message_bytes);

}
