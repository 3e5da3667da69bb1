#include <TestMain.h>

#include <platform/BoxEnvironment.h>
#include <platform/StoreRecords.h>

namespace {

using namespace Adapter;

std::string const configuration_text = R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":4000,"goal_ms":1200,"priority":2,
     "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":1,"public":false,"sticky":true,
     "can_resume":true,"gap_target_ms":1000},
    {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":600,"service":"s2"}],
    "services":[{"name":"s1","health_path":"/health","max_conns":360,
                 "engine":{"slots":64,"kv_cache_tokens":289584,"stride":6}},
                {"name":"s2","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":[]}],"unknown":{}})";

std::string bytes_of(std::uint64_t number, int size)
{
    std::string bytes;
    for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
        bytes += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
    return bytes;
}

std::string keyed_record(std::string const& key, std::string const& value)
{
    return bytes_of(1 + key.size() + value.size(), 4) + bytes_of(key.size(), 1) + key + value;
}

}

TEST_CASE("a configuration is read into typed values")
{
    Core::LastReason reason;
    auto const read = decode_configuration(configuration_text, reason);
    REQUIRE_MESSAGE(read, reason.text);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 2);
    auto const& first = read->routes[0];
    CHECK(first.kind == Routing::RouteKind::Streaming);
    CHECK(first.is_repeatable());
    CHECK(first.timeout == std::chrono::seconds(4));
    CHECK(first.goal == std::chrono::milliseconds(1200));
    CHECK(first.services == std::vector<Routing::ServiceShare> { { "s1", 90 }, { "s2", 10 } });
    auto const& second = read->routes[1];
    CHECK_FALSE(second.is_repeatable());
    CHECK(second.max_attempts == 1);
    CHECK(second.services == std::vector<Routing::ServiceShare> { { "s2", 1 } });
    REQUIRE(read->services.size() == 2);
    CHECK(read->services[0].engine->cache_tokens == 289584);
    CHECK_FALSE(read->services[1].engine.has_value());
    REQUIRE(read->accounts);
    CHECK(read->accounts->at(0).priority == 1U);
    CHECK_FALSE(read->accounts->at(1).priority.has_value());
}

TEST_CASE("a configuration that can't be understood names the field")
{
    auto const reason_for = [](std::string const& from, std::string const& to) {
        auto text = configuration_text;
        text.replace(text.find(from), from.size(), to);
        Core::LastReason reason;
        CHECK_FALSE(decode_configuration(text, reason));
        return reason.text;
    };
    CHECK(reason_for(R"("kind":"streaming")", R"("kind":"later")") == "/routes/0/kind: unknown kind 'later'");
    CHECK(reason_for(R"("timeout_ms":600)", R"("timeout_ms":"600")") == "/routes/1/timeout_ms: must be a number");
    CHECK(reason_for(R"("version":7,)", "") == "/version: is missing");
    CHECK(reason_for(R"("name":"s2",)", "") == "/services/1/name: is missing");
    CHECK(reason_for(R"(["k1","k2"])", "[1]") == "/tenants/0/api_keys: must hold texts");
    CHECK(reason_for(R"({"version")", R"(["version")") == "not valid JSON");
    Core::LastReason reason;
    CHECK_FALSE(decode_configuration("[]", reason));
    CHECK(reason.text == "must be a JSON object");
}

