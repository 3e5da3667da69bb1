#include <TestMain.h>

#include "ScriptedStore.h"

using namespace Scripted;

TEST_CASE("a box that catches up applies the last version, or an earlier one if the last can't be read")
{
    auto const page = bytes_of(3, 8) + bytes_of(0, 8) + record("config", configuration(4))
        + record("config", configuration(9)) + record("config", "{broken");
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        bool const is_first = target.find("from=0") != std::string::npos;
        return Answer { 200, is_first ? page : bytes_of(3, 8) + bytes_of(0, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() != 0; }));
    CHECK(box.version() == 9);
    auto const text = box.state.metrics.to_text();
    CHECK(text.find("cleatbeam_bad_records_total{kind=\"configuration\"} 1") != std::string::npos);
}

TEST_CASE("the newest records are read anew when the store has discarded the next ones")
{
    bool is_gone = true;
    int newest_reads = 0;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest")) {
            ++newest_reads;
            // Base64 of {"version":2,...} and {"version":3,...}.
            auto const* const value = newest_reads == 1 ? "eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"
                                                        : "eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119";
            return Answer { 200,
                std::string(R"({"items":[{"tls_key":"config","value":")") + value
                    + R"("}],"truncated":false,"end":7})" };
        }
        if (std::exchange(is_gone, false))
            return Answer { 410, R"({"first":7})" };
        return Answer { 200, bytes_of(7, 8) + bytes_of(7, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 3; }));
    CHECK(newest_reads == 2);
}

TEST_CASE("after a lost answer the same offset is requested again on a new connection")
{
    int calls = 0;
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        ++calls;
        if (calls == 1)
            return std::nullopt;
        if (calls == 2)
            return Answer { 503, "{}" };
        return Answer { 200, bytes_of(1, 8) + bytes_of(0, 8) + record("config", configuration(5)) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 5; }));
    REQUIRE(box.store.targets.size() >= 4);
    CHECK(box.store.targets[1] == box.store.targets[2]);
    CHECK(box.store.targets[2] == box.store.targets[3]);
}

TEST_CASE("endpoints are added and removed with their records, and a malformed record affects no other")
{
    bool is_second_page = false;
    std::string const good
        = R"({"service":"s","address":"10.0.0.1:80","zone":"","version":"v1","slots":4,"cold_left_ms":0,"call_seq":1,"state":"ready"})";
    Follower box(Adapter::Topic::Endpoints, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, nothing_newest };
        if (target.find("from=0") != std::string::npos)
            return Answer { 200,
                bytes_of(3, 8) + bytes_of(0, 8) + record("a", good) + record("b", R"({"service":"s"})")
                    + record("c", good) };
        if (target.find("from=3") != std::string::npos && is_second_page)
            return Answer { 200, bytes_of(4, 8) + bytes_of(0, 8) + record("a", "") };
        return Answer { 200, bytes_of(4, 8) + bytes_of(0, 8) };
    });
    REQUIRE(run_until(box.context, [&] { return box.state.router.endpoint_count() == 2; }));
    is_second_page = true;
    CHECK(run_until(box.context, [&] { return box.state.router.endpoint_count() == 1; }));
    CHECK(box.state.metrics.to_text().find("cleatbeam_bad_records_total{kind=\"endpoint\"} 1") != std::string::npos);
}

TEST_CASE("a box without records reads the store before it knows whether there is a relay, and then pauses")
{
    auto const script = [](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200,
                R"({"items":[{"tls_key":"config","value":"eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"}],)"
                R"("truncated":false,"end":7})" };
        return Answer { 200, bytes_of(7, 8) + bytes_of(7, 8) };
    };
    Follower box(Adapter::Topic::Operator, script, false);
    REQUIRE(run_until(box.context, [&] { return box.version() == 2; }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 20; }));
    CHECK(box.store.targets.size() == 1);
}

namespace {

/// A page with one version that ends before the end of the log.
std::string page(std::uint64_t end, int version)
{
    return bytes_of(end, 8) + bytes_of(0, 8) + record("config", configuration(version));
}

}

