#include <TestMain.h>

#include <nlohmann/json.hpp>
#include <platform/BoxEnvironment.h>
#include <platform/LeaderCalls.h>
#include <platform/StoreRecords.h>

using namespace Adapter;
using nlohmann::json;

namespace {

std::string environment_with(std::string const& further)
{
    return R"({"node_name":"b","zone":"a","listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},)"
           R"("provider":{"address":"127.0.0.1:3"},"limits":{"memory_mb":100,"max_fds":1000},)"
           R"("bounds":{"grace_s":8,"lease_ms":2500,"usage_window_s":5,"usage_late_s":10})"
        + further + "}";
}

}

TEST_CASE("a usage report names its window, its counts, who sends it and with which token")
{
    auto const call = encode_usage_report({ "box", 12 }, 353445120, { { "hule930", 412 }, { "fi\"da", 11 } });
    CHECK(call.target == "/usage");
    CHECK(call.headers == "X-Duty-Holder: box\r\nX-Fence-Token: 12\r\nContent-Type: application/json\r\n");
    CHECK(json::parse(call.body)
        == json { { "window_id", 353445120 }, { "counts", { { "hule930", 412 }, { "fi\"da", 11 } } } });
}

TEST_CASE("an order names service, failure domain and count, and whether the servers may be taken away")
{
    auto const call = encode_server_order({ "box", 12 }, "huvo11a", "hall", 6, false);
    CHECK(call.target == "/scale");
    CHECK(json::parse(call.body) == json { { "service", "huvo11a" }, { "zone", "hall" }, { "desired", 6 } });
    auto const revocable = encode_server_order({ "box", 12 }, "huvo11a", "hall", 6, true);
    CHECK(json::parse(revocable.body).at("spot") == true);
}

TEST_CASE("the settings say whether one box reports usage and orders servers, and where")
{
    Core::LastReason reason;
    auto const both = decode_environment(
        environment_with(R"(,"cloud_api":{"address":"10.0.0.1:80","duties":["usage","autoscale"]})"), reason);
    REQUIRE(both);
    REQUIRE(both->leader);
    CHECK(both->leader->address == Routing::SocketAddress { "10.0.0.1", 80 });
    CHECK(both->leader->reports_usage);
    CHECK(both->leader->orders_servers);
    CHECK(both->leader->lease == std::chrono::milliseconds(2500));
    CHECK(both->leader->usage_window == std::chrono::seconds(5));
    CHECK(both->leader->usage_due == std::chrono::seconds(10));
    auto const one = decode_environment(
        environment_with(R"(,"cloud_api":{"address":"10.0.0.1:80","duties":["usage","other"]})"), reason);
    REQUIRE(one);
    CHECK_FALSE(one->leader->orders_servers);
    for (auto const* none : { "", R"(,"cloud_api":null)", R"(,"cloud_api":{"address":"10.0.0.1:80"})",
             R"(,"cloud_api":{"address":"10.0.0.1:80","duties":[]})" }) {
        auto const without = decode_environment(environment_with(none), reason);
        REQUIRE(without);
        CHECK_FALSE(without->leader);
    }
    CHECK_FALSE(
        decode_environment(environment_with(R"(,"cloud_api":{"address":"nowhere","duties":["usage"]})"), reason));
}

TEST_CASE("the configuration says how many servers of a service may be ordered, at which price")
{
    Core::LastReason reason;
    auto const configuration = decode_configuration(
        R"({"version":3,"routes":[],"services":[{"name":"s","autoscale":{"min":1,"max":40,"boot_time_s":4.0,)"
        R"("spot_price":0.15,"zone_prices":{"a":0.85,"b":1.2}}},{"name":"t"}]})",
        reason);
    REQUIRE(configuration);
    CHECK(configuration->services[0].scaling
        == Routing::ServerScaling { 1, 40, std::chrono::seconds(4), 0.15, { { "a", 0.85 }, { "b", 1.2 } } });
    CHECK_FALSE(configuration->services[1].scaling);
}

TEST_CASE("an endpoint says whether it may be taken away")
{
    std::string const begin = R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":4,)"
                              R"("state":"ready","cold_left_ms":0,"call_seq":1)";
    Core::LastReason reason;
    CHECK(decode_endpoint("i", begin + R"(,"spot":true})", reason)->is_revocable);
    CHECK_FALSE(decode_endpoint("i", begin + "}", reason)->is_revocable);
}

TEST_CASE("the newest records tell where they stand")
{
    Core::LastReason reason;
    auto const page
        = decode_newest(R"({"items":[{"tls_key":"a","value":"YQ==","offset":4},{"value":"YQ==","offset":5},)"
                        R"({"tls_key":"b","value":"YQ==","offset":9}],"truncated":false,"end":10})",
            reason);
    REQUIRE(page);
    CHECK(page->offsets == std::vector<std::uint64_t> { 4, 9 });
    CHECK(page->offsets.size() == page->records.size());
}

TEST_CASE("an append names the end that it expects, and its answer where it stands")
{
    CHECK(append_target(Topic::Leader, 12) == "/log-append?topic=keyed.leader&part=0&current_rev=12");
    Core::LastReason reason;
    CHECK(decode_append(R"({"offset":12,"end":14})", reason) == AppendAnswer { 12, 14 });
    CHECK_FALSE(decode_append(R"({"end":14})", reason));
    CHECK(is_append_conflict(412));
    CHECK_FALSE(is_append_conflict(409));
}
