#include <TestMain.h>

#include <platform/StoreRecords.h>

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>
#include <random>

// Random records with fixed seeds, each beside the values or the fault that it was made from. What is valid JSON is
// decided by a second parser.

namespace {

using namespace Adapter;
using Document = nlohmann::ordered_json;

class Draw {
public:
    explicit Draw(std::uint64_t seed)
        : random(seed)
    {
    }

    std::size_t below(std::size_t bound) { return this->random() % bound; }
    bool one_in(std::size_t count) { return this->below(count) == 0; }

    std::string word()
    {
        static constexpr std::string_view signs = "abcxyz019-./ \"\\\n";
        std::string drawn = this->one_in(8) ? "caf\u00e9 and a text longer than what any string holds in itself" : "";
        auto const size = this->below(12);
        for (std::size_t index = 0; index < size; ++index)
            drawn += signs[this->below(signs.size())];
        return drawn;
    }

    /// The document with its members in any order, spaces, escapes, members nobody knows, and members that a later one
    /// of the same name replaces.
    std::string written(Document const& document)
    {
        if (document.is_object())
            return this->written_members(document);
        if (document.is_string())
            return this->written_text(document.get<std::string>());
        if (!document.is_array())
            return this->space() + document.dump() + this->space();
        std::string text = "[" + this->space();
        for (std::size_t index = 0; index < document.size(); ++index)
            text += (index == 0 ? "" : ",") + this->written(document[index]);
        return text + "]" + this->space();
    }

private:
    std::string space() { return this->one_in(6) ? "\n " : ""; }

    std::string written_text(std::string const& value)
    {
        constexpr unsigned char first_of_two_bytes = 0x80;
        std::string text = "\"";
        for (unsigned char const sign : value) {
            bool const may_stand_plain = sign >= ' ' && sign != '"' && sign != '\\';
            std::array<char, 8> escaped {};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", sign);
            if (sign >= first_of_two_bytes || (may_stand_plain && !this->one_in(20)))
                text += static_cast<char>(sign);
            else
                text += escaped.data();
        }
        return text + "\"" + this->space();
    }

    std::string written_members(Document const& document)
    {
        std::vector<std::string> members;
        for (auto const& [name, value] : document.items()) {
            auto const member = this->written_text(name) + ":" + this->written(value);
            auto const replaced = this->written_text(name) + ":" + this->decoy() + "," + member;
            members.push_back(this->one_in(15) ? replaced : member);
        }
        if (this->one_in(4))
            members.push_back("\"unknown\":" + this->decoy());
        std::ranges::shuffle(members, this->random);
        std::string text = this->space() + "{" + this->space();
        for (std::size_t index = 0; index < members.size(); ++index)
            text += (index == 0 ? "" : ",") + members[index];
        return text + "}" + this->space();
    }

    std::string decoy()
    {
        static constexpr std::array decoys { "null", "[]", "[{}]", "{\"routes\":[1,[2]]}", "-1.5e3",
            "[[\"x\"],{\"a\":{}}]", "\"\\ud83d\\ude00\"", "true", "[{\"name\":\"x\",\"max_conns\":7}]" };
        return decoys.at(this->below(decoys.size()));
    }

