#include <TestMain.h>

#include "ScriptedStore.h"

/// Guards against revoked keys that work again, requests to endpoints that have left, and configurations that nobody
/// wrote. After an outage the store is restored from a copy that is some seconds old, and assigns offsets again that it
/// has assigned before. An offset must not be used in another era of the store.
using namespace Scripted;

namespace {

std::string era(int number)
{
    return "Store-Era: " + std::to_string(number) + "\r\n";
}

Answer answer_of(int era_number, std::string body, unsigned status = 200)
{
    Answer answer { status, std::move(body) };
    answer.headers = era(era_number);
    return answer;
}

std::string nothing_new(std::uint64_t end)
{
    return bytes_of(end, 8) + bytes_of(0, 8);
}

bool reads_from(std::string const& target, int offset)
{
    return target.find("from=" + std::to_string(offset) + "&") != std::string::npos
        || target.ends_with("from=" + std::to_string(offset));
}

std::string const ready_entry
    = R"({"service":"s","address":"10.0.0.1:80","zone":"","version":"v1","slots":4,"cold_left_ms":0,"call_seq":1,"state":"ready"})";
std::string const draining_entry
    = R"({"service":"s","address":"10.0.0.1:80","zone":"","version":"v1","slots":4,"cold_left_ms":0,"call_seq":2,"state":"draining"})";

std::string base64(std::string const& text)
{
    std::string value(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    value.resize(boost::beast::detail::base64::encode(value.data(), text.data(), text.size()));
    return value;
}

std::string list_of(std::map<std::string, std::string> const& entries, std::uint64_t end)
{
    std::string items;
    for (auto const& [key, entry] : entries)
        items += (items.empty() ? "" : ",") + std::string(R"({"tls_key":")") + key + R"(","value":")" + base64(entry)
            + R"("})";
    return R"({"items":[)" + items + R"(],"truncated":false,"end":)" + std::to_string(end) + "}";
}

}

TEST_CASE("reading is not resumed at an offset that now holds another record")
{
    bool is_restored = false;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return is_restored ? answer_of(2, newest_answer(7, 6)) : answer_of(1, version_2);
        // The log ends at 7 again, with version 6 as its newest record: nothing follows the box's offset.
        return is_restored ? answer_of(2, nothing_new(7)) : answer_of(1, nothing_new(7));
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2; }));
    is_restored = true;
    CHECK(run_until(box.context, [&] { return box.version() == 6; }));
}

TEST_CASE("a version that the older copy lacks stays in force, and the version in the copy renews no lease")
{
    bool is_restored = false;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return is_restored ? answer_of(2, newest_answer(5, 1)) : answer_of(1, version_2);
        return is_restored ? answer_of(2, nothing_new(5)) : answer_of(1, nothing_new(7));
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2 && box.store.targets.size() > 3; }));
    is_restored = true;
    auto const restored_at = Core::monotonic_now();
    auto const calls = box.store.targets.size();
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() > calls + 20; }));
    CHECK(box.version() == 2);
    CHECK(Core::monotonic_now() - box.state.router.configuration_age(Core::monotonic_now()) <= restored_at);
}

TEST_CASE("a configuration that is rewritten after the restore renews the lease at once")
{
    bool is_restored = false;
    bool is_written_again = false;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return is_restored ? answer_of(2, newest_answer(5, 1)) : answer_of(1, version_2);
        if (!is_restored)
            return answer_of(1, nothing_new(7));
        if (!is_written_again || !reads_from(target, 5))
            return answer_of(2, nothing_new(is_written_again ? 6 : 5));
        return answer_of(2, nothing_new(6) + record("config", configuration(2)));
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2 && box.store.targets.size() > 3; }));
    is_restored = true;
    auto const calls = box.store.targets.size();
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() > calls + 10; }));
    is_written_again = true;
    auto const written_at = Core::monotonic_now();
    CHECK(run_until(box.context, [&] {
        auto const now = Core::monotonic_now();
        return now - box.state.router.configuration_age(now) > written_at;
    }));
    CHECK(box.version() == 2);
}

