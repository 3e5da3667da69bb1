#include <TestMain.h>

#include <LibMembership/DemandPool.h>
#include <LibMembership/Relay.pb.h>
#include <LibMembership/RelayMessages.h>
#include <limits>
#include <map>
#include <pcg_random.hpp>

namespace {

using namespace Membership;

Routing::EndpointRecord endpoint(std::string const& incarnation, bool is_draining = false)
{
    return { incarnation, "service", { "10.0.0.1", 80 }, "a", 4, is_draining };
}

CompressedText compressed(std::string const& text)
{
    Core::LastReason reason;
    auto made = CompressedText::of(text, reason);
    REQUIRE(made);
    return *made;
}

/// A box that keeps its list up to date by polling a journal.
struct Follower {
    void poll(EndpointJournal const& journal)
    {
        auto const answer = journal.changes_since(this->revision);
        if (answer.is_whole)
            this->known.clear();
        for (auto const& change : answer.changes) {
            if (change.record)
                this->known.insert_or_assign(change.incarnation, *change.record);
            else
                this->known.erase(change.incarnation);
        }
        this->revision = answer.revision;
    }

    std::map<std::string, Routing::EndpointRecord> known;
    std::uint64_t revision { 0 };
};

}

TEST_CASE("a heartbeat without other changes is no change")
{
    EndpointJournal journal;
    journal.put(endpoint("a"), 5);
    journal.put(endpoint("a"), 6);
    CHECK(journal.changes_since(5).changes.empty());
    journal.put(endpoint("a", true), 7);
    auto const changes = journal.changes_since(5);
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].record->draining);
    CHECK(changes.revision == 7);
}

TEST_CASE("the removal of an endpoint that is not listed is passed on, and doesn't count as one that is")
{
    EndpointJournal journal;
    journal.put(endpoint("a"), 5);
    CHECK_FALSE(journal.remove("b", 6));
    CHECK_FALSE(journal.remove("b", 7));
    CHECK(journal.size() == 1);
    auto const answer = journal.changes_since(6);
    REQUIRE(answer.changes.size() == 1);
    CHECK(answer.changes[0] == EndpointChange { "b", std::nullopt });
}

TEST_CASE("a record that is listed late reaches followers that are beyond it, until it changes or is forgotten")
{
    EndpointJournal journal;
    journal.put(endpoint("a"), 5);
    journal.advance(9);
    journal.put_out_of_sequence(endpoint("b"));
    Follower ahead;
    ahead.revision = 12;
    ahead.poll(journal);
    CHECK(ahead.known.contains("b"));
    SUBCASE("it is forgotten")
    {
        journal.forget_out_of_sequence();
        CHECK(journal.changes_since(12).changes.empty());
    }
    SUBCASE("it is removed")
    {
        journal.remove("b", 13);
        ahead.poll(journal);
        CHECK(ahead.known.empty());
        CHECK(journal.changes_since(13).changes.empty());
    }
}

TEST_CASE("the time for which an endpoint stays cold is a change only when it does not just pass")
{
    auto const cold_for = [](int seconds) {
        auto record = endpoint("a");
        record.cold_left = std::chrono::seconds(seconds);
        return record;
    };
    EndpointJournal journal;
    journal.put(cold_for(9), 1);
    journal.put(cold_for(7), 2);
    CHECK(journal.changes_since(1).changes.empty());
    CHECK(journal.changes_since(0).changes.at(0).record->cold_left == std::chrono::seconds(7));
    journal.put(cold_for(8), 3);
    CHECK(journal.changes_since(1).changes.size() == 1);
    journal.put(cold_for(0), 4);
    CHECK(journal.changes_since(3).changes.size() == 1);
}

TEST_CASE("followers that poll any of several journals of a log have the same list, however often and late they poll")
{
    pcg32 random(7);
    std::uint64_t offset = 1;
    std::vector<EndpointJournal> journals(3);
    std::map<std::string, Routing::EndpointRecord> truth;
    std::vector<Follower> followers(3);
    auto const list = [&truth] {
        std::vector<Routing::EndpointRecord> records;
        records.reserve(truth.size());
        for (auto const& [name, record] : truth)
            records.push_back(record);
        return records;
    };
    auto const poll = [&](Follower& follower) { follower.poll(journals[random(journals.size())]); };
    for (int step = 0; step < 5000; ++step) {
        auto const name = "e" + std::to_string(random(400));
        bool const is_removal = random(4) == 0;
        bool const is_draining = random(4) == 0;
        ++offset;
        if (is_removal)
            truth.erase(name);
        else
            truth.insert_or_assign(name, endpoint(name, is_draining));
        for (auto& journal : journals) {
            // NOTE: One that begins anew knows nothing of the time before.
            if (random(1000) == 0)
                journal.restart(list(), offset);
            else if (random(100) == 0)
                journal.replace_all(list(), offset);
            else if (is_removal)
                journal.remove(name, offset);
            else
                journal.put(endpoint(name, is_draining), offset);
            journal.advance(offset);
        }
        if (random(3) == 0)
            poll(followers[0]);
        if (random(40) == 0)
            poll(followers[1]);
        // NOTE: This follower polls so rarely that the journals have discarded removals meanwhile.
        if (random(1500) == 0)
            poll(followers[2]);
    }
    for (auto& follower : followers) {
        poll(follower);
        CHECK(follower.known == truth);
    }
}