// Guards against a confirmation by an incomplete page, after which a revoked key is still honoured and a new route is
// refused with 404. Two versions of half a megabyte are written; a page is limited to a megabyte, so it contains only
// the first, and the store falls silent before the second is read. Such a page must not renew the lease.
TEST_CASE("a page that ends before the end of the log does not confirm the configuration")
{
    auto const began = Core::monotonic_now();
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, version_2 };
        if (target.find("from=7") == std::string::npos)
            return Answer { 200, page(9, 4), 1, Core::Duration { 0 }, 0 };
        if (Core::monotonic_now() - began < std::chrono::milliseconds(400))
            return std::nullopt;
        return Answer { 200, page(9, 3) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2; }));
    auto const confirmed = Core::monotonic_now();
    REQUIRE(run_until(box.context, [&] { return box.version() == 3; }));
    auto const now = Core::monotonic_now();
    CHECK(box.state.router.configuration_age(now) >= now - confirmed);
}

// Guards against a box that keeps running on an old version while changes come faster than its link transfers them. The
// box must not read all versions one after another.
TEST_CASE("a box with a narrow link skips outdated versions")
{
    auto const began = Core::monotonic_now();
    auto const newest = [&] {
        return std::min(3 + static_cast<int>((Core::monotonic_now() - began) / std::chrono::milliseconds(50)), 43);
    };
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, newest_answer(static_cast<std::uint64_t>(newest()) + 5, newest()), 4,
                std::chrono::milliseconds(25) };
        auto const from = std::stoi(target.substr(target.find("from=") + 5));
        auto const end = static_cast<std::uint64_t>(newest()) + 5;
        if (static_cast<std::uint64_t>(from) >= end)
            return Answer { 200, bytes_of(end, 8) + bytes_of(0, 8) };
        return Answer { 200, page(end, from - 4), 4, std::chrono::milliseconds(25) };
    });
    REQUIRE(run_until(box.context, [&] { return newest() == 43; }));
    CHECK(box.version() > 35);
}

TEST_CASE("a new store address is used although the old one still answers")
{
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, version_2 };
        return Answer { 200, bytes_of(7, 8) + bytes_of(0, 8) };
    });
    FakeStore moved(box.context, [&](std::string const&) -> std::optional<Answer> {
        return Answer { 200, page(8, 3) };
    });
    REQUIRE(run_until(box.context, [&] { return box.version() == 2 && box.store.targets.size() > 3; }));
    box.follower.set_address(moved.address());
    auto const changed_at = Core::monotonic_now();
    REQUIRE(run_until(box.context,
        [&] { return !moved.targets.empty() || Core::monotonic_now() - changed_at > std::chrono::seconds(2); }));
    CHECK_FALSE(moved.targets.empty());
}

TEST_CASE("a follower that is stopped during an answer sends no more requests")
{
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        if (begins_with(target, "/log-newest"))
            return Answer { 200, version_2 };
        return Answer { 200, page(8, 3), 8, std::chrono::milliseconds(100) };
    });
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() == 2; }));
    box.follower.stop();
    auto const stopped = Core::monotonic_now();
    REQUIRE(run_until(box.context, [&] { return Core::monotonic_now() - stopped > std::chrono::milliseconds(1500); }));
    CHECK(box.store.targets.size() == 2);
    CHECK(box.version() == 2);
}

TEST_CASE("an empty page before the end of the log is requested again only after the pause")
{
    constexpr StoreFollower::Pace rare { std::chrono::milliseconds(0), std::chrono::milliseconds(200) };
    Follower box(
        Adapter::Topic::Endpoints,
        [&](std::string const& target) -> std::optional<Answer> {
            if (begins_with(target, "/log-newest"))
                return Answer { 200, nothing_newest };
            return Answer { 200, bytes_of(5, 8) + bytes_of(0, 8) };
        },
        true, rare);
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() >= 2; }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 600; }));
    // Three or four calls with the pause in 0.6 s, and one every 40 ms without it.
    CHECK(box.store.targets.size() <= 8);
}

