#include <TestMain.h>

#include "RelayedRecords.h"

namespace {

using namespace RelayedRecords;

/// So many endpoints, named by number.
std::vector<Adapter::KeyedRecord> endpoints(std::size_t count, std::string const& state = "ready")
{
    std::vector<Adapter::KeyedRecord> records;
    records.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
        records.push_back(endpoint("i-" + std::to_string(number), state));
    return records;
}

/// An operator's record with this many routes.
Adapter::KeyedRecord large_configuration(int version, int routes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"services":[],"routes":[)";
    for (int number = 0; number < routes; ++number) {
        text += number == 0 ? "" : ",";
        text += R"({"name":"r)" + std::to_string(number) + R"(","host":"a.example","path_prefix":"/p)"
            + std::to_string(number)
            + R"(/","kind":"idempotent","service":"s","timeout_ms":600,"goal_ms":120,"max_attempts":2,"priority":1})";
    }
    return { "config", text + "]}" };
}

/// The answer at 1100 ms of a relay with version 7 to a box that read version 6 at the moment given.
Membership::ControlAnswer answer_with_version_7(Box& relay, Box& box, Instant box_read_at)
{
    relay.read(7, {}, at(1000));
    box.read(6, {}, box_read_at);
    auto answer = relay.records.answer(box.records.request(at(1100)), any_length, at(1100));
    REQUIRE(answer);
    return *answer;
}

}

TEST_CASE("a box without records gives no answer")
{
    Box box(1);
    CHECK(!box.records.answer({}, any_length, at(0)));
}

TEST_CASE("a box gets all records of its relay, and is confirmed up to the same moment")
{
    Box relay(1);
    Box box(2);
    relay.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    CHECK(ask(box, relay, at(1400)));
    CHECK(box.version() == 7);
    CHECK(box.state.router.endpoint_count() == 2);
    CHECK(box.state.router.configuration_age(at(1400)) == std::chrono::milliseconds(400));
    CHECK(box.records.next(Adapter::Topic::Endpoints) == std::optional(offset_at(at(1000))));
    CHECK(box.records.has_endpoints());

    relay.apply_endpoints({ endpoint("b", "draining"), { "a", std::nullopt } }, at(1500), Coverage::UpToEnd);
    relay.records.confirm_configuration(at(1500));
    auto const answer = relay.records.answer(box.records.request(at(1600)), any_length, at(1600));
    REQUIRE(answer);
    CHECK(!answer->endpoints.is_whole);
    CHECK(answer->endpoints.changes.size() == 2);
    CHECK(!answer->configuration);
    CHECK(box.records.apply_relayed(*answer, "a", at(1600)));
    CHECK(box.state.router.endpoint_count() == 1);
    CHECK(box.state.router.configuration_age(at(1600)) == std::chrono::milliseconds(100));
}

TEST_CASE("an outdated relay doesn't replace newer records")
{
    Box relay(1);
    Box box(2);
    relay.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    box.read(9, { endpoint("b") }, at(2000));
    CHECK(ask(box, relay, at(2100)));
    CHECK(box.version() == 9);
    CHECK(box.state.router.endpoint_count() == 1);
    CHECK(box.state.router.configuration_age(at(2100)) == std::chrono::milliseconds(100));
}

TEST_CASE("an outdated relay does not confirm a newer configuration")
{
    Box relay(1);
    Box box(2);
    relay.read(7, {}, at(1000));
    box.read(9, {}, at(900));
    CHECK(ask(box, relay, at(1100)));
    CHECK(box.version() == 9);
    CHECK(box.state.router.configuration_age(at(1100)) == std::chrono::milliseconds(200));
}

TEST_CASE("a configuration that is too long to be relayed is reported as missing and not confirmed")
{
    Box relay(1);
    Box box(2);
    relay.read(7, { endpoint("a") }, at(1000));
    box.read(6, {}, at(500));
    constexpr std::size_t below_any_configuration = 4;
    CHECK(!ask(box, relay, at(1100), below_any_configuration));
    CHECK(box.version() == 6);
    CHECK(box.state.router.configuration_age(at(1100)) == std::chrono::milliseconds(600));
    CHECK(box.state.router.configuration_freshness(at(1100)) == Routing::ConfigurationFreshness::Aging);
    CHECK(box.state.router.endpoint_count() == 1);
}

