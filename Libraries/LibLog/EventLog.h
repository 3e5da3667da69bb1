#pragma once

#include <spdlog/spdlog.h>

#include <concepts>
#include <string>
#include <string_view>

/// Structured logging.
namespace Log {

/// Builds the log line of one event from key=value pairs.
class EventLine {
public:
    explicit EventLine(std::string_view event)
        : text("event=" + std::string(event))
    {
    }

    /// Quotes and escapes text that would otherwise break the key=value format.
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

/// Logs to standard error; each line has the time, level and box, then the pairs of the event.
void set_up_logging(std::string const& box_name);
/// Logs lines of the same format to standard output through a BoundedSink, which never blocks.
void set_up_bounded_logging(std::string const& box_name);

}
