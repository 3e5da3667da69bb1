#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <set>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

Route route_named(std::string prefix, RouteKind kind, unsigned attempts)
{
    auto route = route_to_desk(std::move(prefix), kind, attempts);
    route.priority = 2;
    return route;
}

SharedConfiguration configuration(std::uint64_t version, std::vector<std::string> keys)
{
    Configuration contents;
    contents.version = version;
    contents.routes = { route_named("/a/", RouteKind::Idempotent, 2), route_named("/open/", RouteKind::Idempotent, 2) };
    contents.routes[1].is_public = true;
    contents.services = { { "desk", 96, {} } };
    contents.accounts = { { "account", std::move(keys), 0 } };
    return std::make_shared<ConfigurationSnapshot const>(std::move(contents));
}

RequestHead request(std::string target, std::string key)
{
    return { "attempt", "h", std::move(target), std::move(key), seconds(1), {} };
}

struct Box {
    Box()
    {
        RouterSettings settings;
        settings.failure_domain = "hall";
        settings.lease = { seconds(2), seconds(5) };
        this->router = std::make_unique<RequestRouter>(settings, 7);
        this->router->offer_configuration(configuration(1, { "k" }), at(seconds(0)));
        this->router->put_endpoint({ "a", "desk", { "10.0.0.1", 80 }, "hall", 6, false }, at(seconds(0)));
        this->router->put_endpoint({ "b", "desk", { "10.0.0.2", 80 }, "hall", 6, false }, at(seconds(0)));
    }

    [[nodiscard]] Reason refusal(RequestHead const& head, Instant now) const
    {
        auto const decision = this->router->admit(head, now);
        auto const* const rejected = std::get_if<Rejected>(&decision);
        return rejected ? rejected->reason : Reason::None;
    }

    std::unique_ptr<RequestRouter> router;
};

}

TEST_CASE("a box without a configuration refuses requests with a time to retry")
{
    RequestRouter router({}, 1);
    auto const decision = router.admit(request("/a/x", "k"), at(seconds(0)));
    REQUIRE(std::holds_alternative<Rejected>(decision));
    CHECK(std::get<Rejected>(decision).reason == Reason::ConfigurationMissing);
    CHECK(std::get<Rejected>(decision).retry_after.has_value());
}

TEST_CASE("an unknown route or key is refused permanently only while the configuration is fresh")
{
    Box const box;
    CHECK(box.refusal(request("/a/x", "k"), at(seconds(1))) == Reason::None);
    CHECK(box.refusal(request("/b/x", "k"), at(seconds(1))) == Reason::RouteUnknown);
    CHECK(box.refusal(request("/a/x", "wrong"), at(seconds(1))) == Reason::KeyUnknown);
    CHECK(box.refusal(request("/b/x", "k"), at(milliseconds(3100))) == Reason::ConfigurationAging);
    CHECK(box.refusal(request("/a/x", "wrong"), at(milliseconds(3100))) == Reason::ConfigurationAging);
    CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(3100))) == Reason::None);
}

TEST_CASE("a key that may have been revoked is not served, but a public route is")
{
    Box const box;
    CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(4400))) == Reason::None);
    CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(4600))) == Reason::ConfigurationExpired);
    CHECK(box.refusal(request("/open/x", ""), at(milliseconds(4600))) == Reason::None);
    box.router->confirm_configuration(at(milliseconds(4500)));
    CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(4600))) == Reason::None);
    box.router->offer_configuration(configuration(2, { "other" }), at(milliseconds(4700)));
    CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(4700))) == Reason::KeyUnknown);
}

// Guards against serving a public route that a newer version has removed. The box has been notified of the newer
// version and is still reading it when its lease expires; it must not go on with public routes by the old version.
TEST_CASE(
    "a box that knows of a newer configuration refuses nothing permanently, and serves nothing once it is overdue")
{
    Box const box;
    box.router->note_configuration(2, at(milliseconds(500)), at(milliseconds(500)));
    CHECK(box.refusal(request("/a/x", "k"), at(seconds(1))) == Reason::None);
    CHECK(box.refusal(request("/b/x", "k"), at(seconds(1))) == Reason::ConfigurationAging);
    CHECK(box.refusal(request("/a/x", "wrong"), at(seconds(1))) == Reason::ConfigurationAging);
    auto const admitted = std::get<Admitted>(box.router->admit(request("/open/x", ""), at(milliseconds(2400))));
    CHECK(box.refusal(request("/open/x", ""), at(milliseconds(2600))) == Reason::ConfigurationExpired);
    auto const late = box.router->place(admitted, {}, {}, at(milliseconds(2600)));
    REQUIRE(std::holds_alternative<Rejected>(late));
    CHECK(std::get<Rejected>(late).reason == Reason::ConfigurationExpired);

    box.router->offer_configuration(configuration(2, { "k" }), at(milliseconds(4500)));
    CHECK(box.refusal(request("/open/x", ""), at(milliseconds(4600))) == Reason::None);
    CHECK(box.refusal(request("/b/x", "k"), at(milliseconds(4600))) == Reason::RouteUnknown);
    box.router->note_configuration(1, at(milliseconds(4550)), at(milliseconds(4550)));
    CHECK(box.refusal(request("/b/x", "k"), at(milliseconds(4600))) == Reason::RouteUnknown);
}

