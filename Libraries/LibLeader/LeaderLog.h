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
    /// Nothing to drop the key.
    std::optional<std::string> value;
    std::uint64_t offset { 0 };

    bool operator==(LogRecord const&) const = default;
};

/// A box took the lead.
struct Claim {
    std::string box;
    /// The process, drawn at random when it started.
    std::uint64_t process { 0 };
    /// History of the store in which it was written.
    std::uint64_t era { 0 };
    /// The first usage window that this leader, or one that follows it, may report.
    std::uint64_t first_window { 0 };

    bool operator==(Claim const&) const = default;
};

/// What the store holds of the lead: who claimed it last, and which usage reports are written down.
///
/// Each append names the end of the log that its writer knows, so a leader that another one followed can append
/// nothing, however late its call is carried out. After the store came back from a copy an append of before may still
/// land where the log ends by chance as it expected. So a report of an earlier history proves nothing: its window is
/// left out, unless a leader that knows what was sent has written the report again.
class LeaderLog {
public:
    /// `end` follows the log's last record. Records that can't be read are left out.
    static LeaderLog from(std::vector<LogRecord> const& newest, std::uint64_t end, std::uint64_t era);

    [[nodiscard]] std::uint64_t end() const { return this->log_end; }
    [[nodiscard]] std::uint64_t era() const { return this->log_era; }
    [[nodiscard]] std::optional<Claim> const& claim() const { return this->last_claim; }
    /// The fencing token of the last claim; nothing without one.
    [[nodiscard]] std::optional<FencingToken> token() const;
    /// What the log says of the process's lead.
    enum class Status {
        /// Its claim is the last one.
        Leads,
        OtherLeads,
        /// Nobody has claimed, or the last claim is of an earlier history of the store, in which more may have been
        /// written than the log holds.
        Vacant,
    };
    [[nodiscard]] Status status(std::uint64_t process) const;
    /// The first window that a box that claims now may report, where `current` is the one in progress. Windows that are
    /// reported are left out, and those that an earlier leader left out. So are all that are over where nobody has
    /// claimed in the store's present history: reports may have been sent that the store lost, and a second one with
    /// other counts would be worse than none.
    [[nodiscard]] std::uint64_t first_window(std::uint64_t current) const;
    /// Reports by window that are written down in the store's present history.
    [[nodiscard]] std::map<std::uint64_t, AccountCounts> const& reports() const { return this->current_reports; }

    /// The records of a claim: it, and reports that its writer knows of an earlier history.
    [[nodiscard]] std::vector<LogRecord> claim_records(
        Claim const& claim, std::map<std::uint64_t, AccountCounts> const& known_reports) const;
    /// The records of a report: it, and the dropping of those that nobody needs any more.
    [[nodiscard]] std::vector<LogRecord> report_records(std::uint64_t window, AccountCounts const& counts) const;
    /// These records were appended by this process, the first of them at `offset`.
    void append_succeeded(std::vector<LogRecord> const& records, std::uint64_t offset);

private:
    void apply(LogRecord const& record);

    /// Windows before the one in progress that a new leader reports, if nobody has: they are not due yet.
    static constexpr std::uint64_t lookback_windows = 2;
    /// A window's report is due some windows after its end; a successor looks back no further.
    static constexpr std::uint64_t retained_windows = 12;

    std::uint64_t log_end { 0 };
    std::uint64_t log_era { 0 };
    std::optional<Claim> last_claim;
    std::uint64_t claim_offset { 0 };
    std::map<std::uint64_t, AccountCounts> current_reports;
    /// The newest window with a report of an earlier history.
    std::optional<std::uint64_t> newest_earlier_era_window;
    /// Windows of the reports in the log, by key.
    std::map<std::string, std::uint64_t> report_keys;
};

}
