#include <LibLeader/LeaderLog.h>

#include <LibLeader/Leader.pb.h>
#include <LibLeader/LeaderMessages.h>
#include <algorithm>

namespace Leader {

namespace {

namespace wire = cleatbeam::leader;

constexpr std::string_view claim_key = "claim";
constexpr std::string_view report_key_prefix = "usage/";

std::string encode(Claim const& claim)
{
    wire::Claim message;
    message.set_box(claim.box);
    message.set_process(claim.process);
    message.set_era(claim.era);
    message.set_first_window(claim.first_window);
    return message.SerializeAsString();
}

std::optional<Claim> decode_claim(std::string const& bytes)
{
    wire::Claim message;
    if (!message.ParseFromString(bytes) || message.process() == 0)
        return {};
    return Claim { message.box(), message.process(), message.era(), message.first_window() };
}

/// The era is part of the key: a leader that writes a report of an earlier era must not replace one that its successor
/// wrote after the store was restored from a copy.
std::string report_key(std::uint64_t window, std::uint64_t era)
{
    return std::string(report_key_prefix) + std::to_string(window) + "/" + std::to_string(era);
}

}

LeaderLog LeaderLog::from(
    std::vector<LogRecord> const& newest, std::uint64_t end, std::uint64_t era, UsageSchedule const& schedule)
{
    LeaderLog log;
    log.schedule = schedule;
    log.log_end = end;
    log.log_era = era;
    for (auto const& record : newest)
        log.apply(record);
    return log;
}

void LeaderLog::apply(LogRecord const& record)
{
    if (record.key == claim_key && record.value) {
        if (auto claim = decode_claim(*record.value)) {
            this->last_claim = std::move(*claim);
            this->claim_offset = record.offset;
        }
        return;
    }
    if (!record.key.starts_with(report_key_prefix))
        return;
    auto const report = record.value ? decode_report(*record.value) : std::nullopt;
    if (!report) {
        this->report_keys.erase(record.key);
        return;
    }
    auto const& [window, counts] = *report;
    this->report_keys.insert_or_assign(record.key, window);
    if (record.key == report_key(window, this->log_era))
        this->current_reports.insert_or_assign(window, counts);
    else
        this->newest_earlier_era_window = std::max(this->newest_earlier_era_window.value_or(window), window);
}

std::optional<FencingToken> LeaderLog::token() const
{
    if (!this->last_claim)
        return {};
    return FencingToken { this->log_era, this->claim_offset };
}

LeaderLog::Status LeaderLog::status(std::uint64_t process) const
{
    if (!this->last_claim || this->last_claim->era < this->log_era)
        return Status::Vacant;
    return this->last_claim->process == process ? Status::Leads : Status::OtherLeads;
}

std::uint64_t LeaderLog::first_window(std::uint64_t current) const
{
    bool const may_lack_reports = !this->last_claim || this->last_claim->era < this->log_era;
    auto const lookback_start = current - std::min(current, this->schedule.windows_until_due());
    auto const first = may_lack_reports ? current : std::max(lookback_start, this->last_claim->first_window);
    auto const after_earlier_reports = this->newest_earlier_era_window ? *this->newest_earlier_era_window + 1 : 0;
    auto const after_current_reports = this->current_reports.empty() ? 0 : this->current_reports.rbegin()->first + 1;
    return std::max({ first, after_earlier_reports, after_current_reports });
}

std::vector<LogRecord> LeaderLog::claim_records(
    Claim const& claim, std::map<std::uint64_t, AccountCounts> const& known_reports) const
{
    std::vector<LogRecord> records { { std::string(claim_key), encode(claim), 0 } };
    for (auto const& [window, counts] : known_reports) {
        if (!this->current_reports.contains(window))
            records.push_back({ report_key(window, this->log_era), encode_report(window, counts), 0 });
    }
    return records;
}

std::vector<LogRecord> LeaderLog::report_records(std::uint64_t window, AccountCounts const& counts) const
{
    std::vector<LogRecord> records { { report_key(window, this->log_era), encode_report(window, counts), 0 } };
    for (auto const& [key, old_window] : this->report_keys) {
        if (old_window + this->retained_windows() < window)
            records.push_back({ key, std::nullopt, 0 });
    }
    return records;
}

void LeaderLog::append_succeeded(std::vector<LogRecord> const& records, std::uint64_t offset)
{
    for (auto record : records) {
        record.offset = offset++;
        this->apply(record);
    }
    this->log_end = offset;
    if (this->current_reports.empty())
        return;
    auto const newest = this->current_reports.rbegin()->first;
    std::erase_if(this->current_reports,
        [&](auto const& report) { return report.first + 2 * this->retained_windows() < newest; });
}

}
