#include <TestMain.h>

#include <LibMembership/ControlSource.h>
#include <pcg_random.hpp>

namespace {

using namespace Membership;

constexpr auto bound = std::chrono::seconds(2);
constexpr std::uint64_t wide = 25'000'000;
constexpr std::uint64_t narrow = 1'250'000;

Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

BoxRecord box(std::string const& name, std::uint64_t link = narrow, std::string const& domain = "a")
{
    return { name, { "10.0.0.1", 7000 }, domain, link };
}

/// Six boxes of one failure domain, of which two have a wide link.
std::vector<BoxRecord> six_boxes()
{
    return { box("b1"), box("b2", wide), box("b3"), box("b4"), box("b5", wide), box("b6") };
}

ControlSource source_of(std::string const& name, std::vector<BoxRecord> boxes = six_boxes())
{
    ControlSource source(name, "a", { bound, bound });
    source.update_boxes(std::move(boxes), at(0));
    return source;
}

/// The order of the six boxes, as each of them computes it.
std::vector<std::string> order()
{
    BoxDirectory directory;
    directory.replace_all(six_boxes());
    std::vector<std::string> names;
    for (auto const& listed : directory.in_order("a"))
        names.push_back(listed.name);
    return names;
}

}

TEST_CASE("boxes with a wide link come first, and those of other failure domains are not listed")
{
    auto boxes = six_boxes();
    boxes.push_back(box("elsewhere", wide, "b"));
    BoxDirectory directory;
    directory.replace_all(boxes);
    auto const ordered = directory.in_order("a");
    REQUIRE(ordered.size() == 6);
    CHECK(ordered[0].link_bytes_per_second == wide);
    CHECK(ordered[1].link_bytes_per_second == wide);
    CHECK(ordered[2].link_bytes_per_second == narrow);
}

TEST_CASE("all boxes of a failure domain use the same relay, and the relay uses none")
{
    auto const first = order().front();
    auto const after_first_wait = at(301);
    for (auto const& listed : six_boxes()) {
        auto const source = source_of(listed.name);
        auto const relay = source.relay(at(0));
        CHECK(relay.has_value() == (listed.name != first));
        CHECK(source.reads_store(at(0)) == (listed.name == first));
        CHECK(source.reads_store(after_first_wait));
        if (relay)
            CHECK(relay->name == first);
    }
}

TEST_CASE("a small failure domain has no relay, and neither has a box without a list of boxes")
{
    auto const small = source_of("b1", { box("b1"), box("b2"), box("b3") });
    CHECK(!small.relay(at(0)));
    CHECK(small.reads_store(at(0)));
    ControlSource alone("b1", "a", { bound, bound });
    CHECK(!alone.reads_store(at(0)));
    alone.boxes_unavailable();
    CHECK(alone.reads_store(at(0)));
}

TEST_CASE("a box reads the store as soon as its relay's data is too old")
{
    auto source = source_of(order().back());
    auto const relay = order().front();
    source.relay_answered(relay, at(1000), at(1200));
    CHECK(!source.reads_store(at(2000)));
    CHECK(source.reads_store(at(2101)));
    source.relay_answered(relay, at(2050), at(2150));
    CHECK(!source.reads_store(at(2200)));
}

// Guards against a box that had data, was not listed yet, and let its lease end while its relay had nothing newer.
TEST_CASE("a box that searches reads the store when its first relay's data, once recent, gets too old")
{
    ControlSource source("b1", "a", { bound, bound });
    source.begin_search();
    source.use_first_relay(box("b2"));
    source.relay_answered("b2", at(0), at(5000));
    // It never had recent data: its relay may still be reading the store for all.
    CHECK(!source.reads_store(at(5000)));
    source.relay_answered("b2", at(5100), at(5200));
    CHECK(!source.reads_store(at(6200)));
    CHECK(source.reads_store(at(6201)));
    source.relay_answered("b2", at(6250), at(6300));
    CHECK(!source.reads_store(at(6300)));
}

// Guards against a box without data that took outdated answers for silence and then asked nobody.
TEST_CASE("a box that searches goes on asking a first relay whose data is outdated")
{
    ControlSource source("b1", "a", { bound, bound });
    source.begin_search();
    source.use_first_relay(box("b2"));
    for (std::int64_t time = 5000; time < 8000; time += 100)
        source.relay_answered("b2", at(0), at(time));
    CHECK(source.relay(at(8000)));
    CHECK(!source.unresponsive_since("b2"));
    CHECK(!source.has_recent_data(at(8000)));
}

TEST_CASE("boxes that search and lose the store retry it less and less often, as they don't know how many they are")
{
    ControlSource source("b1", "a", { bound, bound });
    source.begin_search();
    CHECK(source.retry_pause(0, at(0)) < std::chrono::milliseconds(200));
    CHECK(source.retry_pause(20, at(0)) > std::chrono::seconds(4));
}

TEST_CASE("after a relay fails the next box is used, the store once data is too old, and the first relay again later")
{
    auto source = source_of(order().back());
    source.relay_answered(order()[0], at(900), at(1000));
    source.relay_failed(order()[0], at(1100));
    CHECK(!source.reads_store(at(2000)));
    CHECK(source.reads_store(at(2001)));
    REQUIRE(source.relay(at(1100)));
    CHECK(source.relay(at(1100))->name == order()[1]);
    source.relay_answered(order()[1], at(1150), at(1200));
    CHECK(!source.reads_store(at(1200)));
    REQUIRE(source.relay(at(4200)));
    CHECK(source.relay(at(4200))->name == order()[0]);
}

