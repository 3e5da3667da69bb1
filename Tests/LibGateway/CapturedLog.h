#pragma once

#include <LibLog/LogLine.h>
#include <map>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <string>
#include <vector>

/// Keeps the lines that are logged during its life, in place of the default logger.
class CapturedLog {
public:
    using Pairs = std::map<std::string, std::string>;

    CapturedLog()
        : previous(spdlog::default_logger())
    {
        auto logger = std::make_shared<spdlog::logger>(
            "captured", std::make_shared<spdlog::sinks::ostream_sink_st>(this->text));
        logger->set_pattern("%v");
        spdlog::set_default_logger(std::move(logger));
    }
    ~CapturedLog() { spdlog::set_default_logger(this->previous); }
    CapturedLog(CapturedLog const&) = delete;
    CapturedLog& operator=(CapturedLog const&) = delete;

    /// The pairs of the lines of this event, in order.
    [[nodiscard]] std::vector<Pairs> events(std::string const& event) const
    {
        std::vector<Pairs> found;
        std::istringstream lines(this->text.str());
        for (std::string line; std::getline(lines, line);) {
            auto pairs = Log::parse_line(line);
            if (pairs["event"] == event)
                found.push_back(std::move(pairs));
        }
        return found;
    }

private:
    std::ostringstream text;
    std::shared_ptr<spdlog::logger> previous;
};
