#include "ExplainWindow.h"
#include "CommandLine.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace {

using Cells = std::vector<std::string>;

/// Prints rows as aligned columns: the first and the last one to the left, all others to the right.
void print_table(std::ostream& output, std::vector<Cells> const& rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (auto const& cells : rows) {
        for (std::size_t column = 0; column < cells.size(); ++column)
            widths[column] = std::max(widths[column], cells[column].size());
    }
    for (auto const& cells : rows) {
        auto line = fmt::format("{:<{}}", cells.front(), widths.front());
        for (std::size_t column = 1; column + 1 < cells.size(); ++column)
            line += fmt::format("  {:>{}}", cells[column], widths[column]);
        line += "  " + cells.back();
        line.erase(line.find_last_not_of(' ') + 1);
        output << line << "\n";
    }
    output << "\n";
}

std::string percentile_text(DurationHistogram const& durations, double share)
{
    constexpr double first_without_decimals = 100;
    auto const milliseconds = durations.percentile(share);
    if (!milliseconds)
        return "-";
    return *milliseconds < first_without_decimals ? fmt::format("{:.1f}", *milliseconds)
                                                  : fmt::format("{:.0f}", *milliseconds);
}

/// "3 backlog-too-long, 1 draining", the most frequent first.
std::string reasons_text(BoundedRows<std::uint64_t> const& reasons)
{
    std::vector<std::pair<std::uint64_t, std::string>> sorted;
    for (auto const& [reason, count] : reasons.all())
        sorted.emplace_back(count, reason);
    std::ranges::stable_sort(sorted, std::greater(), &std::pair<std::uint64_t, std::string>::first);
    std::string text;
    for (auto const& [count, reason] : sorted)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, reason);
    return text;
}

std::string reasons_text(RequestCounts const& counts)
{
    auto const refused = reasons_text(counts.refused_by_reason);
    auto const failed = reasons_text(counts.failed_by_reason);
    return refused + (!refused.empty() && !failed.empty() ? "; " : "") + (failed.empty() ? "" : "failed: " + failed);
}

Cells cells_of(std::string const& name, RequestCounts const& counts)
{
    auto const late = counts.served > 0 && counts.measured == 0 ? "-" : std::to_string(counts.late);
    return { name, std::to_string(counts.admitted()), std::to_string(counts.refused), std::to_string(counts.served),
        late, std::to_string(counts.failed), std::to_string(counts.cut), std::to_string(counts.given_up),
        percentile_text(counts.durations, 0.5), percentile_text(counts.durations, 0.9),
        percentile_text(counts.durations, 0.99), reasons_text(counts) };
}

void print_requests(std::ostream& output, std::string const& what, std::map<std::string, RequestCounts> const& counts)
{
    std::vector<Cells> rows { { what, "admitted", "refused", "served", "late", "failed", "cut", "given up", "p50 ms",
        "p90 ms", "p99 ms", "reasons of refusals and failures" } };
    for (auto const& [name, row] : counts)
        rows.push_back(cells_of(name, row));
    print_table(output, rows);
}

void print_endpoints(std::ostream& output, std::map<std::string, EndpointCounts> const& counts)
{
    if (counts.empty())
        return;
    std::vector<Cells> rows { { "endpoint", "got", "answered", "errors", "rejected", "broke", "cancelled", "unsent",
        "" } };
    for (auto const& [name, row] : counts)
        rows.push_back({ name, std::to_string(row.got), std::to_string(row.answered), std::to_string(row.errors),
            std::to_string(row.rejected), std::to_string(row.broke), std::to_string(row.cancelled),
            std::to_string(row.unsent), "" });
    print_table(output, rows);
}

void print_count(std::ostream& output, std::uint64_t count, std::string_view words)
{
    if (count > 0)
        output << count << " " << words << "\n";
}

/// Prints what limits the figures of the tables.
void print_notes(std::ostream& output, WindowSummary const& summary)
{
    print_count(output, summary.total().served - summary.total().measured,
        "served without a line that tells the first byte's time: not counted as late");
    print_count(output, summary.ended_later(), "placed in the period and ended after it: not counted");
    print_count(output, summary.without_end(), "placed in the period, without a line of their end: not counted");
    print_count(output, summary.forgotten(), "placed in the period, and dropped since too many were open at a time");
    print_count(output, summary.forwarded(), "forwarded to another box, counted at the box that the client asked");
    if (summary.forwarded() > 0)
        print_count(output, summary.of_unknown_origin(),
            "ended at boxes of an earlier version: forwarded ones among them count at both boxes");
    print_count(output, summary.dropped_lines(), "lines were dropped by boxes: the counts are too low");
}

