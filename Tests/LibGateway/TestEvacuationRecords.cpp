#include <TestMain.h>

#include "RelayedRecords.h"

namespace {

using namespace RelayedRecords;

Adapter::KeyedRecord evacuation(std::string const& domain)
{
    return { "evacuate/" + domain, "{}" };
}

Adapter::KeyedRecord evacuation_end(std::string const& domain)
{
    return { "evacuate/" + domain, std::nullopt };
}

/// Applies records of the operator's topic that were appended up to this offset.
void append(Box& box, std::uint64_t next, std::vector<Adapter::KeyedRecord> const& records)
{
    box.records.set_next(Adapter::Topic::Operator, next);
    box.records.apply_operator_records(records, Core::monotonic_now(), Coverage::UpToEnd);
}

/// Endpoints that may get requests, of one in failure domain "a" and one in "b".
std::size_t usable(Box const& box)
{
    return box.state.router.usable_endpoints("s", Core::monotonic_now());
}

std::vector<Adapter::KeyedRecord> endpoints_in_two_domains()
{
    auto const in_domain = [](std::string const& domain) {
        return Adapter::KeyedRecord { "i-" + domain,
            R"({"service":"s","address":"10.0.0.1:80","version":"v1","slots":4,"cold_left_ms":0,"call_seq":1,"state":"ready","zone":")"
                + domain + "\"}" };
    };
    return { in_domain("a"), in_domain("b") };
}

/// A box that has read of an evacuation, and a relay that has not.
struct OutdatedRelay {
    OutdatedRelay()
    {
        this->relay.read(7, endpoints_in_two_domains(), Core::monotonic_now());
        this->box.read(7, endpoints_in_two_domains(), Core::monotonic_now());
        append(this->box, 12, { evacuation("a") });
    }

    Box relay { 1 };
    Box box { 2 };
};

}

TEST_CASE("an evacuation reaches the boxes behind a relay, and so does its end")
{
    Box relay(1);
    Box box(2);
    relay.read(7, endpoints_in_two_domains(), Core::monotonic_now());
    CHECK(ask(box, relay, Core::monotonic_now()));
    CHECK(usable(box) == 2);
    append(relay, 11, { evacuation("a") });
    CHECK(usable(relay) == 1);
    CHECK(ask(box, relay, Core::monotonic_now()));
    CHECK(usable(box) == 1);
    append(relay, 12, { evacuation_end("a") });
    CHECK(ask(box, relay, Core::monotonic_now()));
    CHECK(usable(box) == 2);
}

TEST_CASE("a box that starts during an evacuation applies it")
{
    Box box(1);
    box.records.set_next(Adapter::Topic::Operator, 10);
    box.records.apply_operator_records(
        { configuration(7), evacuation("a") }, Core::monotonic_now(), Coverage::WholeList);
    box.apply_endpoints(endpoints_in_two_domains(), Core::monotonic_now(), Coverage::WholeList);
    CHECK(usable(box) == 1);
}

TEST_CASE("an outdated relay takes no evacuation back and brings none back")
{
    OutdatedRelay site;
    auto& [relay, box] = site;
    CHECK(ask(box, relay, Core::monotonic_now()));
    CHECK(usable(box) == 1);
    append(relay, 13, { evacuation("b") });
    append(box, 14, { evacuation_end("a"), evacuation_end("b") });
    CHECK(ask(box, relay, Core::monotonic_now()));
    CHECK(usable(box) == 2);
}

TEST_CASE("the answer of a relay that doesn't know of evacuations takes none back")
{
    OutdatedRelay site;
    auto& [relay, box] = site;
    auto const now = Core::monotonic_now();
    append(relay, 20, {});
    auto answer = relay.records.answer(box.records.request(now), any_length, now);
    REQUIRE(answer);
    answer->evacuated_domains.reset();
    CHECK(box.records.apply_relayed(*answer, "a", now));
    CHECK(usable(box) == 1);
}

TEST_CASE("an evacuation that can't be read changes nothing")
{
    Box box(1);
    box.read(7, endpoints_in_two_domains(), Core::monotonic_now());
    append(box, 11, { evacuation("a") });
    append(box, 12, { { "evacuate/a", "{" }, { "evacuate/b", "{" }, { "evacuate/", "{}" } });
    CHECK(usable(box) == 1);
    append(box, 13, { evacuation_end("a") });
    CHECK(usable(box) == 2);
}
