#include <TestMain.h>

#include <LibGateway/EventPace.h>

namespace {

using Gateway::EventPace;
using std::chrono::milliseconds;

auto const start = Core::Instant {} + std::chrono::seconds(10);

}

TEST_CASE("events that come one by one are measured eight at a time, behind the first piece")
{
    EventPace pace;
    for (int event = 0; event < 8; ++event)
        CHECK_FALSE(pace.take("id: 1\ndata: x\n\n", start + milliseconds(10) * event));
    CHECK(pace.take("id: 1\ndata: x\n\n", start + milliseconds(80)) == EventPace::Stretch { 8, milliseconds(80) });
    CHECK_FALSE(pace.take("data: x\n\n", start + milliseconds(90)));
}

TEST_CASE("an event cut anywhere, with either kind of line end, counts once")
{
    std::string const stream = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n";
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        CAPTURE(cut);
        EventPace pace;
        CHECK_FALSE(pace.take("data: first\n\n", start));
        for (int round = 0; round < 3; ++round) {
            CHECK_FALSE(pace.take(stream.substr(0, cut), start + milliseconds(round)));
            CHECK_FALSE(pace.take(stream.substr(cut), start + milliseconds(round)));
        }
        CHECK_FALSE(pace.take(stream.substr(0, cut), start + milliseconds(40)));
        auto const stretch = pace.take(stream.substr(cut), start + milliseconds(50));
        REQUIRE(stretch);
        CHECK(stretch->events == 8);
        CHECK(stretch->taken == milliseconds(50));
    }
}

TEST_CASE("an answer whose events come in one burst, or that has none, gives no measure")
{
    EventPace pace;
    std::string burst;
    for (int event = 0; event < 50; ++event)
        burst += "data: x\n\n";
    CHECK_FALSE(pace.take(burst, start));
    EventPace none;
    for (int piece = 0; piece < 100; ++piece)
        CHECK_FALSE(none.take("no event at all\n", start + milliseconds(piece)));
}

TEST_CASE("a new run does not count the pause before it")
{
    EventPace pace;
    CHECK_FALSE(pace.take("data: x\n\n", start));
    pace.restart();
    CHECK_FALSE(pace.take("data: x\n\n", start + std::chrono::seconds(5)));
    std::string seven;
    for (int event = 0; event < 7; ++event)
        seven += "data: x\n\n";
    CHECK_FALSE(pace.take(seven, start + std::chrono::seconds(5) + milliseconds(70)));
    CHECK(pace.take("data: x\n\n", start + std::chrono::seconds(5) + milliseconds(80))
        == EventPace::Stretch { 8, milliseconds(80) });
}