TEST_CASE("the size limit for relaying applies to the compressed record")
{
    Box relay(1);
    Box box(2);
    relay.read(7, {}, at(1000));
    auto const record = large_configuration(8, 1000);
    relay.records.apply_operator_records({ record }, at(1000), Coverage::UpToEnd);
    auto const limit = record.value->size() / 5;
    CHECK(ask(box, relay, at(1100), limit));
    CHECK(box.version() == 8);
    CHECK(box.state.router.configuration()->configuration().routes.size() == 1000);
}

TEST_CASE("a version is compressed once for all requests, and boxes relay the bytes that they received")
{
    Box relay(1);
    Box box(2);
    relay.read(7, {}, at(1000));
    box.read(6, {}, at(1000));
    auto const bytes_of = [](Box& asked) {
        auto const answer = asked.records.answer({}, any_length, at(1100));
        REQUIRE(answer);
        REQUIRE(answer->configuration);
        return std::get<Membership::CompressedText>(*answer->configuration).share_bytes();
    };
    auto const first = bytes_of(relay);
    CHECK(bytes_of(relay).get() == first.get());
    CHECK(ask(box, relay, at(1100)));
    CHECK(*bytes_of(box) == *first);
    relay.records.apply_operator_records({ configuration(8) }, at(1200), Coverage::UpToEnd);
    CHECK(bytes_of(relay).get() != first.get());
}

TEST_CASE("an uncompressed record is applied and relayed compressed")
{
    Box relay(1);
    Box box(2);
    Box third(3);
    auto answer = answer_with_version_7(relay, box, at(1000));
    answer.configuration = *configuration(7).value;
    CHECK(box.records.apply_relayed(answer, "a", at(1100)));
    CHECK(box.version() == 7);
    CHECK(ask(third, box, at(1200)));
    CHECK(third.version() == 7);
}

TEST_CASE("a record that is damaged in transit is reported as missing and not confirmed")
{
    Box relay(1);
    Box box(2);
    auto answer = answer_with_version_7(relay, box, at(500));
    auto const compressed = std::get<Membership::CompressedText>(*answer.configuration);
    Core::LastReason reason;
    answer.configuration
        = *Membership::CompressedText::from_bytes(compressed.bytes() + "x", compressed.text_size(), reason);
    CHECK(!box.records.apply_relayed(answer, "a", at(1100)));
    CHECK(box.version() == 6);
    CHECK(box.state.router.configuration_age(at(1100)) == std::chrono::milliseconds(600));
    auto const text = box.state.metrics.to_text();
    CHECK(text.find("cleatbeam_bad_records_total{kind=\"configuration\"} 1") != std::string::npos);
}

TEST_CASE("a slow answer confirms nothing later than its request")
{
    Box relay(1);
    Box box(2);
    relay.read(7, {}, at(5000));
    auto const answer = relay.records.answer(box.records.request(at(1000)), any_length, at(5000));
    REQUIRE(answer);
    // Requested at 1000, answered at 5000 and received even later: the box can't know when the answer was made.
    CHECK(box.records.apply_relayed(*answer, "a", at(1000)));
    CHECK(box.state.router.configuration_age(at(9000)) == std::chrono::seconds(8));
}

TEST_CASE("after a change of relay a box gets the changes only, and has the list of the new relay")
{
    Box first(1);
    Box second(2);
    Box box(3);
    first.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    second.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    CHECK(ask(box, first, at(1000)));
    second.apply_endpoints({ { "a", std::nullopt }, endpoint("c"), endpoint("d") }, at(1100), Coverage::UpToEnd);
    auto const answer = second.records.answer(box.records.request(at(1200)), any_length, at(1200));
    REQUIRE(answer);
    CHECK(!answer->endpoints.is_whole);
    CHECK(answer->endpoints.changes.size() == 3);
    CHECK(box.records.apply_relayed(*answer, "a", at(1200)));
    CHECK(box.state.router.endpoint_count() == 3);
    CHECK(box.records.next(Adapter::Topic::Endpoints) == std::optional(offset_at(at(1100))));
}

TEST_CASE("a relay that has read less of the log takes no change back")
{
    Box first(1);
    Box second(2);
    Box box(3);
    first.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    second.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    first.apply_endpoints({ { "a", std::nullopt } }, at(1100), Coverage::UpToEnd);
    CHECK(ask(box, first, at(1100)));
    second.records.apply_endpoint_records({}, at(1200), Coverage::UpToEnd);
    CHECK(ask(box, second, at(1200)));
    CHECK(box.state.router.endpoint_count() == 1);
    CHECK(box.records.next(Adapter::Topic::Endpoints) == std::optional(offset_at(at(1100))));
}

