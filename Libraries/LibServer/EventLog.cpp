#include <LibServer/EventLog.h>

#include <spdlog/sinks/stdout_sinks.h>

namespace Server {

EventLine& EventLine::with(std::string_view key, std::string_view value)
{
    constexpr unsigned char first_printable = 0x20;
    std::string safe;
    bool needs_quotes = value.empty();
    for (auto const character : value) {
        if (static_cast<unsigned char>(character) < first_printable) {
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

void set_up_logging(std::string const& box_name)
{
    auto logger = spdlog::stderr_logger_mt("cleatbeam");
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l box=" + box_name + " %v");
    spdlog::set_default_logger(std::move(logger));
}

}
