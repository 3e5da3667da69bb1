#include <TestMain.h>

#include <LibGateway/EventStreamPosition.h>

#include <array>
#include <set>
#include <string>

using Gateway::EventStreamPosition;

namespace {

/// The offsets behind which the stream is between two events, when its bytes arrive one by one.
std::set<std::size_t> boundaries(std::string_view text)
{
    EventStreamPosition position;
    std::set<std::size_t> found;
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        if (position.advance(text.substr(offset, 1)))
            found.insert(offset + 1);
    }
    return found;
}

}

TEST_CASE("an event ends with an empty line, whatever ends the lines")
{
    CHECK(boundaries("id: 1\n\ndata: b\n\n") == std::set<std::size_t> { 7, 16 });
    CHECK(boundaries("id: 1\r\rdata: b\r\r") == std::set<std::size_t> { 7, 16 });
    CHECK(boundaries("id: 1\r\n\r\ndata: b\r\n\r\n") == std::set<std::size_t> { 9, 20 });
    CHECK(boundaries("id: 1\n\r\ndata: b\n\n") == std::set<std::size_t> { 7, 8, 17 });
}

TEST_CASE("a byte order mark and comments belong to no event")
{
    CHECK(boundaries("\xEF\xBB\xBF\n") == std::set<std::size_t> { 1, 2, 3, 4 });
    CHECK(boundaries("\xEF\xBB\xBF:a\n") == std::set<std::size_t> { 1, 2, 3, 6 });
    CHECK(boundaries("data: \xEF\xBB\xBF\n\n") == std::set<std::size_t> { 11 });
    CHECK(boundaries("id: 1\n:a\n\n:b\n:c") == std::set<std::size_t> { 10, 13 });
}

TEST_CASE("wherever a stream is cut into pieces, it ends between two events only where it does as a whole")
{
    constexpr std::array texts { std::string_view("\xEF\xBB\xBFid: 1\r\ndata: a\r\n\r\n:c\r\nid: 2\r\n\r\n"),
        std::string_view("id: 1\rdata: a\r\r\rid: 2\r\r"), std::string_view("id: 1\ndata: a\n\n\nid: 2\n\n") };
    for (auto const text : texts) {
        auto const expected = boundaries(text);
        for (std::size_t first = 0; first <= text.size(); ++first) {
            for (std::size_t second = first; second <= text.size(); ++second) {
                EventStreamPosition position;
                position.advance(text.substr(0, first));
                position.advance(text.substr(first, second - first));
                CHECK(position.is_inside_event() == (second > 0 && !expected.contains(second)));
            }
        }
    }
}

TEST_CASE("a stream has events once one has ended")
{
    EventStreamPosition position;
    position.advance("\n\n:a\n\n");
    CHECK_FALSE(position.has_events());
    position.advance("data: a\n");
    CHECK_FALSE(position.has_events());
    position.advance("\n");
    CHECK(position.has_events());
}
