#include <TestMain.h>

#include <LibGateway/EventSplitter.h>

namespace {

std::string const three = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";

}

TEST_CASE("wherever a stream is cut, only whole events are passed on and nothing is lost")
{
    for (std::size_t first = 0; first <= three.size(); ++first) {
        for (std::size_t second = first; second <= three.size(); ++second) {
            Gateway::EventSplitter splitter;
            auto passed = splitter.append(three.substr(0, first));
            passed += splitter.append(three.substr(first, second - first));
            CHECK(passed + splitter.partial_event() == three.substr(0, second));
            CHECK((passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\n\r\n")));
            passed += splitter.append(three.substr(second));
            CHECK(passed == three);
            CHECK(splitter.last_id() == "2");
        }
    }
}

TEST_CASE("an id counts only with its whole event, and a dropped part leaves no trace")
{
    Gateway::EventSplitter splitter;
    CHECK_FALSE(splitter.last_id());
    CHECK(splitter.append("id: 1\ndata: a\n\nid: 2\ndata") == "id: 1\ndata: a\n\n");
    CHECK(splitter.last_id() == "1");
    splitter.discard_partial_event();
    CHECK(splitter.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.last_id() == "2");
}

TEST_CASE("text that only looks like an id is none")
{
    Gateway::EventSplitter splitter;
    static_cast<void>(splitter.append("data: id: 7\nidle: 8\n\n"));
    CHECK_FALSE(splitter.last_id());
    static_cast<void>(splitter.append("id:9\n\n"));
    CHECK(splitter.last_id() == "9");
}

TEST_CASE("an id that is too long to be sent back leaves the position unknown")
{
    Gateway::EventSplitter splitter;
    static_cast<void>(splitter.append("id: 1\n\nid: " + std::string(2000, '7') + "\n\n"));
    CHECK_FALSE(splitter.last_id());
    static_cast<void>(splitter.append("id: 3\n\n"));
    CHECK(splitter.last_id() == "3");
}