void print_unreadable(std::ostream& output, UnreadableLines const& unreadable)
{
    if (unreadable.count() == 0)
        return;
    output << "lines that can't be read: " << unreadable.count();
    if (unreadable.count() > unreadable.named().size())
        output << ", the first of them";
    output << "\n";
    for (auto const& line : unreadable.named())
        output << "  " << line << "\n";
}

void print_summary(std::ostream& output, LogWindow const& window, WindowSummary const& summary)
{
    output << "requests that ended from " << to_string(window.from) << " to " << to_string(window.to) << "\n\n";
    print_requests(output, "requests", { { "all", summary.total() } });
    print_requests(output, "route", summary.routes());
    print_requests(output, "account", summary.accounts());
    print_requests(output, "failure domain", summary.failure_domains());
    print_endpoints(output, summary.endpoints());
    print_notes(output, summary);
}

int usage_error(std::string const& message)
{
    std::cerr << "cleatbeam: " << message << "\n";
    return exit_usage;
}

std::vector<std::string> split(std::string const& list)
{
    std::vector<std::string> names;
    std::istringstream stream(list);
    for (std::string name; std::getline(stream, name, ',');) {
        if (!name.empty())
            names.push_back(name);
    }
    return names;
}

}

int explain_window(WindowOption const& option, std::vector<std::pair<std::string, std::istream*>> const& logs,
    std::ostream& output, std::ostream& errors)
{
    UnreadableLines unreadable;
    std::vector<LogReader> readers;
    readers.reserve(logs.size());
    for (auto const& [name, stream] : logs)
        readers.emplace_back(name, *stream, unreadable);
    MergedLog log(std::move(readers));
    auto const first_time = log.first_time();
    if (!first_time) {
        print_unreadable(errors, unreadable);
        errors << "cleatbeam: no line of the log has a time\n";
        return exit_failure;
    }
    auto const window = option.starting_at(*first_time);
    if (window.from >= window.to) {
        errors << "cleatbeam: --window: " << to_string(window.from) << " is not before " << to_string(window.to)
               << "\n";
        return exit_usage;
    }
    WindowSummary summary(window, unreadable);
    auto last_time = *first_time;
    while (auto const record = log.next()) {
        last_time = std::max(last_time, record->time);
        summary.add(*record);
    }
    summary.finish();
    if (summary.total() == RequestCounts {} && summary.endpoints().empty()) {
        print_unreadable(errors, unreadable);
        errors << "cleatbeam: no request ended from " << to_string(window.from) << " to " << to_string(window.to)
               << "; the log goes from " << to_string(*first_time) << " to " << to_string(last_time) << "\n";
        return exit_failure;
    }
    print_summary(output, window, summary);
    print_unreadable(output, unreadable);
    return exit_success;
}

int explain_window(std::string const& window, std::string const& files)
{
    Core::LastReason last_reason;
    auto const option = WindowOption::try_parse(window, last_reason);
    if (!option)
        return usage_error("--window: " + last_reason.text);
    auto const names = split(files);
    if (names.empty())
        return usage_error("--window needs --log=FILE[,FILE...], - for standard input");
    if (std::ranges::count(names, "-") > 1)
        return usage_error("--log names standard input more than once");
    std::vector<std::unique_ptr<std::ifstream>> opened;
    std::vector<std::pair<std::string, std::istream*>> logs;
    for (auto const& name : names) {
        if (name == "-") {
            logs.emplace_back("standard input", &std::cin);
            continue;
        }
        opened.push_back(std::make_unique<std::ifstream>(name));
        if (!*opened.back() || opened.back()->peek() == std::ifstream::traits_type::eof()) {
            bool const is_empty = opened.back()->eof() && !opened.back()->bad();
            if (!is_empty) {
                std::cerr << "cleatbeam: can't read " << name << "\n";
                return exit_failure;
            }
            opened.back()->clear();
        }
        logs.emplace_back(name, opened.back().get());
    }
    return explain_window(*option, logs, std::cout, std::cerr);
}