TEST_CASE("the regions of routes and accounts are read, and a list that allows nothing or holds no names is refused")
{
    auto const with_regions = [](std::string const& list, Core::LastReason& reason) {
        auto text = configuration_text;
        std::string const route = R"("can_resume":true)";
        text.replace(text.find(route), route.size(), route + R"(,"allowed_regions":)" + list);
        std::string const account = R"("name":"t1")";
        text.replace(text.find(account), account.size(), account + R"(,"allowed_regions":)" + list);
        return decode_configuration(text, reason);
    };
    Core::LastReason reason;
    auto const read = with_regions(R"(["r1","r2"])", reason);
    REQUIRE_MESSAGE(read, reason.text);
    CHECK(read->routes[0].allowed_regions == std::vector<std::string> { "r1", "r2" });
    CHECK(read->routes[1].allowed_regions.empty());
    CHECK(read->accounts->at(0).allowed_regions == std::vector<std::string> { "r1", "r2" });
    CHECK(read->accounts->at(1).allowed_regions.empty());
    CHECK_FALSE(with_regions("[]", reason));
    CHECK(reason.text == "/routes/0/allowed_regions: must not be empty");
    CHECK_FALSE(with_regions("[7]", reason));
    CHECK(reason.text == "/routes/0/allowed_regions: must hold texts");
}

TEST_CASE("the rate of cold endpoints is read, and one that can't be is refused")
{
    auto const with_rate = [](std::string const& rate, Core::LastReason& reason) {
        auto text = configuration_text;
        std::string const service = R"("max_conns":96)";
        text.replace(text.find(service), service.size(), service + R"(,"cold_rate_s":)" + rate);
        return decode_configuration(text, reason);
    };
    Core::LastReason reason;
    CHECK(with_rate("10.5", reason)->services[1].cold_rate == 10.5);
    CHECK_FALSE(with_rate("0", reason)->services[1].cold_rate.has_value());
    for (auto const* rate : { "-1", "1e30", "\"10\"" }) {
        CAPTURE(rate);
        CHECK_FALSE(with_rate(rate, reason));
        CHECK(reason.text.starts_with("/services/1/cold_rate_s: must be"));
    }
}

TEST_CASE("an evacuation names its failure domain, and ends with its record")
{
    Core::LastReason reason;
    CHECK(is_evacuation({ "evacuate/hall", "{}" }));
    CHECK_FALSE(is_evacuation({ "config", "{}" }));
    CHECK(decode_evacuation({ "evacuate/hall", "{}" }, reason) == Evacuation { "hall", true });
    CHECK(decode_evacuation({ "evacuate/hall", std::nullopt }, reason) == Evacuation { "hall", false });
    CHECK_FALSE(decode_evacuation({ "evacuate/", "{}" }, reason));
    CHECK(reason.text == "key: names no failure domain");
    CHECK_FALSE(decode_evacuation({ "evacuate/hall", "{" }, reason));
    CHECK(reason.text == "not valid JSON");
}

TEST_CASE("an endpoint's record is read, and one that lacks a field is refused")
{
    Core::LastReason reason;
    auto const read = decode_endpoint("i-1",
        R"({"service":"s1","address":"10.0.0.9:8080","zone":"hall","version":"v1","slots":64,"state":"draining",
            "cold_left_ms":0,"call_seq":3,"born":1790000000123})",
        reason);
    REQUIRE(read);
    CHECK(*read
        == Routing::EndpointRecord {
            "i-1", "s1", { "10.0.0.9", 8080 }, "hall", 64, true, 1790000000123, false, Core::Duration { 0 }, "v1" });
    CHECK_FALSE(decode_endpoint("i-1", R"({"address":"10.0.0.9:8080"})", reason));
    CHECK(reason.text == "/service: is missing");
    CHECK_FALSE(decode_endpoint("i-1", R"({"service":"s1","address":"10.0.0.9"})", reason));
    CHECK(reason.text == "/address: is not IP:PORT");
}

TEST_CASE("records are read with their keys, and a record without a value drops its key")
{
    auto const body = bytes_of(12, 8) + bytes_of(3, 8) + keyed_record("config", "{}") + keyed_record("gone", "");
    Core::LastReason reason;
    auto const page = decode_records(body, 10, reason);
    REQUIRE(page);
    CHECK(page->end == 12);
    CHECK(page->next == 12);
    CHECK(page->records == std::vector<KeyedRecord> { { "config", "{}" }, { "gone", std::nullopt } });
    CHECK(is_configuration(page->records[0]));
    CHECK_FALSE(is_configuration(page->records[1]));
    CHECK(decode_records(bytes_of(10, 8) + bytes_of(3, 8), 10, reason)->records.empty());
}