TEST_CASE("a box that is notified of an overdue version serves nothing by an older one")
{
    SUBCASE("notified after it has read the older version")
    {
        Box const box;
        box.router->note_overdue_configuration(2, at(milliseconds(500)));
        CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(500))) == Reason::ConfigurationExpired);
        CHECK(box.refusal(request("/open/x", ""), at(milliseconds(500))) == Reason::ConfigurationExpired);
        box.router->offer_configuration(configuration(2, { "k" }), at(milliseconds(600)));
        CHECK(box.refusal(request("/a/x", "k"), at(milliseconds(700))) == Reason::None);
    }
    SUBCASE("notified before it has read any version")
    {
        RequestRouter router({ "hall", { seconds(2), seconds(5) }, {}, {} }, 7);
        router.note_overdue_configuration(2, at(seconds(0)));
        router.offer_configuration(configuration(1, { "k" }), std::nullopt);
        auto const decision = router.admit(request("/a/x", "k"), at(milliseconds(10)));
        REQUIRE(std::holds_alternative<Rejected>(decision));
        CHECK(std::get<Rejected>(decision).reason == Reason::ConfigurationExpired);
    }
}

TEST_CASE("a request that was admitted before the lease expired is not sent afterwards")
{
    Box const box;
    auto const admitted = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(milliseconds(4400))));
    CHECK(std::holds_alternative<Placed>(box.router->place(admitted, {}, {}, at(milliseconds(4450)))));
    auto const late = box.router->place(admitted, {}, {}, at(milliseconds(4600)));
    REQUIRE(std::holds_alternative<Rejected>(late));
    CHECK(std::get<Rejected>(late).reason == Reason::ConfigurationExpired);
}

TEST_CASE("a request expires by the shorter of patience and timeout")
{
    Box const box;
    auto const keyed = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(seconds(0))));
    CHECK(keyed.account == "account");
    CHECK(keyed.expires == at(seconds(1)));
    CHECK(keyed.expiry == Reason::DeadlinePassed);
    auto head = request("/open/x", "");
    head.patience = seconds(9);
    auto const open = std::get<Admitted>(box.router->admit(head, at(seconds(0))));
    CHECK(open.account.empty());
    CHECK(open.expires == at(seconds(3)));
    CHECK(open.expiry == Reason::RouteTimeoutPassed);
}

TEST_CASE("urgency follows the priority of the route first, then that of the account")
{
    auto const rank = [](std::optional<unsigned> account, unsigned of_route) {
        Route route;
        route.priority = of_route;
        ClientAccount const holder { "a", {}, account };
        return urgency_of(route, &holder);
    };
    // Equal account priorities: the route decides.
    CHECK(rank(1, 0) < rank(1, 1));
    CHECK(rank(1, 1) < rank(1, 2));
    // The route's priority comes first for all accounts.
    CHECK(rank(2, 0) < rank(0, 1));
    CHECK(rank(2, 1) < rank(0, 2));
    // Equal route priorities: the account decides.
    CHECK(rank(0, 1) < rank(1, 1));
    CHECK(rank(1, 1) < rank(2, 1));
    // Accounts without a priority rank in the middle.
    CHECK(rank(std::nullopt, 1) == rank(1, 1));
    CHECK(urgency_of(Route {}, nullptr) == rank(1, 0));
    CHECK(rank(50, 50) <= 9);
}

TEST_CASE("a retry goes to another endpoint, and there is none after the last")
{
    Box const box;
    auto const admitted = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(seconds(0))));
    std::vector<EndpointId> tried;
    std::set<std::string> seen;
    for (int attempt = 0; attempt < 2; ++attempt) {
        auto const placed = std::get<Placed>(box.router->place(admitted, {}, tried, at(seconds(0))));
        seen.insert(placed.endpoint.incarnation);
        tried.push_back(placed.choice.endpoint);
    }
    CHECK(seen.size() == 2);
    auto const last = box.router->place(admitted, {}, tried, at(seconds(0)));
    REQUIRE(std::holds_alternative<Rejected>(last));
    CHECK(std::get<Rejected>(last).reason == Reason::NoEndpoint);
}

TEST_CASE("an endpoint that fails repeatedly is avoided unless it is the last one")
{
    Box const box;
    auto const admitted = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(seconds(0))));
    auto const first = std::get<Placed>(box.router->place(admitted, {}, {}, at(seconds(0))));
    for (int failure = 0; failure < 3; ++failure) {
        box.router->attempt_started(admitted, {}, first.choice, at(seconds(0)));
        box.router->attempt_ended(admitted.id, first.choice.endpoint, AttemptResult::Failed, at(seconds(0)));
    }
    auto const second = std::get<Placed>(box.router->place(admitted, {}, {}, at(milliseconds(10))));
    CHECK(second.choice.endpoint != first.choice.endpoint);
    box.router->remove_endpoint(second.endpoint.incarnation, at(milliseconds(20)));
    auto const last = std::get<Placed>(box.router->place(admitted, {}, {}, at(milliseconds(30))));
    CHECK(last.choice.endpoint == first.choice.endpoint);
}