TEST_CASE("a relay that doesn't know the changes since the box's list sends the whole list")
{
    Box first(1);
    Box second(2);
    Box box(3);
    first.read(7, { endpoint("a"), endpoint("b") }, at(1000));
    CHECK(ask(box, first, at(1000)));
    second.read(7, { endpoint("b"), endpoint("c") }, at(1100));
    second.apply_endpoints({ endpoint("b"), endpoint("c") }, at(1100), Coverage::WholeList);
    Box third(4);
    third.records.set_next(Adapter::Topic::Operator, 10);
    third.records.apply_operator_records({ configuration(7) }, at(1100), Coverage::WholeList);
    third.apply_endpoints({ endpoint("b"), endpoint("c") }, at(1100), Coverage::WholeList);
    auto const answer = third.records.answer(box.records.request(at(1200)), any_length, at(1200));
    REQUIRE(answer);
    CHECK(answer->endpoints.is_whole);
    CHECK(box.records.apply_relayed(*answer, "a", at(1200)));
    CHECK(box.state.router.endpoint_count() == 2);
}

TEST_CASE("a long list is sent compressed, the same to all boxes that need it, with what changed since")
{
    Box relay(1);
    relay.read(7, endpoints(1000), at(1000));
    Box box(2);
    auto const first = relay.records.answer(box.records.request(at(1000)), any_length, at(1000));
    REQUIRE(first);
    REQUIRE(first->endpoint_list);
    CHECK(first->endpoints.changes.empty());
    CHECK(Membership::encode(*first).own.size() < 20'000);

    relay.apply_endpoints(
        { { "i-7", std::nullopt }, endpoint("new"), endpoint("i-8", "draining") }, at(1100), Coverage::UpToEnd);
    auto const second = relay.records.answer(box.records.request(at(1100)), any_length, at(1100));
    REQUIRE(second);
    CHECK(second->endpoint_list->share_bytes() == first->endpoint_list->share_bytes());
    CHECK(second->endpoints.changes.size() == 3);
    CHECK(box.records.apply_relayed(*Membership::decode_answer(Membership::encode(*second).whole()), "a", at(1100)));
    CHECK(box.state.router.endpoint_count() == 1000);
    CHECK(box.state.router.usable_endpoints("s", at(1100)) == 999);

    relay.apply_endpoints(endpoints(200, "draining"), at(1200), Coverage::UpToEnd);
    auto const third = relay.records.answer({ 0, 0, 0, "b9", {}, "a", {}, true }, any_length, at(1200));
    REQUIRE(third);
    CHECK(third->endpoint_list->share_bytes() != first->endpoint_list->share_bytes());
    CHECK(third->endpoints.changes.empty());
}

TEST_CASE("a box of an earlier version gets the whole list as it is")
{
    Box relay(1);
    relay.read(7, endpoints(1000), at(1000));
    Membership::ControlRequest earlier;
    earlier.requester = "b2";
    auto const answer = relay.records.answer(earlier, any_length, at(1000));
    REQUIRE(answer);
    CHECK(!answer->endpoint_list);
    CHECK(answer->endpoints.changes.size() == 1000);
}

TEST_CASE("a compressed list that is damaged changes nothing")
{
    Box relay(1);
    relay.read(7, endpoints(1000), at(1000));
    Box box(2);
    auto answer = relay.records.answer(box.records.request(at(1000)), any_length, at(1000));
    REQUIRE(answer);
    Core::LastReason reason;
    answer->endpoint_list = Membership::CompressedText::of("no list of endpoints", reason);
    static_cast<void>(box.records.apply_relayed(*answer, "a", at(1000)));
    CHECK(!box.records.has_endpoints());
}

TEST_CASE("a relay passes its box records on to boxes that have others, unless it read its own before")
{
    Box relay(1);
    relay.read(7, { endpoint("a") }, at(1000));
    Core::LastReason reason;
    auto const text = Membership::CompressedText::of("box records", reason);
    REQUIRE(text);
    relay.records.set_box_records_relay({ [] {
                                             return Membership::BoxRecordsVersion { 17, 2, 40 };
                                         },
        [&] {
            return Membership::SharedBoxRecords { { 17, 2, 40 }, *text };
        },
        {} });
    auto const is_passed_on = [&](Membership::BoxRecordsVersion const& version) {
        Membership::ControlRequest request;
        request.requester = "b2";
        request.box_records = version;
        auto const answer = relay.records.answer(request, any_length, at(1000));
        REQUIRE(answer);
        return answer->box_records.has_value();
    };
    CHECK(is_passed_on({}));
    CHECK_FALSE(is_passed_on({ 17, 2, 39 }));
    CHECK(is_passed_on({ 18, 2, 39 }));
    CHECK(is_passed_on({ 18, 2, 40 }));
    CHECK_FALSE(is_passed_on({ 18, 2, 41 }));
    CHECK(is_passed_on({ 18, 1, 41 }));
    CHECK_FALSE(is_passed_on({ 18, 3, 4 }));
    // A box of an earlier version doesn't tell when its records were read.
    CHECK(is_passed_on({ 18, 0, 0 }));
}

TEST_CASE("boxes with the same relay use its division of the engines")
{
    Box relay(1);
    Box box(2);
    relay.read(7, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, at(1000));
    relay.state.router.apply_answer_shares({ { "s", 0.25 } }, at(1000));
    CHECK(ask(box, relay, at(1100)));
    auto const shares = box.state.router.answer_shares(at(1200));
    REQUIRE(shares.contains("s"));
    CHECK(shares.at("s") == relay.state.router.answer_shares(at(1200)).at("s"));
}

TEST_CASE("boxes of another failure domain don't affect the division of the engines")
{
    Box relay(1);
    relay.read(1, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"), endpoint("e") }, at(1000));
    auto const share_after = [&](std::string const& requester_domain, Routing::WorkTotals const& work, Instant now) {
        Membership::ControlRequest const question { 0, 0, 1, "of " + requester_domain, { { "s", work } },
            requester_domain };
        auto const answer = relay.records.answer(question, any_length, now);
        REQUIRE(answer);
        return relay.state.router.answer_shares(now).at("s");
    };
    auto const of_own = share_after("a", { 10, 90 }, at(1000));
    CHECK(share_after("b", { 100'000, 0 }, at(1100)) == of_own);
    CHECK(share_after("a", { 90, 10 }, at(1200)) > of_own);
}

// Guards against too few engines for long answers in a burst. Boxes had just changed to relays of other failure
// domains, kept the division of those domains for 6 s, and sent the whole burst to few engines, so that attempts hit
// the client's time limit.
TEST_CASE("the division of a relay in another failure domain is ignored")
{
    Box relay(1);
    Box box(2);
    relay.read(7, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, at(1000));
    box.read(7, { endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") }, at(1000));
    relay.state.router.apply_answer_shares({ { "s", 0.5 } }, at(1000));
    box.state.router.apply_answer_shares({ { "s", 0.25 } }, at(1000));
    auto const before = box.state.router.answer_shares(at(1050)).at("s");
    auto const answer = relay.records.answer(box.records.request(at(1100)), any_length, at(1100));
    REQUIRE(answer);
    REQUIRE(answer->answer_shares.at("s") != before);
    CHECK(box.records.apply_relayed(*answer, "b", at(1100)));
    CHECK(box.state.router.answer_shares(at(1200)).at("s") == before);
    CHECK(box.records.apply_relayed(*answer, "a", at(1100)));
    CHECK(box.state.router.answer_shares(at(1200)).at("s") == answer->answer_shares.at("s"));
}

// Guards against requests to an endpoint that left more than the bound of 2,000 ms ago. A box lost its own connection
// to the store and got its records from another box. When its connection returned and brought the removal of an
// endpoint, the box treated this as the end of an outage of the store, and kept the endpoint for another 2 s as one
// whose entry might have expired.
TEST_CASE("a box that kept getting records from a relay applies a removal at once when it reaches the store again")
{
    Box relay(1);
    Box box(2);
    auto const now = Core::monotonic_now();
    auto const removal = std::vector<Adapter::KeyedRecord> { { "a", std::nullopt } };
    relay.read(7, { endpoint("a"), endpoint("b") }, now);
    box.read(7, { endpoint("a"), endpoint("b") }, now - std::chrono::seconds(11));
    SUBCASE("confirmed by another box")
    {
        CHECK(ask(box, relay, now));
        box.records.store_returned(now);
        box.apply_endpoints(removal, now, Coverage::UpToEnd);
        CHECK(box.state.router.endpoint_count() == 1);
    }
    SUBCASE("not confirmed, so the entry may have expired during the outage")
    {
        box.records.store_returned(now);
        box.apply_endpoints(removal, now, Coverage::UpToEnd);
        CHECK(box.state.router.endpoint_count() == 2);
    }
}

// Guards against a version that is served for up to 1.55 times the bound. A relay reads a new version that is too long
// to be passed on; another relay learns of the version from the first, and the box from the second, 0.55 of the bound
// later. If the box counts the bound from then on, it serves the old version for 3,100 ms where the bound is 2,000 ms.
TEST_CASE("a box behind two relays counts a version's bound from when the first relay read of it")
{
    Box reader(1);
    Box relay(2);
    Box box(3);
    auto const begun = Core::monotonic_now();
    auto const after = [&](Instant from, int milliseconds) { return from + std::chrono::milliseconds(milliseconds); };
    box.read(6, {}, begun);
    relay.read(6, {}, begun);
    reader.read(7, {}, begun);
    auto const known_at = Core::monotonic_now();
    CHECK(ask(relay, reader, after(known_at, 500)));
    constexpr std::size_t no_configuration = 0;
    CHECK(!ask(box, relay, after(known_at, 1100), no_configuration));
    CHECK(box.version() == 6);
    CHECK(box.state.router.configuration_freshness(after(known_at, 2000)) == Routing::ConfigurationFreshness::Aging);
    CHECK(box.state.router.configuration_freshness(after(known_at, 2001)) == Routing::ConfigurationFreshness::Expired);
}

namespace {

/// An endpoint's record with the start time of its process.
Adapter::KeyedRecord started_at(std::string const& name, std::uint64_t start)
{
    auto record = endpoint(name);
    record.value->insert(1, "\"born\":" + std::to_string(start) + ",");
    return record;
}

/// All endpoints in the box's answer to a request.
std::vector<Membership::EndpointChange> endpoints_sent_by(Box& box, Instant now)
{
    auto const answer = box.records.answer({}, any_length, now);
    REQUIRE(answer);
    return answer->endpoints.changes;
}

/// The answer as sent by a box of an older version, which omits start times.
Membership::ControlAnswer without_start_times(Membership::ControlAnswer answer)
{
    for (auto& change : answer.endpoints.changes) {
        if (change.record)
            change.record->started_at = 0;
    }
    return answer;
}

}

TEST_CASE(
    "relays pass on the start time of an endpoint, and records without one or of an earlier instance don't replace it")
{
    Box relay(1);
    Box requester(2);
    relay.read(7, { started_at("a", 1000) }, at(100));
    requester.read(7, {}, at(50));
    auto const ask = [&](std::int64_t milliseconds) {
        auto const answer
            = relay.records.answer(requester.records.request(at(milliseconds)), any_length, at(milliseconds));
        REQUIRE(answer);
        return *answer;
    };
    REQUIRE(requester.records.apply_relayed(ask(200), "a", at(200)));
    CHECK(endpoints_sent_by(requester, at(200)).front().record->started_at == 1000);

    relay.apply_endpoints({ started_at("a", 2000) }, at(300), Coverage::UpToEnd);
    REQUIRE(requester.records.apply_relayed(ask(400), "a", at(400)));
    CHECK(endpoints_sent_by(requester, at(400)).front().record->started_at == 2000);

    // A relay of an older version omits the start time, and a delayed record is of the earlier instance.
    relay.apply_endpoints({ endpoint("b") }, at(500), Coverage::UpToEnd);
    REQUIRE(requester.records.apply_relayed(without_start_times(ask(600)), "a", at(600)));
    requester.apply_endpoints({ started_at("a", 1000) }, at(700), Coverage::UpToEnd);
    CHECK(endpoints_sent_by(requester, at(700)).front().record->started_at == 2000);
    CHECK(requester.state.router.endpoint_count() == 2);
}

TEST_CASE("an unreadable entry removes its endpoint and no other")
{
    Box box(1);
    box.read(7, { endpoint("a"), endpoint("b") }, at(100));
    Adapter::KeyedRecord const broken { "a", R"({"service":"s"})" };
    box.apply_endpoints({ broken, endpoint("c") }, at(200), Coverage::UpToEnd);
    CHECK(box.state.router.endpoint_count() == 2);
    auto const rejected = [&box] {
        auto const text = box.state.metrics.to_text();
        return text.find("cleatbeam_bad_records_total{kind=\"endpoint\"} 1") != std::string::npos;
    };
    CHECK(rejected());
    box.apply_endpoints({ endpoint("a") }, at(300), Coverage::UpToEnd);
    CHECK(box.state.router.endpoint_count() == 3);
    box.apply_endpoints({ broken, endpoint("b") }, at(400), Coverage::WholeList);
    CHECK(box.state.router.endpoint_count() == 1);
}
