#include <TestMain.h>

#include <LibServer/ModelCall.h>

namespace {

using namespace Server;
using Field = ModelCall::Field;

ModelCall parsed(std::string const& body)
{
    auto const result = parse_model_call(body);
    REQUIRE(std::holds_alternative<ModelCall>(result));
    return std::get<ModelCall>(result);
}

JsonFault fault(std::string const& body)
{
    auto const result = parse_model_call(body);
    REQUIRE(std::holds_alternative<JsonFault>(result));
    return std::get<JsonFault>(result);
}

}

TEST_CASE("the fields of a call are found, whatever stands between them")
{
    auto const call = parsed(
        R"({"a":{"model":"inner","messages":[1]},"model":"m","b":[[{"stream":1}]],"stream":true,"messages":[{"x":"y"}]})");
    CHECK(call.is_object);
    CHECK(call.model == Field::Text);
    CHECK(call.model_name == "m");
    CHECK(call.stream == Field::True);
    CHECK(call.messages == Field::List);
    CHECK(call.prompt == Field::Absent);
    CHECK(call.prefix_hash != 0);
}

TEST_CASE("each type of a field is told from the others")
{
    CHECK(parsed(R"({"messages":[]})").messages == Field::EmptyList);
    CHECK(parsed(R"({"messages":[[]]})").messages == Field::List);
    CHECK(parsed(R"({"messages":[null]})").messages == Field::List);
    CHECK(parsed(R"({"messages":{"a":1}})").messages == Field::Other);
    CHECK(parsed(R"({"prompt":"p"})").prompt == Field::Text);
    CHECK(parsed(R"({"prompt":["p"]})").prompt == Field::List);
    CHECK(parsed(R"({"prompt":7})").prompt == Field::Other);
    CHECK(parsed(R"({"stream":null})").stream == Field::Null);
    CHECK(parsed(R"({"stream":false})").stream == Field::False);
    CHECK(parsed(R"({"model":7})").model == Field::Other);
    CHECK_FALSE(parsed("[1]").is_object);
    CHECK_FALSE(parsed("7").is_object);
    CHECK_FALSE(parsed(R"(["model"])").is_object);
}

TEST_CASE("a field that is named twice has its last value")
{
    auto const call = parsed(R"({"model":"one","model":"two","messages":[1],"messages":[]})");
    CHECK(call.model_name == "two");
    CHECK(call.messages == Field::EmptyList);
    CHECK(parsed(R"({"model":"one","model":7})").model_name.empty());
}

TEST_CASE("calls that begin alike have the same hash, others another one")
{
    auto const hash
        = [](std::string const& messages) { return parsed(R"({"messages":)" + messages + "}").prefix_hash; };
    std::string const long_text(600, 't');
    CHECK(hash(R"([{"content":")" + long_text + R"(one"}])") == hash(R"([ {"content": ")" + long_text + R"(two"} ])"));
    CHECK(hash(R"([{"content":"one"}])") != hash(R"([{"content":"two"}])"));
    CHECK(hash(R"([["a"],"b"])") != hash(R"([["a","b"]])"));
    CHECK(parsed(R"({"prompt":"one"})").prefix_hash != parsed(R"({"prompt":"two"})").prefix_hash);
    CHECK(parsed(R"({"model":"m"})").prefix_hash == 0);
}

// Guards against bodies that end the process or take more memory than their bytes: deep nesting, numbers without end.
TEST_CASE("any body is either a call or has a fault")
{
    std::string const deep = R"({"messages":)" + std::string(500000, '[') + std::string(500000, ']') + "}";
    CHECK(parsed(deep).messages == Field::List);
    CHECK_FALSE(fault(R"({"messages":)" + std::string(500000, '[')).is_not_utf8);
    CHECK_FALSE(fault(R"({"a":1e400})").is_not_utf8);
    CHECK_FALSE(fault("").is_not_utf8);
    CHECK_FALSE(fault("{").is_not_utf8);
    CHECK_FALSE(fault(R"({"a":1} x)").is_not_utf8);
    CHECK(fault("{\"a\":\"\xff\"}").is_not_utf8);
}
