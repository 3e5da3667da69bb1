#include <TestMain.h>

#include "ScriptedStore.h"
#include <LibGateway/BoxRegistry.h>
#include <algorithm>

namespace {

using namespace Scripted;

Membership::BoxRecord own_record()
{
    return { "box", { "10.0.0.1", 7000 }, "domain", 1'250'000 };
}

std::string base64(std::string const& text)
{
    std::string value(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    value.resize(boost::beast::detail::base64::encode(value.data(), text.data(), text.size()));
    return value;
}

/// The store's answer to a read of the list with this box and three others of its failure domain.
std::string full_list()
{
    std::string items;
    for (std::string const name : { "box", "c", "d", "e" }) {
        auto record = own_record();
        record.name = name;
        items += (items.empty() ? "" : ",") + std::string(R"({"tls_key":")") + name + R"(","value":")"
            + base64(Membership::encode(record)) + R"("})";
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"end":4})";
}

/// The store's answer to a read of the relay records: this box for the failure domain, or none.
std::string relay_records(std::optional<Membership::BoxRecord> const& relay, std::uint64_t end)
{
    auto const item = relay ? R"({"tls_key":"domain","value":")" + base64(Membership::encode_relay(*relay)) + R"("})"
                            : std::string();
    return R"({"items":[)" + item + R"(],"truncated":false,"end":)" + std::to_string(end) + "}";
}

bool concerns(std::string const& target, std::string_view topic)
{
    return target.find(topic) != std::string::npos;
}

Membership::BoxRecord other_box(std::string const& name, std::uint16_t port = 1)
{
    return { name, { "127.0.0.1", port }, "domain", 25'000'000 };
}

/// A box that starts before a scripted store.
struct StartingBox {
    StartingBox(BoxRegistry::Start start, FakeStore::Script script)
        : state(this->context, Routing::RouterSettings {}, 1)
        , source("box", "domain", {})
        , store(this->context, std::move(script))
        , registry(
              this->state, this->source, this->store.address(), own_record(), [this] { ++this->sources_found; },
              [this] { ++this->list_updates; }, 1)
    {
        this->source.begin_search();
        asio::co_spawn(
            this->context, [this, start] { return this->registry.run(start); }, asio::detached);
    }

    [[nodiscard]] std::size_t calls(std::string_view call, std::string_view topic) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->store.targets,
            [&](std::string const& target) { return begins_with(target, call) && concerns(target, topic); }));
    }

    asio::io_context context;
    GatewayState state;
    Membership::ControlSource source;
    FakeStore store;
    BoxRegistry registry;
    int sources_found { 0 };
    /// Attempts to read the list of boxes that have ended, successful or not.
    int list_updates { 0 };
};

/// A copy of the topic of box records as a relay passes it on, with these boxes. An end of 0 is that of a relay which
/// doesn't tell when it read them.
Membership::SharedBoxRecords relayed(
    std::vector<std::string> const& names, std::uint64_t era = 0, std::uint64_t end = 0)
{
    Membership::BoxRecords records;
    for (auto const& name : names) {
        auto record = own_record();
        record.name = name;
        records.emplace(name, Membership::encode(record));
    }
    Core::LastReason reason;
    return { { 17, era, end }, *Membership::CompressedText::of(Membership::encode(records), reason) };
}

constexpr std::string_view newest = "/log-newest";
constexpr std::string_view append = "/log-append";
constexpr std::string_view relays_topic = "keyed.relays";
constexpr std::string_view boxes_topic = "keyed.boxes";

}

TEST_CASE("a box that finds a relay reads nothing else, and takes the list of boxes from it")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) {
        return Answer { 200, relay_records(other_box("relay"), 1) };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    CHECK(box.store.targets.size() == 1);
    CHECK(concerns(box.store.targets[0], relays_topic));
    CHECK(box.source.relay(Core::monotonic_now())->name == "relay");
    CHECK(!box.source.reads_store(Core::monotonic_now()));
    box.registry.apply_relayed(relayed({ "relay", "box", "c", "d" }));
    CHECK(box.list_updates == 1);
    CHECK(box.source.boxes().size() == 4);
    CHECK(!box.source.is_searching());
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 300; }));
    CHECK(box.store.targets.size() == 1);
}

// Guards against a box that loses boxes which it knows to a relay that read the list before they were there.
TEST_CASE("a box keeps its list of boxes if a relay passes on one that was read before it")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) {
        return Answer { 200, relay_records(other_box("relay"), 1) };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    auto const boxes_after = [&](Membership::SharedBoxRecords const& records) {
        box.registry.apply_relayed(records);
        return box.source.boxes().size();
    };
    CHECK(boxes_after(relayed({ "relay", "box", "c", "d" }, 1, 7)) == 4);
    CHECK(box.registry.records_version().end == 7);
    // Another relay read the list before d was there.
    CHECK(boxes_after(relayed({ "relay", "box", "c" }, 1, 6)) == 4);
    CHECK(box.list_updates == 1);
    // The same records, read later: lists from before that are older as well.
    CHECK(boxes_after(relayed({ "relay", "box", "c", "d" }, 1, 9)) == 4);
    CHECK(boxes_after(relayed({ "relay", "box", "c" }, 1, 8)) == 4);
    // One box has gone.
    CHECK(boxes_after(relayed({ "relay", "box", "d" }, 1, 10)) == 3);
    // Offsets are assigned again after the store was restored from a copy.
    CHECK(boxes_after(relayed({ "relay", "box", "c", "d" }, 2, 4)) == 4);
    CHECK(boxes_after(relayed({ "relay", "box" }, 1, 20)) == 4);
    // A box of an earlier version doesn't tell when it read its list.
    CHECK(boxes_after(relayed({ "relay", "box" })) == 2);
}

