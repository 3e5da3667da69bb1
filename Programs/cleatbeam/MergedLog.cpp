#include "MergedLog.h"

#include <LibLog/LogLine.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <istream>

namespace {

constexpr std::array<std::string_view, 8> relevant_events { "request_placed", "request_forwarded", "attempt_ended",
    "request_ended", "request_unreadable", "gateway_started", "configuration_in_force", "log_lines_dropped" };

/// Of the pairs in a line. Words that log collectors put before them may be joined to the first key.
std::size_t start_of_pairs(std::string_view line, std::size_t event)
{
    return std::min(line.find("time="), event);
}

}

std::optional<std::string> LogRecord::value(std::string const& key) const
{
    auto const found = this->pairs.find(key);
    return found == this->pairs.end() ? std::nullopt : std::optional(found->second);
}

std::optional<double> LogRecord::number(std::string const& key) const
{
    auto const found = this->pairs.find(key);
    if (found == this->pairs.end())
        return {};
    double number = 0;
    auto const& text = found->second;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    bool const is_whole = error == std::errc() && end == text.data() + text.size();
    return is_whole && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

void UnreadableLines::add(std::string const& file, std::uint64_t line, std::string_view reason, std::string_view text)
{
    constexpr std::size_t max_quoted_bytes = 80;
    constexpr char first_printable = 0x20;
    constexpr char deletion = 0x7f;
    ++this->total;
    if (this->first.size() >= max_named)
        return;
    // NOTE: The terminal that shows the report must not interpret control characters of the log.
    std::string quoted(text.substr(0, max_quoted_bytes));
    std::ranges::replace_if(
        quoted, [](char character) { return character < first_printable || character == deletion; }, '?');
    this->first.push_back(fmt::format("{}:{}: {}: {}", file, line, reason, quoted));
}

LogReader::LogReader(std::string name, std::istream& stream, UnreadableLines& unreadable)
    : name(std::move(name))
    , stream(stream)
    , unreadable(unreadable)
    , buffer(max_line_bytes + 1)
{
}

bool LogReader::read_line()
{
    auto& input = this->stream.get();
    for (;;) {
        input.getline(this->buffer.data(), static_cast<std::streamsize>(this->buffer.size()));
        this->line = this->buffer.data();
        if (input.bad() || (input.eof() && input.gcount() == 0))
            return false;
        ++this->line_number;
        if (!input.fail())
            break;
        input.clear();
        input.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
        this->reject("too long");
    }
    if (this->line.ends_with('\r'))
        this->line.remove_suffix(1);
    return true;
}

std::optional<LogRecord> LogReader::next()
{
    while (this->read_line()) {
        if (this->line.find_first_not_of(" \t") == std::string_view::npos)
            continue;
        if (auto record = this->parse()) {
            this->last_time = record->time;
            return record;
        }
    }
    return {};
}

std::optional<LogRecord> LogReader::parse()
{
    constexpr std::string_view event_key = "event=";
    auto const event = this->line.find(event_key);
    if (event == std::string_view::npos) {
        this->reject("no event");
        return {};
    }
    auto const name = this->line.substr(event + event_key.size());
    auto const event_name = name.substr(0, name.find(' '));
    bool const is_relevant = std::ranges::find(relevant_events, event_name) != relevant_events.end();
    if (!is_relevant && this->time_of_first_line)
        return {};
    LogRecord record;
    record.event = event_name;
    record.pairs = Log::parse_line(this->line.substr(start_of_pairs(this->line, event)));
    record.box = record.value("box").value_or("");
    auto const time_text = record.value("time");
    // NOTE: The line that counts dropped lines has no time of its own.
    auto const time = time_text ? parse_log_time(*time_text) : this->last_time;
    if (!time) {
        this->reject(time_text ? "time can't be read" : "no time");
        return {};
    }
    if (!this->time_of_first_line)
        this->time_of_first_line = time;
    record.time = *time;
    record.file = this->name;
    record.line = this->line_number;
    return is_relevant ? std::optional(std::move(record)) : std::nullopt;
}

MergedLog::MergedLog(std::vector<LogReader> readers)
    : readers(std::move(readers))
{
    for (std::size_t reader = 0; reader < this->readers.size(); ++reader)
        this->refill(reader);
}

void MergedLog::refill(std::size_t reader)
{
    if (auto record = this->readers[reader].next())
        this->heads.push({ std::move(*record), reader });
}

std::optional<LogTime> MergedLog::first_time() const
{
    std::optional<LogTime> first;
    for (auto const& reader : this->readers) {
        auto const time = reader.first_time();
        if (time && (!first || *time < *first))
            first = time;
    }
    return first;
}

std::optional<LogRecord> MergedLog::next()
{
    if (this->heads.empty())
        return {};
    auto head = this->heads.top();
    this->heads.pop();
    this->refill(head.reader);
    return std::move(head.record);
}
