#include <TestMain.h>

#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateLimit one_per_second { 1 };

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

Route route_of(std::string prefix, unsigned priority)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = std::move(prefix);
    route.kind = RouteKind::Idempotent;
    route.timeout = seconds(3);
    route.priority = priority;
    route.services = { { "desk", 1 } };
    route.max_attempts = 2;
    return route;
}

/// A box before two endpoints of a service, with an urgent and a less urgent route.
struct Site {
    Site()
    {
        this->router.offer_configuration(configuration(), at(seconds(0)));
        this->router.put_endpoint(record("a"));
        this->router.put_endpoint(record("b"));
    }

    static SharedConfiguration configuration()
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_of("/urgent/", 0), route_of("/later/", 2) };
        contents.services = { { "desk", 96, {} } };
        return std::make_shared<ConfigurationSnapshot const>(std::move(contents));
    }

    static EndpointRecord record(std::string const& name, std::uint64_t started_at = 0)
    {
        return { name, "desk", { "10.0.0.1", 80 }, "hall", 6, false, started_at };
    }

    std::variant<Placed, Rejected> place(std::string const& path, Instant now)
    {
        RequestHead const head { "attempt", "h", path + "x", "", seconds(1), {} };
        auto const admitted = std::get<Admitted>(this->router.admit(head, now));
        return this->router.place(admitted, {}, {}, now);
    }

    /// Where the request goes; empty if it is refused.
    std::string endpoint_for(std::string const& path, Instant now)
    {
        auto const decision = this->place(path, now);
        auto const* const placed = std::get_if<Placed>(&decision);
        return placed ? placed->endpoint.incarnation : "";
    }

    bool limit(std::string const& name, std::uint64_t version, RateLimit limit, std::uint64_t started_at = 0)
    {
        return this->router.take_notice({ { name, started_at }, version, { limit }, at(seconds(0)) }, at(seconds(0)));
    }

    RequestRouter router { { "hall", { seconds(20), seconds(50) }, {}, {} }, 7 };
};

/// Requests of a hundred, one each 10 ms, that go to the endpoint.
int sent_in_a_second(Site& site, std::string const& name, Instant from)
{
    int sent = 0;
    for (int number = 0; number < 100; ++number)
        sent += site.endpoint_for("/urgent/", from + milliseconds(10 * number)) == name ? 1 : 0;
    return sent;
}

}

TEST_CASE("an endpoint that named a limit gets what it takes, and the others get the rest")
{
    Site site;
    REQUIRE(site.limit("a", 1, one_per_second));
    int sent = 0;
    for (int second = 0; second < 4; ++second)
        sent += sent_in_a_second(site, "a", at(seconds(second)));
    CHECK(sent >= 2);
    CHECK(sent <= 4);
    CHECK(site.endpoint_for("/urgent/", at(seconds(4))) != "");
}

TEST_CASE(
    "where all endpoints are at their limit the urgent go first, and refused callers come back at different times")
{
    Site site;
    site.limit("a", 1, { 10 });
    site.limit("b", 1, { 10 });
    int urgent = 0;
    int later = 0;
    std::set<Duration> come_back;
    for (int number = 0; number < 400; ++number) {
        auto const now = at(milliseconds(10 * number));
        urgent += site.endpoint_for("/urgent/", now).empty() ? 0 : 1;
        auto const decision = site.place("/later/", now);
        auto const* const rejected = std::get_if<Rejected>(&decision);
        later += rejected ? 0 : 1;
        if (rejected) {
            CHECK(rejected->reason == Reason::EndpointsAtLimit);
            REQUIRE(rejected->retry_after);
            CHECK(*rejected->retry_after >= milliseconds(500));
            come_back.insert(*rejected->retry_after);
        }
    }
    CHECK(urgent >= 4 * later);
    CHECK(urgent + later >= 60);
    CHECK(come_back.size() > 50);
}

TEST_CASE("a request that was placed before the limit was known is counted before it is sent")
{
    Site site;
    std::vector<Placed> placed;
    while (placed.size() < 5) {
        auto const decision = site.place("/urgent/", at(seconds(0)));
        auto const& choice = std::get<Placed>(decision);
        if (choice.endpoint.incarnation == "a")
            placed.push_back(choice);
        site.router.attempt_started(
            std::get<Admitted>(site.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, at(seconds(0)))), {},
            choice.choice, at(seconds(0)));
    }
    site.limit("a", 1, one_per_second);
    int sent = 0;
    for (auto const& choice : placed)
        sent += site.router.may_send(choice, at(milliseconds(5))) ? 1 : 0;
    CHECK(sent <= 1);
}

