#pragma once

#include <spdlog/spdlog.h>

#include <concepts>
#include <string>
#include <string_view>

/// Structured logs: one line of key=value pairs for each event.
namespace Log {

/// One log line of key=value pairs for one event.
class EventLine {
public:
    explicit EventLine(std::string_view event)
        : text("event=" + std::string(event))
    {
    }

    /// Text is quoted and escaped where it would break the line apart.
    EventLine& with(std::string_view key, std::string_view value);
    EventLine& with(std::string_view key, std::integral auto value)
    {
        return this->with(key, std::string_view(std::to_string(value)));
    }
    EventLine& with(std::string_view key, double value);

    void info() const { spdlog::info("{}", this->text); }
    void warning() const { spdlog::warn("{}", this->text); }
    void error() const { spdlog::error("{}", this->text); }
    [[nodiscard]] std::string const& to_string() const { return this->text; }

private:
    std::string text;
};

/// Sets the form of all log lines: time, level, box, then the event's own pairs; to standard error.
void set_up_logging(std::string const& box_name);
/// The same form to standard output, through a bounded buffer that never blocks; see BoundedSink.
void set_up_bounded_logging(std::string const& box_name);

}