TEST_CASE("an endpoint whose departure was lost with the restore is not used until it writes again")
{
    bool is_restored = false;
    bool is_written_again = false;
    Follower box(Adapter::Topic::Endpoints, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return is_restored ? answer_of(2, list_of({ { "a", ready_entry }, { "b", ready_entry } }, 4))
                               : answer_of(1, list_of({ { "a", ready_entry }, { "b", ready_entry } }, 2));
        if (!is_restored && reads_from(target, 2))
            return answer_of(1, nothing_new(4) + record("a", draining_entry) + record("b", ""));
        if (!is_restored)
            return answer_of(1, nothing_new(4));
        if (is_written_again && reads_from(target, 4))
            return answer_of(2, nothing_new(5) + record("b", ready_entry));
        return answer_of(2, nothing_new(is_written_again ? 5 : 4));
    });
    auto const usable = [&] { return box.state.router.usable_endpoints("s", Core::monotonic_now()); };
    REQUIRE(run_until(box.context, [&] { return usable() == 2; }));
    REQUIRE(run_until(box.context, [&] { return usable() == 0; }));
    is_restored = true;
    auto const calls = box.store.targets.size();
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() > calls + 10; }));
    CHECK(usable() == 0);
    is_written_again = true;
    CHECK(run_until(box.context, [&] { return usable() == 1; }));
}

TEST_CASE("a list whose pages are of two eras is read anew")
{
    int reads = 0;
    Follower box(Adapter::Topic::Endpoints, [&](std::string const& target) -> std::optional<Answer> {
        if (!begins_with(target, "/log-newest"))
            return answer_of(2, nothing_new(9));
        ++reads;
        auto first = list_of({ { "a", ready_entry } }, 9);
        first.replace(first.find("false"), 5, "true");
        if (reads == 1)
            return answer_of(1, first);
        return answer_of(2, list_of({ { "b", ready_entry } }, 9));
    });
    REQUIRE(run_until(box.context, [&] { return box.records.next(Adapter::Topic::Endpoints).has_value(); }));
    CHECK(reads >= 3);
    CHECK(box.state.router.endpoint_count() == 1);
}

namespace {

/// A box's records, without a store or other boxes.
struct Box {
    explicit Box(std::uint64_t source)
        : state(this->context, Routing::RouterSettings {}, 1)
        , records(this->state, "b" + std::to_string(source), "a")
    {
    }

    /// Reads both topics completely, in this era of the store.
    void read(std::uint64_t era_read, int version, Core::Instant asked_at)
    {
        REQUIRE(this->records.observe_era(era_read, {}, asked_at));
        this->records.set_next(Adapter::Topic::Operator, 10);
        this->records.set_next(Adapter::Topic::Endpoints, 20);
        this->records.apply_operator_records({ { "config", configuration(version) } }, asked_at, Coverage::WholeList);
        this->records.apply_endpoint_records({}, asked_at, Coverage::WholeList);
    }

    [[nodiscard]] std::uint64_t version() const { return this->state.router.configuration()->version(); }

    asio::io_context context;
    GatewayState state;
    ControlRecords records;
};

}

TEST_CASE("a box that starts before the configuration is rewritten respects the version that other boxes report")
{
    auto const now = Core::monotonic_now();
    Box running(1);
    running.read(1, 7, now);
    REQUIRE(running.records.observe_era(2, {}, now));
    Box started(2);
    started.read(2, 5, now);
    started.records.apply_store_versions(running.records.store_versions(now), now);
    CHECK(started.version() == 5);
    // The missing version may allow what the older copy forbids.
    CHECK(started.state.router.configuration_freshness(now) == Routing::ConfigurationFreshness::Aging);
    auto const later = now + std::chrono::milliseconds(2500);
    CHECK(started.state.router.configuration_freshness(later) == Routing::ConfigurationFreshness::Expired);
}

TEST_CASE("a relay's answers belong to the earlier era until it has read both topics anew")
{
    auto const now = Core::monotonic_now();
    Box relay(1);
    relay.read(1, 7, now);
    REQUIRE(relay.records.observe_era(2, {}, now));
    auto const before = relay.records.answer({}, 1'000'000, now);
    REQUIRE(before);
    CHECK(before->store_era == 1);
    Box requester(2);
    requester.read(2, 7, now);
    CHECK_FALSE(requester.records.observe_era(before->store_era, {}, now));
    relay.records.set_next(Adapter::Topic::Operator, 4);
    CHECK(relay.records.answer({}, 1'000'000, now)->store_era == 1);
    relay.records.set_next(Adapter::Topic::Endpoints, 4);
    auto const after = relay.records.answer({}, 1'000'000, now);
    CHECK(after->store_era == 2);
    CHECK(after->store_era_began_ago.has_value());
}

TEST_CASE("offsets of before the restore are discarded")
{
    auto const now = Core::monotonic_now();
    Box box(1);
    box.read(1, 7, now);
    REQUIRE(box.records.next(Adapter::Topic::Operator));
    REQUIRE(box.records.observe_era(2, {}, now));
    CHECK_FALSE(box.records.next(Adapter::Topic::Operator));
    CHECK_FALSE(box.records.next(Adapter::Topic::Endpoints));
    CHECK(box.records.was_read(Adapter::Topic::Operator));
}
