#include <TestMain.h>

#include <LibCore/Reason.h>
#include <LibCore/Time.h>
#include <set>

TEST_CASE("a duration needs a number with a unit and nothing else")
{
    using namespace std::chrono_literals;
    CHECK(Core::parse_duration("250ms") == Core::Duration { 250ms });
    CHECK(Core::parse_duration("1.5s") == Core::Duration { 1500ms });
    CHECK(Core::parse_duration("10m") == Core::Duration { 10min });
    CHECK(Core::parse_duration("2h") == Core::Duration { 2h });
    for (auto const* bad : { "", "5", "ms", "5 s", "-1s", "1e3s", "5sec", "inf s", "nans", "999999h", "0x5s" })
        CHECK_FALSE(Core::parse_duration(bad).has_value());
}

TEST_CASE("every reason has a unique name")
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < Core::reason_count; ++index)
        names.insert(Core::to_string(static_cast<Core::Reason>(index)));
    CHECK(names.size() == Core::reason_count);
}