TEST_CASE("every broken page of records is refused, wherever it is cut")
{
    auto const body = bytes_of(11, 8) + bytes_of(3, 8) + keyed_record("config", "{}");
    Core::LastReason reason;
    for (std::size_t size = 0; size < body.size(); ++size) {
        if (size == 16)
            continue; // A page without records.
        CHECK_FALSE(decode_records(body.substr(0, size), 10, reason));
    }
    CHECK_FALSE(decode_records(bytes_of(11, 8) + bytes_of(3, 8) + bytes_of(2, 4) + bytes_of(9, 1), 10, reason));
    CHECK_FALSE(decode_records(bytes_of(11, 8) + bytes_of(3, 8) + bytes_of(0, 4), 10, reason));
}

TEST_CASE("the newest records of each key are read page by page")
{
    Core::LastReason reason;
    auto const page = decode_newest(
        R"({"items":[{"tls_key":"config","value":"e30=","offset":4},{"tls_key":"x","value":"YWJj"}],
            "truncated":true,"end":6})",
        reason);
    REQUIRE(page);
    CHECK(page->records == std::vector<KeyedRecord> { { "config", "{}" }, { "x", "abc" } });
    CHECK(page->end == 6);
    CHECK(page->continue_after == "x");
    CHECK(decode_newest(R"({"items":[],"truncated":false,"end":0})", reason)->continue_after == std::nullopt);
    CHECK_FALSE(decode_newest(R"({"items":[]})", reason));
}

// Guards against a key of another writer that ends the query, or names another key, when the store is asked on after
// it.
TEST_CASE("the store is asked on after a key as it is written, whatever the key holds")
{
    CHECK(newest_target(Topic::Endpoints, "i-7f_3.a~").ends_with("&after_rev=i-7f_3.a~"));
    CHECK(newest_target(Topic::Endpoints, "a&b+c#d%e f").ends_with("&after_rev=a%26b%2Bc%23d%25e%20f"));
    CHECK(newest_target(Topic::Endpoints, std::string("\0\r\n\x80=", 5)).ends_with("&after_rev=%00%0D%0A%80%3D"));
}

