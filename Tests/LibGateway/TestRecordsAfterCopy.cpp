#include <TestMain.h>

#include "RelayedRecords.h"

namespace {

using namespace RelayedRecords;

constexpr std::uint64_t original_era = 1;
constexpr std::uint64_t copied_era = 2;

/// A box that read a version four seconds ago and whose store was restored from a copy a second later.
struct BoxAfterCopy : Box {
    BoxAfterCopy(int number, int version)
        : Box(number)
    {
        auto const read_at = this->now - std::chrono::seconds(4);
        static_cast<void>(this->records.observe_era(original_era, {}, read_at));
        this->read(version, {}, read_at);
        static_cast<void>(this->records.observe_era(copied_era, this->now - std::chrono::seconds(3), this->now));
    }

    [[nodiscard]] Core::Duration configuration_age() const { return this->state.router.configuration_age(this->now); }

    Instant now { Core::monotonic_now() };
};

}

// Guards against a box that never held its lease again: it had the place in the log from a relay, after the record.
TEST_CASE("a box whose relay has not confirmed its version in the store's copy reads the version there itself")
{
    BoxAfterCopy relay(1, 5);
    BoxAfterCopy box(2, 1);
    relay.records.set_next(Adapter::Topic::Operator, 10);
    relay.apply_endpoints({}, relay.now, Coverage::WholeList);
    REQUIRE(ask(box, relay, box.now));
    REQUIRE(box.version() == 5);
    CHECK(!box.records.next(Adapter::Topic::Operator));
    box.read(5, {}, box.now);
    CHECK(box.configuration_age() == Core::Duration { 0 });
}

TEST_CASE("a box whose relay has confirmed its version in the store's copy goes on where the relay is in the log")
{
    BoxAfterCopy relay(1, 5);
    BoxAfterCopy box(2, 1);
    relay.read(5, {}, relay.now);
    REQUIRE(ask(box, relay, box.now));
    REQUIRE(box.version() == 5);
    CHECK(box.records.next(Adapter::Topic::Operator) == 10);
    auto const read_at = box.now + std::chrono::milliseconds(100);
    box.records.apply_operator_records({}, read_at, Coverage::UpToEnd);
    CHECK(box.state.router.configuration_age(read_at) == Core::Duration { 0 });
}
