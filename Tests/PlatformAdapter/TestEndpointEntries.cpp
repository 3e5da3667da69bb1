#include <TestMain.h>

#include <map>
#include <platform/StoreRecords.h>

/// What users would see: requests that fail, or run at a service that nobody sent them to, since an entry that another
/// writer left in the list of endpoints is taken for one. Cause: a missing state was taken for ready, an unknown one
/// for draining, missing slots for one. Evidence: the cases below that the decoder took.
using namespace Adapter;

namespace {

using Fields = std::map<std::string, std::string>;

/// The fields of a sound entry, as JSON.
Fields sound_fields()
{
    return { { "service", "\"s1\"" }, { "address", "\"10.0.0.9:8080\"" }, { "zone", "\"hall\"" },
        { "version", "\"v1\"" }, { "slots", "64" }, { "state", "\"ready\"" }, { "cold_left_ms", "0" },
        { "call_seq", "3" }, { "born", "1790000000123" } };
}

std::string entry_of(Fields const& fields)
{
    std::string text = "{";
    for (auto const& [name, value] : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
    return text + "}";
}

bool names_endpoint(std::string const& text, std::string const& key = "i-1")
{
    Core::LastReason reason;
    auto const record = decode_endpoint(key, text, reason);
    // An entry is taken without a reason, or refused with one.
    CHECK(record.has_value() == reason.text.empty());
    return record.has_value();
}

bool names_endpoint_with(std::string const& field, std::string const& value)
{
    auto fields = sound_fields();
    fields[field] = value;
    return names_endpoint(entry_of(fields));
}

std::string const huge_number = "1" + std::string(400, '0');

}

TEST_CASE("a sound entry names an endpoint, with fields that nobody knows or without its life")
{
    CHECK(names_endpoint(entry_of(sound_fields())));
    CHECK(names_endpoint_with("later", R"({"a":[1,null]})"));
    CHECK(names_endpoint_with("state", "\"draining\""));
    auto fields = sound_fields();
    fields.erase("born");
    CHECK(names_endpoint(entry_of(fields)));
}

TEST_CASE("an entry that lacks a field names no endpoint")
{
    for (auto const& sound : sound_fields()) {
        auto const& field = sound.first;
        if (field == "born")
            continue; // Endpoints of older deployments don't write it.
        CAPTURE(field);
        auto fields = sound_fields();
        fields.erase(field);
        CHECK_FALSE(names_endpoint(entry_of(fields)));
    }
}

TEST_CASE("an entry with a field of another type names no endpoint")
{
    for (auto const& sound : sound_fields()) {
        auto const& field = sound.first;
        bool const is_text = sound.second.front() == '"';
        for (std::string const& value : { std::string("null"), std::string("true"), std::string("[]"),
                 std::string("{}"), std::string("[\"s1\"]"), is_text ? std::string("7") : std::string("\"7\"") }) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK_FALSE(names_endpoint_with(field, value));
        }
    }
}

TEST_CASE("an entry with a figure that can't be names no endpoint")
{
    for (auto const* field : { "slots", "call_seq", "born" }) {
        for (std::string const& value :
            { std::string("-1"), std::string("1.5"), std::string("1e300"), huge_number, std::string("1e999") }) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK_FALSE(names_endpoint_with(field, value));
        }
    }
    CHECK_FALSE(names_endpoint_with("slots", "0"));
    CHECK_FALSE(names_endpoint_with("slots", "1000001"));
    CHECK_FALSE(names_endpoint_with("cold_left_ms", "-1"));
}

TEST_CASE("an entry with a state, an address or a service that can't be names no endpoint")
{
    for (auto const* state : { "\"\"", "\"Ready\"", "\"gone\"", "\"ready \"" })
        CHECK_FALSE(names_endpoint_with("state", state));
    for (auto const* address : { "\"\"", "\"10.0.0.9\"", "\"10.0.0.9:\"", "\":8080\"", "\"10.0.0.9:0\"",
             "\"10.0.0.9:65536\"", "\"10.0.0.9:-1\"", "\"10.0.0.9:80 \"", "\"http://10.0.0.9:80\"" }) {
        CAPTURE(address);
        CHECK_FALSE(names_endpoint_with("address", address));
    }
    CHECK_FALSE(names_endpoint_with("service", "\"\""));
}

TEST_CASE("a key that is no id names no endpoint")
{
    auto const entry = entry_of(sound_fields());
    for (std::string const& key : { std::string(), std::string("i 1"), std::string("i-1\r\nX-Key: k"),
             std::string("i\x80"), std::string("i\0j", 3), std::string(65, 'i') })
        CHECK_FALSE(names_endpoint(entry, key));
}

TEST_CASE("bytes that are no entry name no endpoint, and cost no more than their length")
{
    auto const sound = entry_of(sound_fields());
    for (std::size_t size = 0; size < sound.size(); ++size)
        CHECK_FALSE(names_endpoint(sound.substr(0, size)));
    CHECK_FALSE(names_endpoint("[" + sound + "]"));
    CHECK_FALSE(names_endpoint(sound + sound));
    CHECK_FALSE(names_endpoint_with("zone", "\"\xff\xfe\""));
    constexpr std::size_t deep = 10000;
    CHECK_FALSE(names_endpoint_with("later", std::string(deep, '[') + std::string(deep, ']')));
    constexpr std::size_t megabyte = 1024 * 1024;
    CHECK_FALSE(names_endpoint(std::string(megabyte, ' ')));
    CHECK_FALSE(names_endpoint(std::string(megabyte, 'x')));
}

// Guards against an entry that ends the boxes which read the list.
TEST_CASE("a very deep entry, a number that is too large and a port out of range name no endpoint")
{
    constexpr std::size_t deep = 200'000;
    std::string objects;
    for (std::size_t level = 0; level < deep; ++level)
        objects += "{\"a\":";
    CHECK_FALSE(names_endpoint(std::string(deep, '[') + std::string(deep, ']')));
    CHECK_FALSE(names_endpoint(objects));
    CHECK_FALSE(names_endpoint_with("later", std::string(deep, '[')));
    for (auto const* field : { "slots", "cold_left_ms", "call_seq", "born" }) {
        CAPTURE(field);
        for (auto const* number : { "1e400", "-1e400", "18446744073709551616", "1e18446744073709551616" })
            CHECK_FALSE(names_endpoint_with(field, number));
    }
    for (auto const* port : { "65536", "-1", "0", "99999999999999999999", "eighty", "" }) {
        CAPTURE(port);
        CHECK_FALSE(names_endpoint_with("address", "\"10.0.0.9:" + std::string(port) + "\""));
    }
}