TEST_CASE("a page ends at its last plain key if more follow, since other keys may not come back as they were written")
{
    auto const page_of = [](std::vector<std::string> const& keys, Core::LastReason& reason) {
        std::string items;
        for (auto const& key : keys)
            items += (items.empty() ? "" : ",") + (R"({"tls_key":")" + key) + R"(","value":"YWJj","offset":3})";
        return decode_newest(R"({"items":[)" + items + R"(],"truncated":true,"end":6})", reason);
    };
    auto const keys_of = [](std::optional<NewestPage> const& page) {
        REQUIRE(page);
        REQUIRE(page->offsets.size() == page->records.size());
        CHECK(page->continue_after == page->records.back().key);
        std::vector<std::string> keys;
        for (auto const& record : page->records)
            keys.push_back(record.key);
        return keys;
    };
    using Keys = std::vector<std::string>;
    Core::LastReason reason;
    CHECK(keys_of(page_of({ "a", "a b", "c" }, reason)) == Keys { "a", "a b", "c" });
    CHECK(keys_of(page_of({ "a", "b", "b&after_rev=zz", "b c" }, reason)) == Keys { "a", "b" });
    CHECK(keys_of(page_of({ "a b", "a\xff" }, reason)) == Keys { "a b", "a\xff" });
}

// Guards against endpoints that are taken for gone because no key of a page could be read.
TEST_CASE("a page before others is no whole list if none of its keys can be read")
{
    Core::LastReason reason;
    CHECK_FALSE(decode_newest(R"({"items":[{"tls_key":7,"value":"YWJj"}],"truncated":true,"end":6})", reason));
    CHECK(reason.text == "/items: name no key to go on after");
    CHECK_FALSE(decode_newest(R"({"items":[],"truncated":true,"end":6})", reason));
}

TEST_CASE("a key that is no text costs no other record of its page")
{
    Core::LastReason reason;
    auto const page = decode_newest(
        "{\"items\":[{\"tls_key\":\"a\xff\",\"value\":\"YWJj\"},{\"tls_key\":\"b\",\"value\":\"YWJj\"}],\"end\":6}",
        reason);
    REQUIRE(page);
    CHECK(page->records == std::vector<KeyedRecord> { { "a\xff", "abc" }, { "b", "abc" } });
}

TEST_CASE("one record that can't be read costs no other of its page")
{
    Core::LastReason reason;
    SUBCASE("of the newest records")
    {
        auto const page = decode_newest(R"({"items":[{"tls_key":"a","value":"YWJj"},{"tls_key":"x","value":"!!!!"},
            {"tls_key":7,"value":"YWJj"},{"tls_key":"y"},17,{"tls_key":"b","value":"YWJj"}],"end":6})",
            reason);
        REQUIRE(page);
        CHECK(page->records
            == std::vector<KeyedRecord> {
                { "a", "abc" }, { "x", std::nullopt }, { "y", std::nullopt }, { "b", "abc" } });
        CHECK(page->unreadable == 4);
    }
    SUBCASE("of those that were appended")
    {
        // The second says that its key is longer than it is itself.
        auto const body = bytes_of(13, 8) + bytes_of(3, 8) + keyed_record("a", "1") + bytes_of(2, 4) + bytes_of(9, 1)
            + "x" + keyed_record("b", "2");
        auto const page = decode_records(body, 10, reason);
        REQUIRE(page);
        CHECK(page->records == std::vector<KeyedRecord> { { "a", "1" }, { "b", "2" } });
        CHECK(page->next == 13);
        CHECK(page->unreadable == 1);
    }
}

TEST_CASE("an address needs both parts")
{
    CHECK(decode_address("10.0.0.1:80") == Routing::SocketAddress { "10.0.0.1", 80 });
    for (auto const* text : { "", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:99999" })
        CHECK_FALSE(decode_address(text));
}

TEST_CASE("the settings file is read, and what is missing is named")
{
    std::string const text = R"({"node_name":"n","zone":"hall","listen":{"front":"10.1.0.4:1","ready":"10.1.0.4:2"},
        "limits":{"memory_mb":110,"max_fds":4100},"provider":{"address":"10.2.0.1:3"},
        "bounds":{"grace_s":8,"config_apply_ms":2000,"revoke_strict":true,"revoke_ms":5000,"retry_ratio":0.2,
                  "retry_window_s":10,"retry_slack":52,"drain_ms":2000}})";
    Core::LastReason reason;
    auto const read = decode_environment(text, reason);
    REQUIRE_MESSAGE(read, reason.text);
    CHECK(read->store == Routing::SocketAddress { "10.2.0.1", 3 });
    CHECK(read->stop_grace == std::chrono::seconds(8));
    CHECK(read->lease.revoke_within == std::chrono::seconds(5));
    CHECK(read->max_sockets == 3900);
    auto loose = text;
    loose.replace(loose.find("true"), 4, "false");
    CHECK_FALSE(decode_environment(loose, reason)->lease.revoke_within.has_value());
    auto broken = text;
    broken.replace(broken.find("10.1.0.4:2"), 10, "nowhere");
    CHECK_FALSE(decode_environment(broken, reason));
    CHECK(reason.text == "/listen/ready: 'nowhere' is not IP:PORT");
    CHECK_FALSE(decode_environment("{}", reason));
    CHECK(reason.text == "/node_name: is missing");
}