TEST_CASE("a box that its relay's list lacks writes its record")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) {
        return Answer { 200, relay_records(other_box("relay"), 1) };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    box.registry.apply_relayed(relayed({ "relay", "c", "d", "e" }));
    CHECK(box.list_updates == 1);
    // The first relay stays in use: a list that lacks the box may be incomplete.
    CHECK(box.source.is_searching());
    CHECK(box.source.relay(Core::monotonic_now())->name == "relay");
    REQUIRE(run_until(box.context, [&] { return box.calls(append, boxes_topic) == 1; }));
    // The relay's list may still lack it for a while.
    box.registry.apply_relayed(relayed({ "relay", "c", "d", "e", "f" }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 1200; }));
    CHECK(box.calls(append, boxes_topic) == 1);
}

TEST_CASE("a box of a failure domain without a relay claims, and reads the store and the list of boxes itself")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const& target) {
        if (begins_with(target, append))
            return Answer { 200, "{}" };
        return Answer { 200, concerns(target, relays_topic) ? relay_records({}, 7) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(box.calls(append, relays_topic) == 1);
    CHECK(box.calls(append, "current_rev=7") == 1);
    CHECK(box.calls(newest, relays_topic) == 2);
    CHECK(box.calls(newest, boxes_topic) == 1);
    CHECK(box.source.boxes().size() == 4);
    CHECK(box.calls(append, boxes_topic) == 0);
}

TEST_CASE("a box that another one was faster than uses that one")
{
    bool is_claimed = false;
    StartingBox box(BoxRegistry::Start::OfThisBox, [&](std::string const& target) {
        if (begins_with(target, append)) {
            is_claimed = true;
            return Answer { 412, R"({"end":8})" };
        }
        return Answer { 200, is_claimed ? relay_records(other_box("faster"), 8) : relay_records({}, 7) };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    CHECK(box.source.relay(Core::monotonic_now())->name == "faster");
    CHECK(box.calls(newest, boxes_topic) == 0);
}

TEST_CASE("a box that is its failure domain's relay leads when it starts again")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const& target) {
        return Answer { 200, concerns(target, relays_topic) ? relay_records(own_record(), 7) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(box.calls(append, "") == 0);
    CHECK(box.source.reads_store(Core::monotonic_now()));
}

TEST_CASE("a box whose recorded relay does not respond claims in its place")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const& target) {
        if (begins_with(target, append))
            return Answer { 200, "{}" };
        return Answer { 200, concerns(target, relays_topic) ? relay_records(other_box("gone"), 7) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    box.source.relay_failed("gone", Core::monotonic_now());
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(box.calls(append, relays_topic) == 1);
    CHECK(box.source.boxes().size() == 4);
}

// Guards against boxes that each read whole topics of a store that can't answer them all.
TEST_CASE("a box that the store does not answer asks for nothing but its relay")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) { return Answer { 503, "" }; });
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() == 4; }));
    CHECK(box.calls(newest, relays_topic) == 4);
    CHECK(box.source.boxes().size() == 0);
    CHECK(!box.source.reads_store(Core::monotonic_now()));
}

TEST_CASE(
    "on the first start of all boxes, each writes its record once and one that leads reads the list after all did")
{
    bool is_written = false;
    bool was_read_before = false;
    StartingBox box(BoxRegistry::Start::OfAllBoxes, [&](std::string const& target) {
        is_written |= begins_with(target, append) && concerns(target, boxes_topic);
        if (begins_with(target, append))
            return Answer { 200, "{}" };
        was_read_before |= concerns(target, boxes_topic) && !is_written;
        return Answer { 200, concerns(target, relays_topic) ? relay_records({}, 0) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(!was_read_before);
    CHECK(box.calls(append, boxes_topic) == 1);
    CHECK(box.calls(newest, boxes_topic) == 1);
    CHECK(box.source.boxes().size() == 4);
}

// Guards against a leader that acts seconds late, since no box knows the others before the list is read.
TEST_CASE(
    "twice the whole fleet writes its records without a timeout, and the list is read two seconds after the start")
{
    constexpr std::size_t boxes = 1970;
    constexpr double appends_per_second = 1000;
    constexpr Core::Duration longest_start { std::chrono::milliseconds(300) };
    pcg32 random(20261203);
    auto const up_to = [&](Core::Duration limit) {
        return Core::Duration { std::uniform_int_distribution<Core::Duration::rep>(0, limit.count())(random) };
    };
    std::vector<Core::Duration> writes;
    writes.reserve(boxes);
    for (std::size_t box = 0; box < boxes; ++box)
        writes.push_back(up_to(longest_start) + up_to(BoxRegistry::registration_spread));
    std::ranges::sort(writes);
    Core::Duration store_free_at { 0 };
    for (auto const write : writes) {
        store_free_at = std::max(store_free_at, write) + Core::from_seconds(1 / appends_per_second);
        REQUIRE(store_free_at - write < BoxRegistry::timeouts.first_byte);
    }
    CHECK(BoxRegistry::settling_time <= std::chrono::seconds(2));
}

TEST_CASE("a box that others ask before they are listed reads the list again, and no more often than needed")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const& target) {
        return Answer { 200, concerns(target, relays_topic) ? relay_records(own_record(), 7) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.calls(newest, boxes_topic) == 1; }));
    for (int question = 0; question < 10; ++question)
        box.registry.read_again();
    REQUIRE(run_until(box.context, [&] { return box.calls(newest, boxes_topic) == 2; }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 300; }));
    CHECK(box.calls(newest, boxes_topic) == 2);
}

