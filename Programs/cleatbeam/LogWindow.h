#pragma once

#include <LibCore/LastReason.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// A moment by the wall clock of the box that logged it.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Parses the value of a `time=` field, "2026-12-04T07:00:00.000+00:00". The fraction may be missing, the offset from
/// UTC (or "Z") may not. Nothing for any other text.
[[nodiscard]] std::optional<LogTime> parse_log_time(std::string_view text);
/// The same format, in UTC.
[[nodiscard]] std::string to_string(LogTime time);

/// A period of the log: from `from` on and before `to`.
struct LogWindow {
    LogTime from;
    LogTime to;

    [[nodiscard]] bool contains(LogTime time) const { return this->from <= time && time < this->to; }
    bool operator==(LogWindow const&) const = default;
};

/// A period as an operator gives it. Its ends may be relative to the first line of the log.
class WindowOption {
public:
    /// Parses "FROM-TO", each a time of the log or seconds since its first line. Nothing, with a reason, otherwise.
    [[nodiscard]] static std::optional<WindowOption> try_parse(std::string_view text, Core::LastReason& last_reason);

    [[nodiscard]] LogWindow starting_at(LogTime first_line) const;

    bool operator==(WindowOption const&) const = default;

private:
    using End = std::variant<LogTime, std::chrono::milliseconds>;

    [[nodiscard]] static std::optional<End> parse_end(std::string_view text);

    End from;
    End to;
};