TEST_CASE(
    "a journal sends the whole list for a revision from before it began, and nothing for a later one than its own")
{
    EndpointJournal journal;
    journal.restart({ endpoint("a") }, 50);
    CHECK(journal.changes_since(0).is_whole);
    CHECK(journal.changes_since(49).is_whole);
    CHECK(!journal.changes_since(50).is_whole);
    CHECK(!journal.changes_since(99).is_whole);
    CHECK(journal.changes_since(99).changes.empty());
    CHECK(journal.changes_since(99).revision == 50);
}

// Guards against whole lists for all boxes in a release, which removes far more endpoints than a fixed number.
TEST_CASE("the replacement of a long list's endpoints costs a box that is behind no whole list")
{
    constexpr std::size_t endpoints = 10'000;
    EndpointJournal journal;
    std::uint64_t offset = 1;
    for (std::size_t number = 0; number < endpoints; ++number)
        journal.put(endpoint("old-" + std::to_string(number)), offset);
    auto const begin = offset;
    for (std::size_t number = 0; number < endpoints / 2; ++number) {
        journal.put(endpoint("new-" + std::to_string(number)), ++offset);
        journal.remove("old-" + std::to_string(number), ++offset);
    }
    CHECK(!journal.changes_since(begin).is_whole);
    CHECK(journal.changes_since(begin).changes.size() == endpoints);
}

TEST_CASE("messages between boxes are decoded as they were encoded")
{
    ControlRequest const request { 77, 5, 9, "b1", { { "pool", { 12.5, 3 } } }, "a", { 99, 3, 70 }, true };
    CHECK(decode_request(encode(request)) == request);
    ControlAnswer answer;
    answer.source = 1;
    answer.endpoints = { 12, false, { { "a", endpoint("a", true) }, { "b", std::nullopt } } };
    answer.endpoints_age = std::chrono::milliseconds(250);
    answer.endpoints_next = 900;
    answer.configuration_version = 31;
    answer.configuration = compressed(std::string("{\"version\":31}\0x", 16));
    answer.configuration_age = std::chrono::microseconds(17);
    answer.configuration_next = 44;
    answer.configuration_known_for = std::chrono::milliseconds(1200);
    answer.store_returned_ago = std::chrono::seconds(3);
    answer.answer_shares = { { "pool", 0.25 } };
    answer.evacuated_domains = { "hall", "other hall" };
    answer.endpoint_list = compressed(encode(std::vector<EndpointChange> { { "c", endpoint("c") } }));
    answer.box_records = SharedBoxRecords { { 17, 2, 40 }, compressed(encode(BoxRecords { { "b1", "x" } })) };
    answer.endpoints.changes[0].record->cold_left = std::chrono::milliseconds(1500);
    answer.endpoints.changes[0].record->version = "v1.2";
    CHECK(decode_answer(encode(answer).whole()) == answer);
    answer.configuration.reset();
    answer.evacuated_domains.reset();
    CHECK(decode_answer(encode(answer).whole()) == answer);
    BoxRecord const record { "b1", { "10.0.0.9", 7340 }, "hall", 25'000'000 };
    CHECK(decode_box("b1", encode(record)) == record);
    CHECK(decode_relay(encode_relay(record)) == record);
    CHECK(!decode_relay(encode(record)));
    std::vector<EndpointChange> const endpoints { { "a", endpoint("a") }, { "b", endpoint("b", true) } };
    CHECK(decode_endpoints(encode(endpoints)) == endpoints);
    BoxRecords const records { { "b1", std::string("\0\xff", 2) }, { "b2", "" } };
    CHECK(decode_box_records(encode(records)) == records);
}

TEST_CASE("answers with the same configuration share its bytes")
{
    ControlAnswer first;
    first.source = 1;
    first.configuration_version = 31;
    first.configuration = compressed(std::string(5000, 'a'));
    auto second = first;
    second.configuration_age = std::chrono::seconds(1);
    CHECK(encode(first).shared.get() == encode(second).shared.get());
    CHECK(encode(first).own.size() < 100);
}