// Guards against a new leader that never learns of the boxes which its list lacks, since the read that it asked for
// failed.
TEST_CASE("a list that has to be read again is read once the store answers")
{
    bool is_answering = false;
    StartingBox box(BoxRegistry::Start::OfThisBox, [&](std::string const& target) {
        if (concerns(target, relays_topic))
            return Answer { 200, relay_records(other_box("relay"), 1) };
        return Answer { is_answering ? 200U : 503U, full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    box.registry.apply_relayed(relayed({ "relay", "box" }));
    CHECK(box.source.boxes().size() == 2);
    box.registry.read_again();
    REQUIRE(run_until(box.context, [&] { return box.calls(newest, boxes_topic) == 1; }));
    CHECK_FALSE(box.registry.read_at().has_value());
    is_answering = true;
    REQUIRE(run_until(box.context, [&] { return box.registry.read_at().has_value(); }));
    CHECK(box.source.boxes().size() == 4);
}

// Guards against a task that waited for the next list in a loop without a pause, and so stopped all others.
TEST_CASE("a box whose store comes back from a copy reads the list at once and goes on with its other work")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const& target) {
        return Answer { 200, concerns(target, relays_topic) ? relay_records(own_record(), 7) : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.calls(newest, boxes_topic) == 1; }));
    bool has_worked = false;
    box.registry.store_restored();
    asio::post(box.context, [&] { asio::post(box.context, [&] { has_worked = true; }); });
    REQUIRE(run_until(box.context, [&] { return has_worked; }));
    REQUIRE(run_until(box.context, [&] { return box.calls(newest, boxes_topic) == 2; }));
}

// Guards against a leader that told no other box of itself, since the copy of the store lacked all of them.
TEST_CASE(
    "a box keeps the boxes that it knows when the store comes back from a copy without them, and writes its record")
{
    bool is_restored = false;
    StartingBox box(BoxRegistry::Start::OfThisBox, [&](std::string const& target) {
        if (begins_with(target, append))
            return Answer { 200, "{}" };
        if (concerns(target, relays_topic))
            return Answer { 200, relay_records(own_record(), 7) };
        return Answer { 200, is_restored ? R"({"items":[],"truncated":false,"end":9})" : full_list() };
    });
    REQUIRE(run_until(box.context, [&] { return box.list_updates == 1; }));
    REQUIRE(box.calls(append, boxes_topic) == 0);
    is_restored = true;
    box.registry.store_restored();
    REQUIRE(run_until(box.context, [&] { return box.list_updates == 2; }));
    CHECK(box.source.boxes().size() == 4);
    CHECK(run_until(box.context, [&] { return box.calls(append, boxes_topic) == 1; }));
}

// Guards against a search that never paused after the store came back from a copy, and so stopped the whole box.
TEST_CASE("a box that is still searching when the store comes back from a copy goes on with its other work")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) {
        return Answer { 200, relay_records(other_box("relay"), 1) };
    });
    REQUIRE(run_until(box.context, [&] { return box.sources_found > 0; }));
    box.registry.store_restored();
    bool has_worked = false;
    asio::steady_timer timer(box.context, std::chrono::milliseconds(300));
    timer.async_wait([&](error_code) { has_worked = true; });
    REQUIRE(run_until(box.context, [&] { return has_worked; }));
    CHECK(box.source.is_searching());
}

TEST_CASE("box records that can't be read change nothing")
{
    StartingBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) {
        return Answer { 200, relay_records(other_box("relay"), 1) };
    });
    Core::LastReason reason;
    box.registry.apply_relayed({ { 1, 0, 0 }, *Membership::CompressedText::of("no records", reason) });
    box.registry.apply_relayed({ { 1, 0, 0 }, *Membership::CompressedText::of("", reason) });
    CHECK(box.list_updates == 0);
    CHECK(box.source.is_searching());
}
