#pragma once

#include <LibLeader/FencingToken.h>
#include <LibLeader/UsageCounts.h>

#include <optional>
#include <string>
#include <vector>

namespace Leader {

/// A record of the leader's log in the store, by key.
struct LogRecord {
    std::string key;
    /// Empty if the record deletes its key.
    std::optional<std::string> value;
    std::uint64_t offset { 0 };

    bool operator==(LogRecord const&) const = default;
};

/// A box became leader.
struct Claim {
    std::string box;
    /// The process, drawn at random when it started.
    std::uint64_t process { 0 };
    /// Era of the store's history in which the claim was written.
    std::uint64_t era { 0 };
    /// The first usage window that this leader or a successor may report.
    std::uint64_t first_window { 0 };

    bool operator==(Claim const&) const = default;
};

/// The leader's log as read from the store: the last claim and the stored usage reports.
///
/// Each append names the end of the log that its writer has read, so a leader that was replaced can append nothing,
/// however late its call is executed. After the store was restored from a copy, an append issued earlier may still
/// succeed if the log happens to end where the append expects. So a report of an earlier era proves nothing: its window
/// is skipped, unless a leader that knows which report was sent has written it again.
class LeaderLog {
public:
    /// `end` is the offset after the log's last record. Records that can't be decoded are left out.
    static LeaderLog from(
        std::vector<LogRecord> const& newest, std::uint64_t end, std::uint64_t era, UsageSchedule const& schedule);

    [[nodiscard]] std::uint64_t end() const { return this->log_end; }
    [[nodiscard]] std::uint64_t era() const { return this->log_era; }
    [[nodiscard]] std::optional<Claim> const& claim() const { return this->last_claim; }
    /// The fencing token of the last claim; empty without one.
    [[nodiscard]] std::optional<FencingToken> token() const;
    /// Who is the leader according to the log.
    enum class Status {
        /// The process's own claim is the last one.
        Leads,
        OtherLeads,
        /// There is no claim, or the last one is of an earlier era, in which records may have been written that the log
        /// lost.
        Vacant,
    };
    [[nodiscard]] Status status(std::uint64_t process) const;
    /// The first window that a box may report if it claims now, where `current` is the window in progress. Excludes
    /// windows that have a report, windows whose report is overdue and windows that an earlier leader skipped. If the
    /// store's present era has no claim, all windows that have ended are excluded as well: reports may have been sent
    /// that the store lost, and a second report with other counts would be worse than none.
    [[nodiscard]] std::uint64_t first_window(std::uint64_t current) const;
    /// Reports by window that were written in the store's present era.
    [[nodiscard]] std::map<std::uint64_t, AccountCounts> const& reports() const { return this->current_reports; }

    /// The records of a claim: the claim itself, and those reports known to its writer that the present era lacks.
    [[nodiscard]] std::vector<LogRecord> claim_records(
        Claim const& claim, std::map<std::uint64_t, AccountCounts> const& known_reports) const;
    /// The records of a report: the report itself, and the deletion of reports that are no longer needed.
    [[nodiscard]] std::vector<LogRecord> report_records(std::uint64_t window, AccountCounts const& counts) const;
    /// These records were appended by this process, the first of them at `offset`.
    void append_succeeded(std::vector<LogRecord> const& records, std::uint64_t offset);

private:
    void apply(LogRecord const& record);

    /// Windows whose reports stay in the log: a successor looks back no further.
    [[nodiscard]] std::uint64_t retained_windows() const
    {
        return this->schedule.windows_until_due() + windows_kept_after_due;
    }

    /// A report may be sent for some time after it was due.
    static constexpr std::uint64_t windows_kept_after_due = 10;

    UsageSchedule schedule;
    std::uint64_t log_end { 0 };
    std::uint64_t log_era { 0 };
    std::optional<Claim> last_claim;
    std::uint64_t claim_offset { 0 };
    std::map<std::uint64_t, AccountCounts> current_reports;
    /// The newest window with a report of an earlier era.
    std::optional<std::uint64_t> newest_earlier_era_window;
    /// Windows of the reports in the log, by key.
    std::map<std::string, std::uint64_t> report_keys;
};

}