TEST_CASE("a configuration from a box that does not compress it is accepted")
{
    cleatbeam::membership::ControlAnswer message;
    message.set_source(1);
    message.set_configuration_version(31);
    message.set_configuration("{}");
    auto const decoded = decode_answer(message.SerializeAsString());
    REQUIRE(decoded);
    CHECK(decoded->configuration == ConfigurationRecord { std::string("{}") });
}

TEST_CASE("a box that does not know compressed configurations sees a newer version without a record")
{
    ControlAnswer answer;
    answer.source = 1;
    answer.configuration_version = 31;
    answer.configuration = compressed("{}");
    auto const bytes = encode(answer).whole();
    cleatbeam::membership::ControlAnswer message;
    REQUIRE(message.ParseFromString(bytes));
    CHECK(message.configuration_version() == 31);
    // Such a box looks for the record in this field only and ignores the fields that it does not know.
    CHECK(!message.has_configuration());
    CHECK(message.has_compressed_configuration());
}

TEST_CASE("an answer whose compressed configuration has an impossible size is rejected")
{
    cleatbeam::membership::ControlAnswer message;
    message.set_source(1);
    message.set_configuration_version(31);
    message.set_compressed_configuration("abc");
    message.set_configuration_bytes(CompressedText::max_text_size);
    CHECK(!decode_answer(message.SerializeAsString()));
    auto const whole = encode(*decode_answer([] {
        cleatbeam::membership::ControlAnswer good;
        good.set_source(1);
        good.set_compressed_configuration("abc");
        good.set_configuration_bytes(3);
        return good.SerializeAsString();
    }()))
                           .whole();
    CHECK(!decode_answer(whole.substr(0, whole.size() - 1)));
}

TEST_CASE("bytes that are no message, and incomplete messages, are rejected")
{
    CHECK(!decode_answer("no message"));
    CHECK(!decode_answer(encode(ControlAnswer {}).whole()));
    CHECK(!decode_request("\xff\xff\xff"));
    CHECK(!decode_box("b1", ""));
    ControlAnswer broken;
    broken.source = 1;
    broken.endpoints.changes.push_back({ "a", Routing::EndpointRecord { "a", "s", {}, "", 1, false } });
    CHECK(!decode_answer(encode(broken).whole()));
}

TEST_CASE("invalid values of work and shares are replaced")
{
    ControlRequest request { 1, 1, 1, "b1", { { "pool", { -5, std::numeric_limits<double>::infinity() } } }, "a" };
    auto const decoded = decode_request(encode(request));
    REQUIRE(decoded);
    CHECK(decoded->work.at("pool") == Routing::WorkTotals { 0, 0 });
    ControlAnswer answer;
    answer.source = 1;
    answer.answer_shares = { { "pool", 7 } };
    CHECK(decode_answer(encode(answer).whole())->answer_shares.at("pool") == 1.0);
}

TEST_CASE("demand is added up over boxes with recent requests, each with its latest demand")
{
    DemandPool pool;
    auto const moment = [](int milliseconds) { return Instant { std::chrono::milliseconds(milliseconds) }; };
    pool.update("b1", { { "pool", { 100, 50 } } }, moment(0));
    pool.update("b2", { { "pool", { 10, 5 } }, { "other", { 1, 1 } } }, moment(1000));
    pool.update("b1", { { "pool", { 20, 30 } } }, moment(1500));
    CHECK(pool.totals(moment(1600)).at("pool") == Routing::WorkTotals { 30, 35 });
    auto const later = pool.totals(moment(4100));
    CHECK(later.at("pool") == Routing::WorkTotals { 20, 30 });
    CHECK(!later.contains("other"));
}

TEST_CASE("an invalid age becomes a large one")
{
    ControlAnswer answer;
    answer.source = 1;
    answer.endpoints_age = Duration::max();
    auto const decoded = decode_answer(encode(answer).whole());
    REQUIRE(decoded);
    CHECK(decoded->endpoints_age >= std::chrono::hours(1));
}

TEST_CASE("a request with overlong names or too many services is rejected")
{
    ControlRequest const usual { 1, 1, 1, std::string(256, 'b'), {}, "a" };
    CHECK(decode_request(encode(usual)) == usual);
    CHECK_FALSE(decode_request(encode(ControlRequest { 1, 1, 1, std::string(257, 'b'), {}, "a" })));
    CHECK_FALSE(decode_request(encode(ControlRequest { 1, 1, 1, "b", {}, std::string(10'000, 'a') })));
    ControlRequest many { 1, 1, 1, "b", {}, "a" };
    for (int service = 0; service <= 64; ++service)
        many.work["s" + std::to_string(service)] = { 1, 1 };
    CHECK_FALSE(decode_request(encode(many)));
}