TEST_CASE("only a few boxes are used as relays, so that not every box becomes one while the store is unreachable")
{
    auto source = source_of(order().back());
    int relays_used = 0;
    for (auto relay = source.relay(at(0)); relay; relay = source.relay(at(0))) {
        source.relay_failed(relay->name, at(0));
        ++relays_used;
    }
    CHECK(relays_used == 3);
    CHECK(source.reads_store(at(0)));
}

TEST_CASE("a relay with stale data is replaced, but not at once")
{
    auto source = source_of(order().back());
    auto const relay = order().front();
    source.relay_answered(relay, at(0), at(5000));
    CHECK(source.reads_store(at(5000)));
    REQUIRE(source.relay(at(5000)));
    CHECK(source.relay(at(5000))->name == relay);
    source.relay_answered(relay, at(0), at(6200));
    REQUIRE(source.relay(at(6200)));
    CHECK(source.relay(at(6200))->name != relay);
}

TEST_CASE("a box that receives requests reads the store and uses no relay, until the requests end")
{
    auto source = source_of(order()[1]);
    source.relay_answered(order()[0], at(900), at(1000));
    source.request_received("a", at(1100));
    CHECK(source.reads_store(at(1100)));
    CHECK(!source.relay(at(1100)));
    CHECK(source.relay(at(3200)));
}

TEST_CASE(
    "a box without requests or responses of other boxes has no recent contact, unless its failure domain is too small")
{
    auto source = source_of("b1");
    CHECK_FALSE(source.has_recent_contact(at(0)));
    source.relay_answered("b2", at(1000), at(1000));
    CHECK(source.has_recent_contact(at(3000)));
    CHECK_FALSE(source.has_recent_contact(at(3001)));
    // A response whose data is too old still proves that the other box is running.
    source.relay_answered("b2", at(1000), at(9000));
    CHECK(source.has_recent_contact(at(9500)));
    source.request_received("a", at(20'000));
    CHECK(source.has_recent_contact(at(21'000)));
    CHECK(source_of("b1", { box("b1"), box("b2") }).has_recent_contact(at(0)));
}

TEST_CASE("the record of a box that does not respond for minutes is considered obsolete")
{
    auto source = source_of(order().back());
    auto const relay = order().front();
    source.relay_failed(relay, at(0));
    CHECK(source.unresponsive_boxes(at(60'000)).empty());
    source.relay_failed(relay, at(200'000));
    CHECK(source.unresponsive_boxes(at(301'000)) == std::vector { relay });
    source.relay_answered(relay, at(301'000), at(301'000));
    CHECK(source.unresponsive_boxes(at(301'000)).empty());
}

TEST_CASE("a box that reads the store checks the list of boxes soon, one that has a relay rarely")
{
    auto const reader = source_of(order().front());
    CHECK(reader.list_interval(0, at(0)) == std::chrono::seconds(2));
    CHECK(reader.list_interval(1, at(0)) == std::chrono::seconds(4));
    CHECK(reader.list_interval(100, at(0)) == std::chrono::seconds(60));
    auto const requester = source_of(order().back());
    CHECK(requester.list_interval(0, at(0)) == std::chrono::seconds(60));
    std::vector<BoxRecord> many;
    many.reserve(300);
    for (int number = 0; number < 300; ++number)
        many.push_back(box("c" + std::to_string(1000 + number)));
    ControlSource one_of_many("c1000", "a", { bound, bound });
    one_of_many.update_boxes(many, at(0));
    REQUIRE(one_of_many.relay(at(0)));
    CHECK(one_of_many.list_interval(0, at(0)) == std::chrono::seconds(600));
}

TEST_CASE("in every sequence of events a box either reads the store or has data that a relay recently confirmed")
{
    pcg32 random(20261202);
    auto source = source_of(order().back());
    std::optional<Instant> confirmed_at;
    Instant now = at(0);
    int steps_with_relay = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += std::chrono::milliseconds(random(300));
        auto const relay = source.relay(now);
        if (relay && random(4) != 0) {
            auto const moment = now - std::chrono::milliseconds(random(1500));
            source.relay_answered(relay->name, moment, now);
            if (source.is_recent(moment, now))
                confirmed_at = std::max(confirmed_at.value_or(moment), moment);
        } else if (relay && random(3) == 0) {
            source.relay_failed(relay->name, now);
        } else if (random(200) == 0) {
            source.request_received("a", now);
        }
        bool const waits_for_first_answer = now < at(0) + source.relay_timeout();
        if (source.reads_store(now) || waits_for_first_answer)
            continue;
        ++steps_with_relay;
        REQUIRE(confirmed_at);
        REQUIRE(now - *confirmed_at <= bound * 0.55);
    }
    CHECK(steps_with_relay > 1000);
}

TEST_CASE("boxes that resume together use their relay first, and the store if the relay does not respond in time")
{
    auto source = source_of(order().back());
    auto const relay = order().front();
    source.relay_answered(relay, at(0), at(0));
    auto const woke_at = at(60'000);
    CHECK(source.reads_store(woke_at));
    source.after_suspension(woke_at);
    CHECK_FALSE(source.reads_store(woke_at));
    REQUIRE(source.relay(woke_at));
    CHECK(source.relay(woke_at)->name == relay);
    CHECK(source.reads_store(woke_at + source.relay_timeout()));
    SUBCASE("a response saves reads of the store")
    {
        source.relay_answered(relay, woke_at, woke_at);
        CHECK_FALSE(source.reads_store(woke_at + source.relay_timeout()));
    }
    SUBCASE("a relay that fails does not")
    {
        source.relay_failed(relay, woke_at);
        CHECK(source.reads_store(woke_at));
    }
    SUBCASE("the first box of the domain reads at once")
    {
        auto first = source_of(relay);
        first.after_suspension(woke_at);
        CHECK(first.reads_store(woke_at));
    }
}
