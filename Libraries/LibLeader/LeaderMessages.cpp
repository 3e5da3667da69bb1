#include <LibLeader/LeaderMessages.h>

#include <LibLeader/Leader.pb.h>

namespace Leader {

namespace {

namespace wire = cleatbeam::leader;

/// Limits of a message: a box keeps fewer windows, and no deployment has more accounts.
constexpr int max_windows = 32;
constexpr int max_accounts = 4096;
constexpr std::size_t max_name_size = 256;

template <typename Message> void put_counts(AccountCounts const& counts, Message& message)
{
    for (auto const& [account, requests] : counts) {
        auto& count = *message.add_counts();
        count.set_account(account);
        count.set_requests(requests);
    }
}

/// Nothing if there are too many accounts or a name is too long.
template <typename Message> std::optional<AccountCounts> counts_from(Message const& message)
{
    if (message.counts_size() > max_accounts)
        return {};
    AccountCounts counts;
    for (auto const& count : message.counts()) {
        if (count.account().size() > max_name_size)
            return {};
        counts.emplace(count.account(), count.requests());
    }
    return counts;
}

struct Writer {
    wire::LeaderMessage& message;

    void operator()(Announcement const& announcement) const
    {
        auto& wire_message = *this->message.mutable_announcement();
        wire_message.set_token(announcement.token);
        wire_message.set_box(announcement.box);
        wire_message.set_next_window(announcement.next_window);
        wire_message.set_unix_us(announcement.unix_microseconds);
        wire_message.set_clocks(announcement.clocks);
        wire_message.set_has_resigned(announcement.has_resigned);
        wire_message.set_host(announcement.address.host);
        wire_message.set_port(announcement.address.port);
    }
    void operator()(UsageMessage const& usage) const
    {
        auto& wire_message = *this->message.mutable_usage();
        wire_message.set_process(usage.process);
        wire_message.set_unix_us(usage.wall_unix_microseconds);
        for (auto const& [window, counts] : usage.windows) {
            auto& window_counts = *wire_message.add_windows();
            window_counts.set_window(window);
            put_counts(counts, window_counts);
        }
    }
};

std::optional<LeaderMessage> announcement_from(wire::Announcement const& wire_message)
{
    constexpr std::uint32_t max_port = 65535;
    if (wire_message.token() == 0 || wire_message.box().empty() || wire_message.box().size() > max_name_size
        || wire_message.host().size() > max_name_size || wire_message.port() > max_port)
        return {};
    return Announcement { wire_message.token(), wire_message.box(), wire_message.next_window(), wire_message.unix_us(),
        wire_message.clocks(), wire_message.has_resigned(),
        { wire_message.host(), static_cast<std::uint16_t>(wire_message.port()) } };
}

std::optional<LeaderMessage> usage_from(wire::UsageCounts const& wire_message)
{
    if (wire_message.process() == 0 || wire_message.windows_size() > max_windows)
        return {};
    UsageMessage usage { wire_message.process(), {}, wire_message.unix_us() };
    for (auto const& window : wire_message.windows()) {
        auto counts = counts_from(window);
        if (!counts)
            return {};
        usage.windows.emplace(window.window(), std::move(*counts));
    }
    return usage;
}

}

std::string encode(LeaderMessage const& message)
{
    wire::LeaderMessage encoded;
    std::visit(Writer { encoded }, message);
    return encoded.SerializeAsString();
}

std::optional<LeaderMessage> decode_leader_message(std::string_view bytes)
{
    wire::LeaderMessage wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (wire_message.has_announcement())
        return announcement_from(wire_message.announcement());
    if (wire_message.has_usage())
        return usage_from(wire_message.usage());
    return {};
}

std::string encode_report(std::uint64_t window, AccountCounts const& counts)
{
    wire::UsageReport report;
    report.set_window(window);
    put_counts(counts, report);
    return report.SerializeAsString();
}

std::optional<std::pair<std::uint64_t, AccountCounts>> decode_report(std::string const& bytes)
{
    wire::UsageReport report;
    if (!report.ParseFromString(bytes) || report.window() == 0)
        return {};
    auto counts = counts_from(report);
    if (!counts)
        return {};
    return std::pair { report.window(), std::move(*counts) };
}

}