TEST_CASE("an endpoint that says that it leaves gets nothing, at boxes that were told too")
{
    Site site;
    auto const placed = std::get<Placed>(site.place("/urgent/", at(seconds(0))));
    auto const& name = placed.endpoint.incarnation;
    std::string const other = name == "a" ? "b" : "a";
    auto const notice = site.router.note_answer(placed, { RateLimit {}, true }, at(seconds(0)), at(seconds(1))).notice;
    REQUIRE(notice);
    CHECK(notice->condition.is_draining);
    CHECK_FALSE(site.router.may_receive(placed.choice.endpoint, at(seconds(1))));
    CHECK_FALSE(site.router.may_send(placed, at(seconds(1))));
    CHECK(site.router.usable_endpoints("desk", at(seconds(1))) == 1);
    CHECK(site.router.usable_records("desk", at(seconds(1))).size() == 1);
    for (int number = 0; number < 20; ++number)
        CHECK(site.endpoint_for("/urgent/", at(seconds(2))) == other);

    Site told;
    CHECK(told.router.take_notice(*notice, at(seconds(1))));
    CHECK_FALSE(told.router.take_notice(*notice, at(seconds(1))));
    for (int number = 0; number < 20; ++number)
        CHECK(told.endpoint_for("/urgent/", at(seconds(2))) == other);
}

/// A box that was told that endpoint "a" leaves, at second 10, while the list could be read.
struct SiteWithDraining : Site {
    SiteWithDraining()
    {
        this->read_list(seconds(0), seconds(10));
        REQUIRE(this->router.take_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(10)) }, at(seconds(10))));
        REQUIRE(this->usable(seconds(10)) == 1);
    }

    void read_list(Duration from, Duration until)
    {
        for (auto moment = from; moment <= until; moment += milliseconds(500))
            this->router.endpoints_confirmed(at(moment));
    }

    [[nodiscard]] std::size_t usable(Duration moment) const
    {
        return this->router.usable_endpoints("desk", at(moment));
    }
};

TEST_CASE("an endpoint that came back under its id is used again, with or without a life in its entry")
{
    SUBCASE("its entry went in between")
    {
        SiteWithDraining site;
        site.router.remove_endpoint("a", at(seconds(13)));
        static_cast<void>(site.router.expire_endpoints(at(seconds(13))));
        site.router.put_endpoint(Site::record("a"));
        CHECK(site.usable(seconds(14)) == 2);
        // Late word of the process before.
        CHECK_FALSE(site.router.take_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(11)) }, at(seconds(14))));
        CHECK(site.usable(seconds(14)) == 2);
        // The new one leaves too.
        CHECK(site.router.take_notice({ { "a", 0 }, 1, { {}, true }, at(seconds(20)) }, at(seconds(20))));
        CHECK(site.usable(seconds(20)) == 1);
    }
    SUBCASE("its entry tells another life")
    {
        SiteWithDraining site;
        site.router.put_endpoint(Site::record("a", 1000));
        CHECK(site.usable(seconds(10)) == 1);
        site.router.put_endpoint(Site::record("a", 2000));
        static_cast<void>(site.router.expire_endpoints(at(seconds(14))));
        CHECK(site.usable(seconds(14)) == 2);
        CHECK_FALSE(site.router.take_notice({ { "a", 1000 }, 3, { {}, true }, at(seconds(14)) }, at(seconds(14))));
        CHECK(site.usable(seconds(14)) == 2);
    }
    SUBCASE("at another address")
    {
        SiteWithDraining site;
        auto moved = Site::record("a");
        moved.address.port = 81;
        site.router.put_endpoint(moved);
        static_cast<void>(site.router.expire_endpoints(at(seconds(14))));
        CHECK(site.usable(seconds(14)) == 2);
    }
    SUBCASE("its entry never went: the list has it as usual for long enough")
    {
        SiteWithDraining site;
        site.read_list(seconds(10), seconds(24));
        CHECK(site.usable(seconds(24)) == 1);
        site.read_list(seconds(24), seconds(26));
        CHECK(site.usable(seconds(26)) == 2);
    }
}

TEST_CASE("an endpoint that leaves is not used again for time that passes while the list can't be read")
{
    SUBCASE("the store is away")
    {
        SiteWithDraining site;
        CHECK(site.usable(seconds(100)) == 1);
        site.read_list(seconds(100), seconds(110));
        CHECK(site.usable(seconds(110)) == 1);
        site.read_list(seconds(110), seconds(116));
        CHECK(site.usable(seconds(116)) == 2);
    }
    SUBCASE("the store came back from a copy")
    {
        SiteWithDraining site;
        site.read_list(seconds(10), seconds(20));
        site.router.endpoints_in_doubt();
        site.read_list(seconds(20), seconds(30));
        CHECK(site.usable(seconds(30)) == 1);
    }
    SUBCASE("its entry says so meanwhile")
    {
        SiteWithDraining site;
        auto leaving = Site::record("a");
        leaving.draining = true;
        site.router.put_endpoint(leaving);
        site.read_list(seconds(10), seconds(40));
        CHECK(site.usable(seconds(40)) == 1);
    }
}

