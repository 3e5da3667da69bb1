#include "CommandLine.h"
#include "FileText.h"

#include <LibPlatform/LogClient.h>
#include <LibSettings/SettingsHistory.h>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(platform, "", "address of the platform's log, IP:PORT");
DEFINE_string(author, "operator", "who publishes, for the record");
DEFINE_int64(base, -1, "version that the document was made from; -1 for the current one");
DEFINE_string(class, "", "name of a class to show");
DEFINE_string(account, "", "name of a client account to show");
DEFINE_string(endpoint, "", "name of an endpoint to show");

namespace {

constexpr Core::Duration log_wait { std::chrono::seconds(1) };
constexpr int most_failed_reads = 30;
constexpr char const* settings_stream = "settings";

std::optional<Settings::CheckedSettings> read_checked(std::string const& path, std::string& text)
{
    Core::LastReason last_reason;
    auto const file = read_file(path, last_reason);
    if (!file) {
        std::cerr << "cleatbeam: " << last_reason.text << "\n";
        return {};
    }
    text = *file;
    std::vector<Settings::SettingsFault> faults;
    auto settings = Settings::read_settings(text, faults);
    for (auto const& fault : faults)
        std::cerr << "file=" << path << " " << fault.to_string() << "\n";
    return settings;
}

std::string new_nonce()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

/// Follows the settings stream as a box does.
class StreamReader {
public:
    explicit StreamReader(Platform::HttpAddress const& address)
        : log(address)
    {
    }

    /// Applies the next page. False if the platform did not answer.
    [[nodiscard]] bool read_on(std::string const& own_nonce, Core::Duration wait, Core::LastReason& last_reason)
    {
        auto const page = this->log.read(settings_stream, this->next, wait, last_reason);
        if (!page)
            return false;
        for (auto const& record : page->records) {
            std::vector<Settings::SettingsFault> faults;
            auto const verdict = this->history.apply(record.offset, record.payload, faults);
            this->next = Core::Offset { record.offset.value() + 1 };
            Core::LastReason ignored;
            auto const publication = Settings::Publication::try_decode(record.payload, ignored);
            if (publication && publication->nonce == own_nonce)
                this->own_verdict = verdict;
        }
        if (page->records.empty())
            this->next = std::max(this->next, page->earliest);
        this->is_at_end = this->next >= page->next;
        return true;
    }

    Platform::LogClient log;
    Settings::SettingsHistory history;
    Core::Offset next;
    bool is_at_end { false };
    std::optional<Settings::PublicationVerdict> own_verdict;
};

int report_verdict(StreamReader const& reader)
{
    if (reader.own_verdict == Settings::PublicationVerdict::Accepted) {
        std::cout << "published version=" << reader.history.version().value() << "\n";
        return exit_success;
    }
    std::cerr << "cleatbeam: not accepted: another version (" << reader.history.version().value()
              << ") came first; make the change again from it\n";
    return exit_failure;
}

}

int run_check(std::vector<std::string> const& positional)
{
    std::string text;
    auto const settings = read_checked(positional[0], text);
    if (!settings)
        return exit_failure;
    auto const& document = settings->document;
    std::cout << "ok classes=" << document.classes.size() << " accounts=" << document.accounts.size()
              << " endpoints=" << document.endpoints.size()
              << " policy=" << Settings::to_string(document.routing.policy) << "\n";
    return exit_success;
}

int run_publish(std::vector<std::string> const& positional)
{
    std::string text;
    if (!read_checked(positional[0], text))
        return exit_failure;
    auto const address = Platform::HttpAddress::try_create(FLAGS_platform);
    if (!address) {
        std::cerr << "cleatbeam: --platform must be an IP number and a port\n";
        return exit_usage;
    }
    StreamReader reader(*address);
    Core::LastReason last_reason;
    while (!reader.is_at_end) {
        if (!reader.read_on("", Core::Duration { 0 }, last_reason)) {
            std::cerr << "cleatbeam: the platform's log does not answer: " << last_reason.text << "\n";
            return exit_failure;
        }
    }
    Settings::Publication const publication { FLAGS_base < 0 ? reader.history.version()
                                                             : Core::Offset { static_cast<std::uint64_t>(FLAGS_base) },
        FLAGS_author, new_nonce(), text };
    auto const appended = reader.log.append(settings_stream, publication.encode(), log_wait);
    if (auto const* refused = std::get_if<Platform::AppendRefused>(&appended)) {
        std::cerr << "cleatbeam: the platform's log refused the record: " << refused->reason << "\n";
        return exit_failure;
    }
    // NOTE: Without an answer the record may have been written; only reading it back shows that.
    for (int failed_reads = 0; failed_reads < most_failed_reads;) {
        if (!reader.read_on(publication.nonce, log_wait, last_reason) || reader.is_at_end)
            ++failed_reads;
        if (reader.own_verdict)
            return report_verdict(reader);
    }
    std::cerr
        << "cleatbeam: unknown whether the record was taken; `cleatbeam status` of a box shows the version in force\n";
    return exit_failure;
}

int run_show(std::vector<std::string> const& positional)
{
    std::string text;
    auto const settings = read_checked(positional[0], text);
    if (!settings)
        return exit_failure;
    auto const show = [](Settings::SettingsTree const& tree, std::string const& name) {
        auto const leaf = tree.find_leaf(name);
        if (!leaf) {
            std::cerr << "cleatbeam: no leaf is called '" << name << "'\n";
            return exit_failure;
        }
        std::cout << tree.branches()[*leaf].path << "\n";
        for (auto const& [field, inherited] : tree.resolve(*leaf))
            std::cout << "  " << field << ": " << inherited.value.joined() << "   # from " << inherited.source_path
                      << " line " << inherited.value.line << "\n";
        return exit_success;
    };
    if (!FLAGS_class.empty())
        return show(settings->classes, FLAGS_class);
    if (!FLAGS_account.empty())
        return show(settings->accounts, FLAGS_account);
    if (!FLAGS_endpoint.empty())
        return show(settings->endpoints, FLAGS_endpoint);
    std::cerr << "cleatbeam: show needs --class, --account or --endpoint\n";
    return exit_usage;
}