TEST_CASE("an attempt that ends after its endpoint was removed leaves no state behind")
{
    Box const box;
    auto const admitted = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(seconds(0))));
    auto const placed = std::get<Placed>(box.router->place(admitted, {}, {}, at(seconds(0))));
    box.router->attempt_started(admitted, {}, placed.choice, at(seconds(0)));
    box.router->remove_endpoint(placed.endpoint.incarnation, at(seconds(0)));
    CHECK(box.router->expire_endpoints(at(seconds(0))) == std::vector { placed.choice.endpoint });
    box.router->attempt_ended(admitted.id, placed.choice.endpoint, AttemptResult::Failed, at(seconds(1)));
    CHECK(box.router->endpoint_count() == 1);
}

TEST_CASE("requests are divided among services by weight")
{
    Configuration contents;
    contents.version = 1;
    contents.routes = { route_named("/a/", RouteKind::Idempotent, 1) };
    contents.routes[0].services = { { "desk", 90 }, { "new", 10 }, { "none", 0 } };
    RequestRouter router({}, 11);
    router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(contents)), at(seconds(0)));
    std::map<std::string, int> drawn;
    for (int index = 0; index < 2000; ++index)
        ++drawn[std::get<Admitted>(router.admit(request("/a/x", ""), at(seconds(0)))).service];
    CHECK(drawn["desk"] > 1700);
    CHECK(drawn["new"] > 130);
    CHECK(drawn["none"] == 0);
}

TEST_CASE("a load report of another box replaces its earlier one and expires")
{
    Box const box;
    auto const place = [&](Instant now) {
        auto const admitted = box.router->admit(request("/a/x", "k"), now);
        auto const decision = box.router->place(std::get<Admitted>(admitted), {}, {}, now);
        return std::get<Placed>(decision).endpoint.incarnation;
    };
    auto const first = place(at(seconds(0)));
    auto const second = first == "a" ? "b" : "a";
    box.router->apply_load_report(1, { { { first, Duration { 0 }, 6 } }, {} }, at(seconds(0)));
    CHECK(place(at(milliseconds(10))) == second);
    // A report replaces only the earlier report of the same box.
    box.router->apply_load_report(2, { { { second, Duration { 0 }, 1 } }, {} }, at(milliseconds(20)));
    CHECK(place(at(milliseconds(30))) == second);
    box.router->apply_load_report(1, {}, at(milliseconds(40)));
    CHECK(place(at(milliseconds(50))) == first);
    // Reports expire, and unknown endpoints in a report are ignored.
    box.router->apply_load_report(
        1, { { { first, Duration { 0 }, 6 }, { "gone", seconds(9), 9 } }, {} }, at(seconds(1)));
    CHECK(place(at(milliseconds(1010))) == second);
    CHECK(place(at(milliseconds(3600))) == first);
}

TEST_CASE("a load report lists only endpoints with requests of the box")
{
    Box const box;
    CHECK(box.router->load_report(at(seconds(0))).endpoints.empty());
    auto const admitted = std::get<Admitted>(box.router->admit(request("/a/x", "k"), at(seconds(0))));
    auto const placed = std::get<Placed>(box.router->place(admitted, {}, {}, at(seconds(0))));
    box.router->attempt_started(admitted, {}, placed.choice, at(seconds(0)));
    auto const report = box.router->load_report(at(seconds(0)));
    REQUIRE(report.endpoints.size() == 1);
    CHECK(report.endpoints[0].incarnation == placed.endpoint.incarnation);
    CHECK(report.endpoints[0].running == 1);
    box.router->attempt_ended(admitted.id, placed.choice.endpoint, AttemptResult::Completed, at(milliseconds(20)));
    CHECK(box.router->load_report(at(milliseconds(20))).endpoints.empty());
}

// `apply_within` is 2 s here and `revoke_within` is unset.
TEST_CASE("a box doesn't serve by an overdue configuration, also without a revocation limit")
{
    RouterSettings settings;
    settings.lease = { std::chrono::seconds(2), std::nullopt };
    RequestRouter router(settings, 1);
    Configuration configuration;
    configuration.version = 1;
    Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/";
    route.timeout = std::chrono::seconds(1);
    route.services = { { "desk", 1 } };
    configuration.routes = { route };
    Instant const start {};
    router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(configuration)), start);
    router.note_configuration(2, start, start);
    RequestHead const head { "attempt", "h", "/x", "", std::chrono::seconds(1), {} };
    auto const decision = router.admit(head, start + std::chrono::seconds(60));
    CHECK(std::holds_alternative<Rejected>(decision));
}