TEST_CASE("an endpoint that says again that it leaves is left alone again, and the others are told anew")
{
    SiteWithDraining site;
    site.read_list(seconds(10), seconds(26));
    REQUIRE(site.usable(seconds(26)) == 2);
    std::optional<Placed> at_leaving;
    while (!at_leaving) {
        auto const placed = std::get<Placed>(site.place("/urgent/", at(seconds(26))));
        if (placed.endpoint.incarnation == "a")
            at_leaving = placed;
        site.router.attempt_started(
            std::get<Admitted>(site.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, at(seconds(26)))), {},
            placed.choice, at(seconds(26)));
    }
    auto const notice
        = site.router.note_answer(*at_leaving, { RateLimit {}, true }, at(seconds(26)), at(seconds(27))).notice;
    REQUIRE(notice);
    CHECK(notice->version == 2);
    CHECK(site.usable(seconds(27)) == 1);
}

TEST_CASE("another process under the endpoint's id has no limit of the one before")
{
    Site site;
    site.router.put_endpoint(Site::record("a", 1000));
    REQUIRE(site.limit("a", 4, one_per_second, 1000));
    CHECK(site.router.limited_endpoints() == 1);
    site.router.put_endpoint(Site::record("a", 2000));
    static_cast<void>(site.router.expire_endpoints(at(seconds(1))));
    CHECK(site.router.limited_endpoints() == 0);
    CHECK_FALSE(site.limit("a", 9, one_per_second, 1000));
    CHECK_FALSE(site.limit("gone", 1, one_per_second));
    CHECK(site.router.limited_endpoints() == 0);
}

TEST_CASE("an answer that comes after its endpoint was forgotten says nothing of another one")
{
    Site site;
    auto const placed = std::get<Placed>(site.place("/urgent/", at(seconds(0))));
    site.router.remove_endpoint(placed.endpoint.incarnation, at(seconds(1)));
    static_cast<void>(site.router.expire_endpoints(at(seconds(1))));
    CHECK_FALSE(site.router.note_answer(placed, { one_per_second, false }, at(seconds(0)), at(seconds(2))).notice);
    site.router.put_endpoint(placed.endpoint);
    CHECK(site.router.limited_endpoints() == 0);
}

namespace {

/// Sends until the endpoint is chosen, and has it turn a request away for three seconds.
void have_backoff(Site& site, std::string const& name, Instant now)
{
    for (int number = 0; number < 100; ++number) {
        auto const decision = site.place("/urgent/", now);
        auto const* const placed = std::get_if<Placed>(&decision);
        REQUIRE(placed != nullptr);
        if (placed->endpoint.incarnation == name) {
            auto const news = site.router.note_answer(*placed, { RateLimit {}, false, false, seconds(3) }, now, now);
            CHECK(news.backoff_began);
            CHECK_FALSE(news.notice);
            CHECK_FALSE(site.router.may_send(*placed, now));
            return;
        }
        site.router.attempt_started(
            std::get<Admitted>(site.router.admit({ "x", "h", "/urgent/x", "", seconds(1), {} }, now)), {},
            placed->choice, now);
    }
    FAIL("the endpoint is never chosen");
}

}

TEST_CASE("an endpoint that said when to come back gets nothing until then, the others get all")
{
    Site site;
    have_backoff(site, "a", at(seconds(0)));
    for (int number = 0; number < 50; ++number)
        CHECK(site.endpoint_for("/urgent/", at(milliseconds(50 * number))) == "b");
    bool is_tried = false;
    for (int number = 0; number < 100; ++number)
        is_tried |= site.endpoint_for("/urgent/", at(seconds(3) + milliseconds(10 * number))) == "a";
    CHECK(is_tried);
}

TEST_CASE("what an endpoint said is kept where no other is left, and callers are told when it is over")
{
    Site site;
    have_backoff(site, "a", at(seconds(0)));
    have_backoff(site, "b", at(seconds(1)));
    std::set<Duration> come_back;
    for (int number = 0; number < 50; ++number) {
        auto const decision = site.place("/urgent/", at(seconds(2)));
        auto const* const rejected = std::get_if<Rejected>(&decision);
        REQUIRE(rejected != nullptr);
        CHECK(rejected->reason == Reason::EndpointsBackedOff);
        REQUIRE(rejected->retry_after);
        CHECK(*rejected->retry_after >= seconds(1));
        come_back.insert(*rejected->retry_after);
    }
    CHECK(come_back.size() > 20);
    CHECK(site.endpoint_for("/urgent/", at(seconds(3))) == "a");
}

TEST_CASE("another process under the endpoint's id is not left alone for the one before")
{
    Site site;
    have_backoff(site, "a", at(seconds(0)));
    site.router.remove_endpoint("a", at(seconds(1)));
    site.router.put_endpoint(Site::record("a"));
    static_cast<void>(site.router.expire_endpoints(at(seconds(1))));
    bool is_chosen = false;
    for (int number = 0; number < 50; ++number)
        is_chosen |= site.endpoint_for("/urgent/", at(seconds(1))) == "a";
    CHECK(is_chosen);
}