// Guards against two followers that both retry an unreachable store, which causes thousands of calls during an outage
// in a deployment of hundreds of boxes.
TEST_CASE(
    "one of many boxes retries an unreachable store for its endpoints only, and reads the configuration afterwards")
{
    bool is_store_lost = false;
    bool is_configuration_lost = false;
    std::size_t configuration_calls = 0;
    std::size_t endpoint_calls = 0;
    Answer const refusal { 503, "{}" };
    Follower box(Adapter::Topic::Operator, [&](std::string const& target) -> std::optional<Answer> {
        ++configuration_calls;
        if (is_store_lost || is_configuration_lost)
            return refusal;
        return begins_with(target, "/log-newest") ? Answer { 200, version_2 } : Answer { 200, page(8, 3) };
    });
    FakeStore endpoints_store(box.context, [&](std::string const& target) -> std::optional<Answer> {
        ++endpoint_calls;
        if (is_store_lost)
            return refusal;
        bool const is_newest = begins_with(target, "/log-newest");
        return Answer { 200, is_newest ? nothing_newest : bytes_of(0, 8) + bytes_of(0, 8) };
    });
    StoreFollower endpoints(box.state, box.records, box.source, endpoints_store.address(), Adapter::Topic::Endpoints,
        { Follower::at_once, Follower::at_once }, [&] { box.follower.wake(); });
    box.follower.defer_retries_to(endpoints);
    std::vector<Membership::BoxRecord> boxes { { "box", { "127.0.0.1", 1 }, "domain", 1 } };
    for (int number = 0; number < 19; ++number)
        boxes.push_back({ "wide-" + std::to_string(number), { "127.0.0.1", 1 }, "domain", 1000 });
    box.source.update_boxes(boxes, Core::monotonic_now());
    REQUIRE(box.source.retries_one_topic(Core::monotonic_now()));
    asio::co_spawn(
        box.context, [&] { return endpoints.run(); }, asio::detached);
    REQUIRE(run_until(box.context, [&] { return box.version() == 3 && endpoint_calls > 1; }));

    SUBCASE("the store is unreachable")
    {
        is_store_lost = true;
        configuration_calls = 0;
        endpoint_calls = 0;
        REQUIRE(run_until(box.context, [&] { return endpoint_calls == 4; }));
        CHECK(configuration_calls <= 2);
        is_store_lost = false;
        auto const before = configuration_calls;
        REQUIRE(run_until(box.context, [&] { return configuration_calls > before; }));
        CHECK(endpoint_calls > 4);
    }
    SUBCASE("only the configuration is refused")
    {
        is_configuration_lost = true;
        configuration_calls = 0;
        REQUIRE(run_until(box.context, [&] { return configuration_calls == 4; }));
    }
    box.follower.stop();
    endpoints.stop();
}

namespace {

/// The first page of endpoints, with one entry and this key at its end.
std::string first_page(std::string const& last_key)
{
    return R"({"items":[{"tls_key":")" + last_key + R"(","value":"e30="}],"truncated":true,"end":7})";
}

}

// Guards against a store that is asked without end, by a box that never has a list.
TEST_CASE("pages that don't move on end the reading of a list, and the store is asked again after a pause")
{
    constexpr StoreFollower::Pace rare { std::chrono::milliseconds(0), std::chrono::milliseconds(200) };
    Follower box(
        Adapter::Topic::Endpoints,
        [&](std::string const&) {
            return Answer { 200, first_page("a") };
        },
        true, rare);
    REQUIRE(run_until(box.context, [&] { return box.store.targets.size() >= 2; }));
    int rounds = 0;
    REQUIRE(run_until(box.context, [&] { return ++rounds > 300; }));
    CHECK(box.store.targets.size() <= 20);
    CHECK(box.state.metrics.to_text().find("cleatbeam_bad_records_total{kind=\"newest\"}") != std::string::npos);
    box.follower.stop();
}

// Guards against a box that exceeds its memory with what other writers left in the list of endpoints.
TEST_CASE("records of other writers don't use up the memory for a list")
{
    constexpr int long_records = 30;
    std::string const megabyte((1024 * 1024 / 3) * 4, 'A');
    int page = 0;
    Follower box(Adapter::Topic::Endpoints, [&](std::string const& target) -> std::optional<Answer> {
        if (!begins_with(target, "/log-newest"))
            return Answer { 200, bytes_of(7, 8) + bytes_of(0, 8) };
        bool const is_last = ++page == long_records;
        return Answer { 200,
            R"({"items":[{"tls_key":"k)" + std::to_string(page) + R"(","value":")" + megabyte + R"("}],"truncated":)"
                + (is_last ? "false" : "true") + R"(,"end":7})" };
    });
    REQUIRE(run_until(box.context, [&] { return box.records.was_read(Adapter::Topic::Endpoints); }));
    CHECK(page == long_records);
    box.follower.stop();
}
