#include <LibLeader/LeaderMessages.h>

#include <LibLeader/Leader.pb.h>

namespace Leader {

namespace {

namespace wire = cleatbeam::leader;

/// A box keeps fewer windows, and no deployment planned has more accounts.
constexpr int most_windows = 32;
constexpr int most_accounts = 4096;
constexpr std::size_t longest_name = 256;

template <typename Message> void put_counts(AccountCounts const& counts, Message& message)
{
    for (auto const& [account, requests] : counts) {
        auto& count = *message.add_counts();
        count.set_account(account);
        count.set_requests(requests);
    }
}

/// Nothing for more accounts than there can be, or a name that is none.
template <typename Message> std::optional<AccountCounts> counts_from(Message const& message)
{
    if (message.counts_size() > most_accounts)
        return {};
    AccountCounts counts;
    for (auto const& count : message.counts()) {
        if (count.account().size() > longest_name)
            return {};
        counts.emplace(count.account(), count.requests());
    }
    return counts;
}

struct Writer {
    wire::LeaderMessage& message;

    void operator()(Announcement const& announcement) const
    {
        auto& told = *this->message.mutable_announcement();
        told.set_token(announcement.token);
        told.set_box(announcement.box);
        told.set_next_window(announcement.next_window);
        told.set_unix_us(announcement.unix_microseconds);
        told.set_clocks(announcement.clocks);
        told.set_has_resigned(announcement.has_resigned);
        told.set_host(announcement.address.host);
        told.set_port(announcement.address.port);
    }
    void operator()(UsageMessage const& usage) const
    {
        auto& told = *this->message.mutable_usage();
        told.set_process(usage.process);
        told.set_unix_us(usage.wall_unix_microseconds);
        for (auto const& [window, counts] : usage.windows) {
            auto& window_counts = *told.add_windows();
            window_counts.set_window(window);
            put_counts(counts, window_counts);
        }
    }
};

std::optional<LeaderMessage> announcement_from(wire::Announcement const& told)
{
    constexpr std::uint32_t highest_port = 65535;
    if (told.token() == 0 || told.box().empty() || told.box().size() > longest_name || told.host().size() > longest_name
        || told.port() > highest_port)
        return {};
    return Announcement { told.token(), told.box(), told.next_window(), told.unix_us(), told.clocks(),
        told.has_resigned(), { told.host(), static_cast<std::uint16_t>(told.port()) } };
}

std::optional<LeaderMessage> usage_from(wire::UsageCounts const& told)
{
    if (told.process() == 0 || told.windows_size() > most_windows)
        return {};
    UsageMessage usage { told.process(), {}, told.unix_us() };
    for (auto const& window : told.windows()) {
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
    wire::LeaderMessage told;
    if (!told.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (told.has_announcement())
        return announcement_from(told.announcement());
    if (told.has_usage())
        return usage_from(told.usage());
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
