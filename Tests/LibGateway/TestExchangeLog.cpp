#include <TestMain.h>

#include "CapturedLog.h"
#include "ScriptedExchange.h"

using namespace Gateway;

namespace {

Routing::RouterSettings settings()
{
    Routing::LeaseBounds const lease { std::chrono::seconds(2), std::chrono::seconds(5) };
    return { "hall", lease, { 0.2, std::chrono::seconds(10), 100 }, {} };
}

void offer(Exchange& request, Routing::Configuration configuration)
{
    request.state.router.offer_configuration(
        std::make_shared<Routing::ConfigurationSnapshot const>(std::move(configuration)), Core::monotonic_now());
}

}

TEST_CASE("the end of a served request tells what a summary needs: account, goal, first byte and where it came from")
{
    CapturedLog const log;
    Exchange request(RouteKind::Idempotent, 2, 1, false, std::chrono::milliseconds(1500));
    request.use_accounts(settings());
    request.start();
    auto& endpoint = *request.endpoints[request.wait_for_arrival()];
    endpoint.answer(whole_answer);
    REQUIRE(request.ends());
    REQUIRE(log.events("request_ended").size() == 1);
    auto const end = log.events("request_ended")[0];
    CHECK(end.at("account") == "account");
    CHECK(end.at("goal_ms") == "1500.000");
    CHECK(end.at("from_box") == "no");
    CHECK(std::stod(end.at("first_byte_ms")) > 0);
    CHECK(std::stod(end.at("first_byte_ms")) <= std::stod(end.at("took_ms")));
    CHECK_FALSE(log.events("request_placed").at(0).contains("from_box"));
    CHECK_FALSE(log.events("attempt_ended").at(0).contains("cancelled_by"));
}

TEST_CASE("the end of a refused request tells its account and route, and no first byte")
{
    CapturedLog const log;
    Exchange request(RouteKind::Idempotent, 2, 0);
    request.use_accounts(settings());
    request.start();
    REQUIRE(request.ends());
    auto const end = log.events("request_ended").at(0);
    CHECK(end.at("account") == "account");
    CHECK(end.at("route") == "r");
    CHECK(end.at("reason") == "no-endpoint");
    CHECK_FALSE(end.contains("first_byte_ms"));
    CHECK_FALSE(end.contains("goal_ms"));
}

TEST_CASE("a request that is not admitted is logged with its route, and with its account if the key is known")
{
    CapturedLog const log;
    Exchange request(RouteKind::Idempotent);
    request.use_accounts(settings());
    auto changed = request.state.router.configuration()->configuration();
    ++changed.version;
    SUBCASE("the route has gone")
    {
        changed.routes.clear();
        offer(request, changed);
        request.start();
        REQUIRE(request.ends());
        auto const end = log.events("request_ended").at(0);
        CHECK(end.at("reason") == "route-unknown");
        CHECK(end.at("route") == "none");
        CHECK_FALSE(end.contains("account"));
    }
    SUBCASE("the key is unknown")
    {
        changed.accounts = { Routing::ClientAccount { "account", { "other" }, {} } };
        offer(request, changed);
        request.start();
        REQUIRE(request.ends());
        auto const end = log.events("request_ended").at(0);
        CHECK(end.at("reason") == "key-unknown");
        CHECK(end.at("route") == "r");
        CHECK_FALSE(end.contains("account"));
    }
    SUBCASE("the configuration is too old, but tells whose the key was")
    {
        Core::simulate_suspension(std::chrono::seconds(60));
        request.start();
        REQUIRE(request.ends());
        auto const end = log.events("request_ended").at(0);
        CHECK(end.at("reason") == "configuration-expired");
        CHECK(end.at("route") == "r");
        CHECK(end.at("account") == "account");
    }
}

TEST_CASE("the end of an attempt tells who cancelled it, so that it isn't taken for a broken endpoint")
{
    CapturedLog const log;
    SUBCASE("the client left")
    {
        Exchange request(RouteKind::Streaming, 1);
        request.start();
        request.wait_for_arrival();
        request.exchange->client_left();
        REQUIRE(request.ends());
        CHECK(log.events("attempt_ended").at(0).at("cancelled_by") == "client");
    }
    SUBCASE("the endpoint stayed silent")
    {
        Exchange request(RouteKind::Idempotent, 2, 2, false, std::chrono::milliseconds(20));
        request.start();
        request.wait_for_arrival();
        request.endpoints[request.wait_for_arrival()]->answer(whole_answer);
        REQUIRE(request.ends());
        CHECK(log.events("attempt_ended").at(0).at("cancelled_by") == "silence");
        CHECK_FALSE(log.events("attempt_ended").at(1).contains("cancelled_by"));
    }
    SUBCASE("the endpoint broke off")
    {
        Exchange request(RouteKind::NonIdempotent, 1);
        request.start();
        request.endpoints[request.wait_for_arrival()]->close();
        REQUIRE(request.ends());
        CHECK(log.events("attempt_ended").at(0).at("result") == "unknown");
        CHECK_FALSE(log.events("attempt_ended").at(0).contains("cancelled_by"));
    }
}