    std::mt19937_64 random;
};

/// A document and what it says.
struct Drawn {
    Document document;
    Routing::Configuration expected;
};

/// As the reader rounds: down to a whole microsecond, of a number of seconds that is not always exact.
Core::Duration from_milliseconds(std::size_t milliseconds)
{
    return Core::from_seconds(static_cast<double>(milliseconds) / 1000);
}

void draw_services(Draw& draw, Document& written, Routing::Route& route)
{
    auto const count = draw.below(3);
    if (count == 0) {
        route.services = { { draw.word(), 1 } };
        written["service"] = route.services[0].service;
        return;
    }
    written["split"] = Document::array();
    for (std::size_t index = 0; index < count; ++index) {
        route.services.push_back({ draw.word(), static_cast<double>(draw.below(1000)) / 10 });
        written["split"].push_back(
            { { "service", route.services.back().service }, { "weight", route.services.back().weight } });
    }
}

void draw_route(Draw& draw, Drawn& drawn)
{
    static constexpr std::array kinds { "idempotent", "non_idempotent", "streaming" };
    auto const kind = draw.below(kinds.size());
    auto const timeout = 1 + draw.below(9000);
    Routing::Route route;
    route.name = draw.word();
    route.host = draw.word();
    route.path_prefix = draw.word();
    route.kind = static_cast<Routing::RouteKind>(kind);
    route.timeout = from_milliseconds(timeout);
    route.goal = route.timeout;
    Document written { { "name", route.name }, { "host", route.host }, { "path_prefix", route.path_prefix },
        { "kind", kinds.at(kind) }, { "timeout_ms", timeout } };
    draw_services(draw, written, route);
    if (draw.one_in(2)) {
        route.goal = from_milliseconds(timeout / 2);
        written["goal_ms"] = timeout / 2;
    }
    if (draw.one_in(2))
        written["priority"] = route.priority = static_cast<unsigned>(draw.below(10));
    if (draw.one_in(2))
        written["max_attempts"] = route.max_attempts = static_cast<unsigned>(1 + draw.below(4));
    if (draw.one_in(2))
        written["public"] = route.is_public = draw.one_in(2);
    if (draw.one_in(2))
        written["can_resume"] = route.can_resume = draw.one_in(2);
    if (draw.one_in(4))
        written["sticky"] = nullptr;
    drawn.document["routes"].push_back(written);
    drawn.expected.routes.push_back(route);
}

void draw_service(Draw& draw, Drawn& drawn)
{
    Routing::Service service { draw.word(), static_cast<unsigned>(draw.below(1000)), {} };
    Document written { { "name", service.name }, { "max_conns", service.max_connections } };
    if (draw.one_in(2)) {
        service.engine = Routing::EngineTraits { static_cast<unsigned>(draw.below(100)), draw.below(1000000),
            static_cast<unsigned>(1 + draw.below(9)) };
        written["engine"] = { { "slots", service.engine->slots }, { "kv_cache_tokens", service.engine->cache_tokens },
            { "stride", service.engine->tokens_per_event } };
    }
    drawn.document["services"].push_back(written);
    drawn.expected.services.push_back(service);
}

void draw_account(Draw& draw, Drawn& drawn)
{
    Routing::ClientAccount account { draw.word(), {}, {} };
    for (std::size_t count = draw.below(4); count > 0; --count)
        account.api_keys.push_back(draw.word());
    Document written { { "name", account.name }, { "api_keys", account.api_keys } };
    if (draw.one_in(2))
        written["priority"] = *(account.priority = static_cast<unsigned>(draw.below(5)));
    drawn.document["tenants"].push_back(written);
    drawn.expected.accounts->push_back(account);
}

Drawn draw_configuration(Draw& draw)
{
    Drawn drawn;
    drawn.expected.version = draw.below(std::size_t { 1 } << 50U);
    drawn.document
        = { { "version", drawn.expected.version }, { "routes", Document::array() }, { "services", Document::array() } };
    for (std::size_t count = draw.below(30); count > 0; --count)
        draw_route(draw, drawn);
    for (std::size_t count = draw.below(5); count > 0; --count)
        draw_service(draw, drawn);
    if (draw.one_in(2)) {
        drawn.document["tenants"] = Document::array();
        drawn.expected.accounts.emplace();
        for (std::size_t count = draw.below(5); count > 0; --count)
            draw_account(draw, drawn);
    }
    if (draw.one_in(2)) {
        drawn.expected.limits.max_header_bytes = static_cast<std::uint32_t>(draw.below(100000));
        drawn.document["limits"] = { { "max_header_bytes", drawn.expected.limits.max_header_bytes } };
    }
    return drawn;
}

/// Breaks one field, and tells the fault. Of faults in several fields the first of this order is told: the version, the
/// routes, the services, the limits, the accounts.
std::string break_field(Draw& draw, Document& holder, std::string const& path, std::string const& field, bool is_text)
{
    switch (draw.below(3)) {
    case 0:
        holder.erase(field);
        return path + "/" + field + ": is missing";
    case 1:
        holder[field] = nullptr;
        return path + "/" + field + ": is missing";
    default:
        holder[field] = Document::object();
        return path + "/" + field + ": must be " + (is_text ? "text" : "a number");
    }
}

std::string break_entry(Draw& draw, Document& document, std::string const& list, std::vector<std::string> const& fields)
{
    auto const index = draw.below(document[list].size());
    auto const path = "/" + list + "/" + std::to_string(index);
    if (draw.one_in(4)) {
        document[list][index] = draw.one_in(2) ? Document(3) : Document::array({ Document::object() });
        return path + ": must be an object";
    }
    auto const& field = fields[draw.below(fields.size())];
    return break_field(draw, document[list][index], path, field, !field.ends_with("_ms"));
}

std::string encoded(std::string const& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

constexpr std::uint64_t rounds = 1500;

}

TEST_CASE("a configuration is read as it was meant, however it is written")
{
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        CAPTURE(seed);
        Draw draw(seed);
        auto const drawn = draw_configuration(draw);
        auto const text = draw.written(drawn.document);
        CAPTURE(text);
        REQUIRE(nlohmann::json::accept(text));
        Core::LastReason reason;
        auto const read = decode_configuration(text, reason);
        REQUIRE_MESSAGE(read, reason.text);
        CHECK(*read == drawn.expected);
    }
}

