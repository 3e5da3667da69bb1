#pragma once

#include "LogWindow.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <queue>
#include <vector>

/// A line of the log that the summary uses.
struct LogRecord {
    LogTime time;
    /// The event's name.
    std::string event;
    /// The box that logged it; empty if the line doesn't tell.
    std::string box;
    std::map<std::string, std::string> pairs;
    /// Where the line was read.
    std::string file;
    std::uint64_t line { 0 };

    /// The value of the key; nothing if the line has no such key.
    [[nodiscard]] std::optional<std::string> value(std::string const& key) const;
    /// Nothing unless the value is a finite number of at least 0.
    [[nodiscard]] std::optional<double> number(std::string const& key) const;
};

/// Lines that could not be read: how many, and the place and reason of the first few.
class UnreadableLines {
public:
    void add(std::string const& file, std::uint64_t line, std::string_view reason, std::string_view text);

    [[nodiscard]] std::uint64_t count() const { return this->total; }
    /// "FILE:LINE: REASON: BEGINNING OF THE LINE" for each of the first lines.
    [[nodiscard]] std::vector<std::string> const& named() const { return this->first; }

    static constexpr std::size_t max_named = 10;

private:
    std::uint64_t total { 0 };
    std::vector<std::string> first;
};

/// The relevant lines of one log in their order, read one at a time.
class LogReader {
public:
    LogReader(std::string name, std::istream& stream, UnreadableLines& unreadable);

    /// The next line of an event that the summary uses. Nothing at the end of the log.
    [[nodiscard]] std::optional<LogRecord> next();
    /// Time of the first line that has one, of any event. Nothing before the first call of next().
    [[nodiscard]] std::optional<LogTime> first_time() const { return this->time_of_first_line; }

    /// Longer lines count as unreadable. The longest that boxes write are of some kilobytes.
    static constexpr std::size_t max_line_bytes = 64 * 1024;

private:
    [[nodiscard]] bool read_line();
    [[nodiscard]] std::optional<LogRecord> parse();
    void reject(std::string_view reason)
    {
        this->unreadable.get().add(this->name, this->line_number, reason, this->line);
    }

    std::string name;
    std::reference_wrapper<std::istream> stream;
    std::reference_wrapper<UnreadableLines> unreadable;
    std::vector<char> buffer;
    std::string_view line;
    std::uint64_t line_number { 0 };
    /// Time of the last record, which lines without a time get.
    std::optional<LogTime> last_time;
    std::optional<LogTime> time_of_first_line;
};

/// The relevant lines of several logs, merged by time. Lines of one log keep their order, whatever their times. Holds
/// one line of each log in memory.
class MergedLog {
public:
    explicit MergedLog(std::vector<LogReader> readers);

    [[nodiscard]] std::optional<LogRecord> next();
    /// The earliest time of the logs' first lines; nothing if no line has a time.
    [[nodiscard]] std::optional<LogTime> first_time() const;

private:
    struct Head {
        LogRecord record;
        std::size_t reader;

        /// Later records are less urgent in the queue.
        bool operator<(Head const& other) const
        {
            return std::pair(other.record.time, other.reader) < std::pair(this->record.time, this->reader);
        }
    };
    void refill(std::size_t reader);

    std::vector<LogReader> readers;
    std::priority_queue<Head> heads;
};
