#include <TestMain.h>

#include "DeskSite.h"

namespace {

std::string entry_with(std::string const& field, std::string const& value)
{
    std::map<std::string, std::string> fields { { "service", "\"desk\"" }, { "address", "\"127.0.0.1:9\"" },
        { "zone", "\"hall-1\"" }, { "version", "\"v1\"" }, { "slots", "64" }, { "state", "\"ready\"" },
        { "cold_left_ms", "0" }, { "call_seq", "3" } };
    fields[field] = value;
    std::string text = "{";
    for (auto const& [name, content] : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + content;
    return text + "}";
}

std::string nested(std::string const& opening, std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += opening;
    return text;
}

std::vector<std::string> odd_entries()
{
    constexpr std::size_t deep = 60'000;
    return { nested("[", deep), nested("[", deep) + nested("]", deep), nested("{\"a\":", deep / 2),
        entry_with("later", nested("[", deep) + nested("]", deep)), entry_with("slots", "1e400"),
        entry_with("born", "18446744073709551616"), entry_with("call_seq", "-1e400"),
        entry_with("address", "\"127.0.0.1:65536\""), entry_with("address", "\"127.0.0.1:-1\""),
        entry_with("address", "\"127.0.0.1:eighty\""), entry_with("state", "7"), std::string("\xff\xfe\x00\x80", 4),
        "null", std::string(200'000, 'x') };
}

}

// Guards against boxes that end, or stop following the list, at an entry that another writer left there.
TEST_CASE("boxes follow the list of endpoints past odd entries, also boxes that start with them there")
{
    DeskSite site;
    int number = 0;
    for (auto const& entry : odd_entries())
        site.write_entry("odd-" + std::to_string(number++), entry);
    site.start_server("d3", "desk");
    site.start_one_box("b4");
    site.wait_ready("b4");
    for (auto const* box : { "b1", "b2", "b3", "b4" })
        Harness::wait_until(std::string(box) + " lists the endpoint that came after the odd entries",
            [&] { return site.metric(box, "cleatbeam_endpoints ") == 3; });
    for (auto const* server : { "d1", "d2" })
        site.process(server).kill();
    for (auto const* box : { "b1", "b2", "b3", "b4" }) {
        Harness::wait_until(std::string(box) + " sends to that endpoint", [&] {
            auto const attempt = "n" + std::to_string(site.sent++);
            return site.send(box, "/once/x", attempt).status == 200 && site.runs(attempt, { "d3" }) == 1;
        });
        CHECK_FALSE(site.process(box).has_ended());
    }
}

// Guards against boxes that serve nothing after a restart because a key of another writer stands where a page of the
// list ends: the store refuses a query with that key in it, or goes on somewhere else.
TEST_CASE("boxes that all start anew read a list of several pages past odd keys")
{
    DeskSite site;
    site.start_server("d3", "desk");
    constexpr int page_items = 3;
    site.set_page_items(page_items);
    // Keys that sort before those of the servers, in numbers that shift which key stands at the end of a page.
    for (auto const* key : { "a b", "a&after_rev=zz", "a#c", "a%64", "a%zz", "a+b", "a/b?c=d", "b\x01", "c&d" })
        site.write_entry(key, entry_with("state", "7"));
    site.write_entry(std::string("d1\xff"), "{}");
    site.write_entry("d2 x", "{}");
    for (auto const* box : DeskSite::boxes)
        site.process(box).kill();
    for (auto const* box : DeskSite::boxes)
        site.start_one_box(box);
    for (auto const* box : DeskSite::boxes) {
        site.wait_ready(box);
        Harness::wait_until(
            std::string(box) + " lists all endpoints", [&] { return site.metric(box, "cleatbeam_endpoints ") == 3; });
        auto const attempt = "n" + std::to_string(site.sent++);
        CHECK(site.send(box, "/once/x", attempt).status == 200);
    }
}