TEST_CASE("of several faults in a configuration the same one is told, however it is written")
{
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        CAPTURE(seed);
        Draw draw(seed);
        auto drawn = draw_configuration(draw);
        auto& document = drawn.document;
        std::vector<std::string> faults;
        if (draw.one_in(6))
            faults.push_back(break_field(draw, document, "", "version", false));
        if (!document["routes"].empty() && draw.one_in(2))
            faults.push_back(break_entry(draw, document, "routes", { "name", "host", "path_prefix", "timeout_ms" }));
        if (!document["services"].empty() && draw.one_in(2))
            faults.push_back(break_entry(draw, document, "services", { "name" }));
        if (draw.one_in(4)) {
            document["limits"] = { { "idle_timeout_ms", "soon" } };
            faults.emplace_back("/limits/idle_timeout_ms: must be a number");
        }
        if (draw.one_in(4)) {
            document["tenants"] = draw.one_in(2) ? Document("all") : Document::object();
            faults.emplace_back("/tenants: must be a list");
        }
        auto const text = draw.written(document);
        CAPTURE(text);
        Core::LastReason reason;
        auto const read = decode_configuration(text, reason);
        CHECK(read.has_value() == faults.empty());
        CHECK(reason.text == (faults.empty() ? "" : faults.front()));
    }
}

TEST_CASE("a list that is missing or no list is told")
{
    for (auto const* list : { "routes", "services" }) {
        Document document { { "version", 1 }, { "routes", Document::array() }, { "services", Document::array() } };
        document[list] = 5;
        Core::LastReason reason;
        CHECK_FALSE(decode_configuration(document.dump(), reason));
        CHECK(reason.text == std::string("/") + list + ": must be a list");
        document.erase(list);
        CHECK_FALSE(decode_configuration(document.dump(), reason));
        CHECK(reason.text == std::string("/") + list + ": is missing");
    }
}

TEST_CASE("text that is not JSON is never taken for a configuration")
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        CAPTURE(seed);
        Draw draw(seed);
        auto text = draw.written(draw_configuration(draw).document);
        auto const place = draw.below(text.size());
        static constexpr std::string_view signs = "{}[],:\"\\0e.-+n\xff\x01 ";
        auto const sign = signs[draw.below(signs.size())];
        switch (draw.below(4)) {
        case 0:
            text.resize(place);
            break;
        case 1:
            text.erase(place, 1);
            break;
        case 2:
            text[place] = sign;
            break;
        default:
            text.insert(place, 1, sign);
        }
        CAPTURE(text);
        Core::LastReason reason;
        auto const read = decode_configuration(text, reason);
        bool const is_json = nlohmann::json::accept(text);
        broken += is_json ? 0 : 1;
        CHECK((reason.text == "not valid JSON") == !is_json);
        CHECK((is_json || !read));
    }
    CHECK(broken > rounds / 2);
}

TEST_CASE("nothing but spaces may stand behind a document")
{
    std::string const text = R"({"version":1,"routes":[],"services":[]})";
    Core::LastReason reason;
    CHECK(decode_configuration(text + " \n\t", reason));
    for (auto const* behind : { "x", "}", " {}", "\n,", "1", "\"" }) {
        CAPTURE(behind);
        reason.text.clear();
        CHECK_FALSE(decode_configuration(text + behind, reason));
        CHECK(reason.text == "not valid JSON");
    }
}

TEST_CASE("a number that no double holds makes a text invalid")
{
    Core::LastReason reason;
    CHECK_FALSE(decode_configuration(R"({"version":1e999,"routes":[],"services":[]})", reason));
    CHECK(reason.text == "not valid JSON");
    auto const read = decode_configuration(R"({"version":1.0e1,"routes":[],"services":[]})", reason);
    REQUIRE(read);
    CHECK(read->version == 10);
}

TEST_CASE("newest records are read byte for byte")
{
    for (std::uint64_t seed = 1; seed <= rounds / 10; ++seed) {
        CAPTURE(seed);
        Draw draw(seed);
        std::vector<KeyedRecord> expected;
        auto items = Document::array();
        for (std::size_t count = draw.below(6); count > 0; --count) {
            std::string bytes(draw.below(3000), '\0');
            std::ranges::generate(bytes, [&] { return static_cast<char>(draw.below(256)); });
            items.push_back({ { "tls_key", "k" + std::to_string(count) }, { "value", encoded(bytes) } });
            expected.push_back({ "k" + std::to_string(count), bytes });
        }
        // An empty page names no key to go on after, so no further one can follow it.
        bool const is_truncated = !items.empty() && draw.one_in(2);
        Document const document { { "items", items }, { "truncated", is_truncated }, { "end", 6 } };
        Core::LastReason reason;
        auto const page = decode_newest(draw.written(document), reason);
        REQUIRE_MESSAGE(page, reason.text);
        CHECK(page->records == expected);
        CHECK(page->end == 6);
    }
}
