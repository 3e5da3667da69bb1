#include <LibLog/BoundedSink.h>
#include <LibLog/EventLog.h>

#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

namespace Log {

EventLine& EventLine::with(std::string_view key, std::string_view value)
{
    constexpr unsigned char first_printable_character = 0x20;
    std::string safe;
    bool needs_quotes = value.empty();
    for (auto const character : value) {
        if (static_cast<unsigned char>(character) < first_printable_character) {
            safe += fmt::format("\\x{:02x}", static_cast<unsigned char>(character));
            continue;
        }
        needs_quotes |= character == ' ' || character == '"' || character == '=';
        if (character == '"' || character == '\\')
            safe += '\\';
        safe += character;
    }
    this->text += fmt::format(" {}={}{}{}", key, needs_quotes ? "\"" : "", safe, needs_quotes ? "\"" : "");
    return *this;
}

EventLine& EventLine::with(std::string_view key, double value)
{
    return this->with(key, std::string_view(fmt::format("{:.3f}", value)));
}

namespace {

void install(std::shared_ptr<spdlog::logger> logger, std::string const& box_name)
{
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l box=" + box_name + " %v");
    spdlog::set_default_logger(std::move(logger));
}

}

void set_up_logging(std::string const& box_name)
{
    install(spdlog::stderr_logger_mt("cleatbeam"), box_name);
}

void set_up_bounded_logging(std::string const& box_name)
{
    install(std::make_shared<spdlog::logger>("cleatbeam", std::make_shared<BoundedSink>(STDOUT_FILENO)), box_name);
}

}
