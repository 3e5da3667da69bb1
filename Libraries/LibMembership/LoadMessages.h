#pragma once

#include <LibMembership/BoxDirectory.h>
#include <LibRouting/LoadReport.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

/// Versions of the store's data that a box knows, sent with its load: just after the store was restored from a copy, a
/// starting box reads an older configuration than others know.
struct StoreVersions {
    std::uint64_t configuration_version { 0 };
    std::uint64_t store_era { 0 };
    /// Time since the box observed the start of the era; empty if it observed no earlier era.
    std::optional<Duration> era_began_ago;
    /// How long the version has been known to the box or to the box it came from; empty if neither reported it.
    std::optional<Duration> configuration_known_for {};

    bool operator==(StoreVersions const&) const = default;
};

/// A load report as sent between boxes.
struct LoadMessage {
    /// The sending process, drawn at random when it started; never 0.
    std::uint64_t sender { 0 };
    /// By the sender's steady clock, which is not synchronized with the receiver's.
    Instant sent_at;
    Routing::LoadReport report;
    StoreVersions store_versions {};

    bool operator==(LoadMessage const&) const = default;
};

/// Endpoints with the most work from this box come first; those that don't fit into a datagram are left out.
[[nodiscard]] std::string encode(LoadMessage const& message);
/// Nothing for bytes that are no such message.
[[nodiscard]] std::optional<LoadMessage> decode_load(std::string_view bytes);

/// Estimates the age of messages from boxes with other clocks, and drops messages that arrive out of order.
///
/// The smallest difference between the clocks of sender and receiver so far belongs to the fastest message. A message
/// with a larger difference took that much longer, or waited in a buffer while this box was suspended. So a report
/// never appears newer than it is, except for the transit time of the fastest message.
class MessageAgeTracker {
public:
    /// The age of a message that was read at `now`; empty if one sent at the same time or later was read before.
    [[nodiscard]] std::optional<Duration> age(LoadMessage const& message, Instant now);
    /// Removes senders without recent messages.
    void expire(Instant now);

private:
    struct Sender {
        Duration min_difference;
        Instant newest_sent_at;
        Instant received_at;
    };

    /// Longer than any suspension of a box after which the process continues.
    static constexpr Duration retention { std::chrono::seconds(60) };

    std::map<std::uint64_t, Sender> senders;
};

/// How often a box sends its load, and to how many others each time.
struct ReportPlan {
    Duration interval { 0 };
    std::size_t receivers { 0 };

    bool operator==(ReportPlan const&) const = default;
};

/// Limits the bytes that a box sends per second: few others receive every report, many receive reports less often, and
/// of very many only some receive each report.
[[nodiscard]] ReportPlan plan_reports(std::size_t others, std::size_t message_bytes);

}
