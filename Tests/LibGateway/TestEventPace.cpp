#include <TestMain.h>

#include <LibGateway/EventRateMeter.h>

namespace {

using Gateway::EventRateMeter;
using std::chrono::milliseconds;

auto const start = Core::Instant {} + std::chrono::seconds(10);

}

TEST_CASE("events that come one by one are measured eight at a time, behind the first piece")
{
    EventRateMeter pace;
    for (int event = 0; event < 8; ++event)
        CHECK_FALSE(pace.add("id: 1\ndata: x\n\n", start + milliseconds(10) * event));
    CHECK(pace.add("id: 1\ndata: x\n\n", start + milliseconds(80)) == EventRateMeter::Sample { 8, milliseconds(80) });
    CHECK_FALSE(pace.add("data: x\n\n", start + milliseconds(90)));
}

TEST_CASE("an event cut anywhere, with either kind of line end, counts once")
{
    std::string const stream = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n";
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        CAPTURE(cut);
        EventRateMeter pace;
        CHECK_FALSE(pace.add("data: first\n\n", start));
        for (int round = 0; round < 3; ++round) {
            CHECK_FALSE(pace.add(stream.substr(0, cut), start + milliseconds(round)));
            CHECK_FALSE(pace.add(stream.substr(cut), start + milliseconds(round)));
        }
        CHECK_FALSE(pace.add(stream.substr(0, cut), start + milliseconds(40)));
        auto const sample = pace.add(stream.substr(cut), start + milliseconds(50));
        REQUIRE(sample);
        CHECK(sample->events == 8);
        CHECK(sample->duration == milliseconds(50));
    }
}

TEST_CASE("an answer whose events come in one burst, or that has none, gives no measure")
{
    EventRateMeter pace;
    std::string burst;
    for (int event = 0; event < 50; ++event)
        burst += "data: x\n\n";
    CHECK_FALSE(pace.add(burst, start));
    EventRateMeter none;
    for (int piece = 0; piece < 100; ++piece)
        CHECK_FALSE(none.add("no event at all\n", start + milliseconds(piece)));
}

TEST_CASE("a new run does not count the pause before it")
{
    EventRateMeter pace;
    CHECK_FALSE(pace.add("data: x\n\n", start));
    pace.reset();
    CHECK_FALSE(pace.add("data: x\n\n", start + std::chrono::seconds(5)));
    std::string seven;
    for (int event = 0; event < 7; ++event)
        seven += "data: x\n\n";
    CHECK_FALSE(pace.add(seven, start + std::chrono::seconds(5) + milliseconds(70)));
    CHECK(pace.add("data: x\n\n", start + std::chrono::seconds(5) + milliseconds(80))
        == EventRateMeter::Sample { 8, milliseconds(80) });
}

// Guards against samples that are too fast: events that waited while a client read nothing arrive at once.
TEST_CASE("a stopped measurement gives no samples until the next run")
{
    EventRateMeter pace;
    CHECK_FALSE(pace.add("data: x\n\n", start));
    pace.stop();
    for (int event = 0; event < 20; ++event)
        CHECK_FALSE(pace.add("data: x\n\n", start + milliseconds(event)));
    pace.reset();
    CHECK_FALSE(pace.add("data: x\n\n", start));
    for (int event = 1; event < 8; ++event)
        CHECK_FALSE(pace.add("data: x\n\n", start + milliseconds(10) * event));
    CHECK(pace.add("data: x\n\n", start + milliseconds(80)) == EventRateMeter::Sample { 8, milliseconds(80) });
}
