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
    journal.put(endpoint("a"));
    auto const revision = journal.revision();
    journal.put(endpoint("a"));
    CHECK(journal.changes_since(revision).changes.empty());
    journal.put(endpoint("a", true));
    auto const changes = journal.changes_since(revision);
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].record->draining);
}

TEST_CASE("the time for which an endpoint stays cold is a change only when it does not just pass")
{
    auto const cold_for = [](int seconds) {
        auto record = endpoint("a");
        record.cold_left = std::chrono::seconds(seconds);
        return record;
    };
    EndpointJournal journal;
    journal.put(cold_for(9));
    auto revision = journal.revision();
    journal.put(cold_for(7));
    CHECK(journal.changes_since(revision).changes.empty());
    CHECK(journal.changes_since(0).changes.at(0).record->cold_left == std::chrono::seconds(7));
    journal.put(cold_for(8));
    CHECK(journal.changes_since(revision).changes.size() == 1);
    revision = journal.revision();
    journal.put(cold_for(0));
    CHECK(journal.changes_since(revision).changes.size() == 1);
}

TEST_CASE("a follower of changes has the same list, however often and late it polls")
{
    pcg32 random(7);
    EndpointJournal journal;
    std::map<std::string, Routing::EndpointRecord> truth;
    std::vector<Follower> followers(3);
    for (int step = 0; step < 5000; ++step) {
        auto const name = "e" + std::to_string(random(400));
        switch (random(8)) {
        case 0:
        case 1:
            journal.remove(name);
            truth.erase(name);
            break;
        case 2:
            if (random(50) == 0) {
                truth = { { name, endpoint(name) } };
                journal.replace_all({ endpoint(name) });
            }
            break;
        default:
            bool const is_draining = random(4) == 0;
            journal.put(endpoint(name, is_draining));
            truth.insert_or_assign(name, endpoint(name, is_draining));
            break;
        }
        // NOTE: The last follower polls so rarely that the journal has discarded removals meanwhile.
        if (random(3) == 0)
            followers[0].poll(journal);
        if (random(40) == 0)
            followers[1].poll(journal);
        if (random(1500) == 0)
            followers[2].poll(journal);
    }
    for (auto& follower : followers) {
        follower.poll(journal);
        CHECK(follower.known == truth);
    }
}

TEST_CASE("a revision that the journal never had returns the whole list")
{
    EndpointJournal journal;
    journal.put(endpoint("a"));
    CHECK(journal.changes_since(99).is_whole);
    CHECK(journal.changes_since(0).is_whole);
    CHECK(!journal.changes_since(journal.revision()).is_whole);
}

TEST_CASE("messages between boxes are decoded as they were encoded")
{
    ControlRequest const request { 77, 5, 9, "b1", { { "pool", { 12.5, 3 } } }, "a" };
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
    answer.endpoints.changes[0].record->cold_left = std::chrono::milliseconds(1500);
    CHECK(decode_answer(encode(answer).whole()) == answer);
    answer.configuration.reset();
    answer.evacuated_domains.reset();
    CHECK(decode_answer(encode(answer).whole()) == answer);
    BoxRecord const record { "b1", { "10.0.0.9", 7340 }, "hall", 25'000'000 };
    CHECK(decode_box("b1", encode(record)) == record);
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
