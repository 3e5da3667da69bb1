#include <TestMain.h>

#include <cleatbeam/LogWindow.h>

using std::chrono::milliseconds;

namespace {

constexpr auto first_line = "2026-12-04T07:00:00.000+00:00";

std::optional<LogWindow> window_of(std::string const& text)
{
    Core::LastReason last_reason;
    auto const option = WindowOption::try_parse(text, last_reason);
    if (!option)
        return {};
    return option->starting_at(*parse_log_time(first_line));
}

std::string reason_against(std::string const& text)
{
    Core::LastReason last_reason;
    return WindowOption::try_parse(text, last_reason) ? "" : last_reason.text;
}

}

TEST_CASE("times of the log are read with their fraction and their offset from UTC, and written in UTC")
{
    auto const time = parse_log_time("2026-12-04T07:00:01.250+00:00");
    REQUIRE(time);
    CHECK(time->time_since_epoch() == milliseconds(1'796'367'601'250));
    CHECK(parse_log_time("2026-12-04T07:00:01.25Z") == time);
    CHECK(parse_log_time("2026-12-04T09:00:01.250+02:00") == time);
    CHECK(parse_log_time("2026-12-04T02:00:01.250-05:00") == time);
    CHECK(parse_log_time("2026-12-04T07:00:01.250999+00:00") == time);
    CHECK(to_string(*time) == "2026-12-04T07:00:01.250+00:00");
}

TEST_CASE("a time without an offset, or with anything before or behind it, is not read")
{
    for (auto const* const text : { "", "now", "2026-12-04", "2026-12-04T07:00:01.250", "2026-12-04T07:00:01Zx",
             "2026-13-04T07:00:01Z", "x2026-12-04T07:00:01Z", "2026-12-04T07:00:01.+", "7" })
        CHECK_MESSAGE(!parse_log_time(text), text);
}

TEST_CASE("a period is given as times, as seconds since the first line, or as one of each")
{
    auto const start = *parse_log_time(first_line);
    LogWindow const wanted { start + milliseconds(500), start + milliseconds(60'000) };
    CHECK(window_of("0.5-60") == wanted);
    CHECK(window_of("2026-12-04T07:00:00.500+00:00-2026-12-04T07:01:00.000+00:00") == wanted);
    CHECK(window_of("2026-12-04T07:00:00.500Z-60") == wanted);
    CHECK(window_of("0.5-2026-12-04T07:01:00Z") == wanted);
    // Offsets west of UTC contain the character that divides the two ends.
    CHECK(window_of("2026-12-04T02:00:00.500-05:00-2026-12-04T02:01:00-05:00") == wanted);
    CHECK(wanted.contains(wanted.from));
    CHECK_FALSE(wanted.contains(wanted.to));
}

TEST_CASE("a period that can't be read is refused with a reason that names it")
{
    for (auto const* const text : { "", "-", "5", "5-", "-5", "a-b", "0-nan", "0-inf", "0-1e300", "1-2-3",
             "2026-12-04T07:00:00-2026-12-04T08:00:00" })
        CHECK_MESSAGE(reason_against(text).ends_with("got '" + std::string(text) + "'"), text);
    CHECK(reason_against("60-60") == "FROM must be before TO");
    CHECK(reason_against("60-5") == "FROM must be before TO");
    CHECK(reason_against("2026-12-04T07:00:01Z-2026-12-04T07:00:00Z") == "FROM must be before TO");
}
