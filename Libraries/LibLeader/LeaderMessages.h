#pragma once

#include <LibLeader/LeaderElection.h>
#include <LibLeader/UsageCounts.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Leader {

/// Usage counts that a box sends to the leader.
struct UsageMessage {
    /// The process that counted, drawn at random when it started; never 0.
    std::uint64_t process { 0 };
    std::map<std::uint64_t, AccountCounts> windows;
    /// By the box's own wall clock.
    std::uint64_t wall_unix_microseconds { 0 };

    bool operator==(UsageMessage const&) const = default;
};

using LeaderMessage = std::variant<Announcement, UsageMessage>;

// Datagrams between boxes. The decoder returns nothing for bytes that are no such message.
[[nodiscard]] std::string encode(LeaderMessage const& message);
[[nodiscard]] std::optional<LeaderMessage> decode_leader_message(std::string_view bytes);

/// The stored form of a usage report.
[[nodiscard]] std::string encode_report(std::uint64_t window, AccountCounts const& counts);
[[nodiscard]] std::optional<std::pair<std::uint64_t, AccountCounts>> decode_report(std::string const& bytes);

}
