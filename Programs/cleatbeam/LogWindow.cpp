#include "LogWindow.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

using std::chrono::milliseconds;

namespace {

/// Seconds since the first line: about 30 years, so that the sum with any time stays in range.
constexpr double max_offset_seconds = 1e9;

/// Reads ".123" at the start of `text` and removes it; no milliseconds if there is no fraction.
milliseconds take_fraction(std::string_view& text)
{
    constexpr int milliseconds_per_second = 1000;
    if (!text.starts_with('.'))
        return milliseconds(0);
    text.remove_prefix(1);
    int sum = 0;
    int unit = milliseconds_per_second;
    while (!text.empty() && text[0] >= '0' && text[0] <= '9') {
        unit /= 10;
        sum += unit * (text[0] - '0');
        text.remove_prefix(1);
    }
    return milliseconds(sum);
}

}

std::optional<LogTime> parse_log_time(std::string_view text)
{
    std::string const terminated(text);
    std::tm calendar {};
    auto const* const after_seconds = ::strptime(terminated.c_str(), "%Y-%m-%dT%H:%M:%S", &calendar);
    if (after_seconds == nullptr)
        return {};
    std::string_view rest(after_seconds);
    auto const fraction = take_fraction(rest);
    std::tm zone {};
    auto const* const end = rest.empty() ? nullptr : ::strptime(rest.data(), "%z", &zone);
    if (end == nullptr || *end != '\0')
        return {};
    auto const seconds = std::chrono::seconds(::timegm(&calendar) - zone.tm_gmtoff);
    return LogTime(milliseconds(seconds) + fraction);
}

std::string to_string(LogTime time)
{
    auto const seconds = std::chrono::floor<std::chrono::seconds>(time);
    auto const since_epoch = static_cast<std::time_t>(seconds.time_since_epoch().count());
    std::tm calendar {};
    ::gmtime_r(&since_epoch, &calendar);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar);
    return fmt::format("{}.{:03}+00:00", text.data(), (time - seconds).count());
}

std::optional<WindowOption::End> WindowOption::parse_end(std::string_view text)
{
    if (auto const time = parse_log_time(text))
        return *time;
    double seconds = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    bool const is_whole = error == std::errc() && end == text.data() + text.size();
    if (!is_whole || !std::isfinite(seconds) || seconds < 0 || seconds > max_offset_seconds)
        return {};
    return milliseconds(std::llround(seconds * 1000));
}

std::optional<WindowOption> WindowOption::try_parse(std::string_view text, Core::LastReason& last_reason)
{
    // NOTE: Times contain hyphens too. Since a time must have its offset, only one hyphen has a whole end on each side.
    for (auto hyphen = text.find('-'); hyphen != std::string_view::npos; hyphen = text.find('-', hyphen + 1)) {
        auto const from = parse_end(text.substr(0, hyphen));
        auto const to = parse_end(text.substr(hyphen + 1));
        if (!from || !to)
            continue;
        WindowOption window;
        window.from = *from;
        window.to = *to;
        if (from->index() == to->index() && *from >= *to) {
            last_reason.text = "FROM must be before TO";
            return {};
        }
        return window;
    }
    last_reason.text = "must be FROM-TO, each a time as in time= with its offset from UTC, or seconds since the first "
                       "line; got '"
        + std::string(text) + "'";
    return {};
}

LogWindow WindowOption::starting_at(LogTime first_line) const
{
    auto const resolve = [first_line](End const& end) {
        auto const* const offset = std::get_if<milliseconds>(&end);
        return offset != nullptr ? first_line + *offset : std::get<LogTime>(end);
    };
    return { resolve(this->from), resolve(this->to) };
}
