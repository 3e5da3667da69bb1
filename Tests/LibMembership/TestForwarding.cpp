#include <TestMain.h>

#include <LibMembership/ForwardedRequest.h>
#include <LibMembership/ForwardingTargets.h>
#include <set>

using namespace Membership;
using std::chrono::milliseconds;

namespace {

Instant const start {};
auto const anywhere = [](std::string const&) { return true; };

BoxDirectory boxes(int count, std::uint16_t port = 7)
{
    std::vector<BoxRecord> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        records.push_back(
            { "b" + std::to_string(number), { "127.0.0.1", 1 }, number % 2 == 0 ? "even" : "odd", 0, port });
    BoxDirectory directory;
    directory.replace_all(records);
    return directory;
}

/// Draws 0, 1, 2 and so on.
struct Draws {
    std::size_t operator()(std::size_t limit) { return this->next++ % limit; }
    std::size_t next { 0 };
};

}

TEST_CASE("requests are spread over all other boxes")
{
    auto const known = boxes(10);
    ForwardingTargets const targets;
    Draws draws;
    std::set<std::string> chosen;
    for (int number = 0; number < 100; ++number)
        chosen.insert(targets.choose(known, "b0", {}, anywhere, std::ref(draws), start)->name);
    CHECK(chosen.size() >= 4);
    CHECK_FALSE(chosen.contains("b0"));
}

TEST_CASE("of two boxes the one with the wider link is chosen")
{
    BoxDirectory known;
    known.replace_all({ { "narrow", { "h", 1 }, "d", 10, 7 }, { "wide", { "h", 1 }, "d", 20, 7 } });
    ForwardingTargets const targets;
    Draws draws;
    CHECK(targets.choose(known, "own", {}, anywhere, std::ref(draws), start)->name == "wide");
}

TEST_CASE("boxes that were asked, that take no requests, or in other regions are left out")
{
    ForwardingTargets const targets;
    Draws draws;
    CHECK_FALSE(targets.choose(boxes(1), "b0", {}, anywhere, std::ref(draws), start));
    CHECK_FALSE(targets.choose(boxes(2), "b0", { "b1" }, anywhere, std::ref(draws), start));
    CHECK_FALSE(targets.choose(boxes(5, 0), "b0", {}, anywhere, std::ref(draws), start));
    auto const in_even = [](std::string const& domain) { return domain == "even"; };
    CHECK_FALSE(targets.choose(boxes(2), "b0", {}, in_even, std::ref(draws), start));
    CHECK(targets.choose(boxes(3), "b0", {}, in_even, std::ref(draws), start)->name == "b2");
}

TEST_CASE("a box that could not serve is left out for a second, unless it serves meanwhile")
{
    ForwardingTargets targets;
    Draws draws;
    targets.mark_unable("b1", start);
    CHECK_FALSE(targets.choose(boxes(2), "b0", {}, anywhere, std::ref(draws), start + milliseconds(900)));
    CHECK(targets.choose(boxes(2), "b0", {}, anywhere, std::ref(draws), start + milliseconds(1100)));
    targets.mark_unable("b1", start);
    targets.mark_able("b1");
    CHECK(targets.choose(boxes(2), "b0", {}, anywhere, std::ref(draws), start));
}

TEST_CASE("what boxes tell each other of a forwarded request is read as it was written")
{
    ForwardedRequest const request { 12, "desk", 2, { "i-1", "i-2" } };
    CHECK(decode_forwarded_request(encode(request)) == request);
    ForwardedRequest const begun { 12, "model", 1, {}, "v1.2" };
    CHECK(decode_forwarded_request(encode(begun)) == begun);
    ForwardedAnswer const of_version { 13, {}, {}, "v1.2" };
    CHECK(decode_forwarded_answer(encode(of_version)) == of_version);
    ForwardedAnswer const refused { 12, Core::Reason::EndpointsAtLimit, milliseconds(70) };
    CHECK(decode_forwarded_answer(encode(refused)) == refused);
    ForwardedAnswer const served { 12, {}, {} };
    CHECK(decode_forwarded_answer(encode(served)) == served);
}

TEST_CASE("what can't be read is nothing")
{
    for (auto const* text : { "", "0", "zz", "0g", "ffffffff", "08 1" }) {
        CAPTURE(text);
        CHECK_FALSE(decode_forwarded_request(text));
    }
    CHECK_FALSE(decode_forwarded_request(encode(ForwardedRequest { 1, "", 1, {} })));
    CHECK_FALSE(decode_forwarded_request(encode(ForwardedRequest { 1, "desk", 0, {} })));
    CHECK_FALSE(decode_forwarded_request(std::string(100'000, '0')));
    CHECK_FALSE(decode_forwarded_answer("ffff"));
}
