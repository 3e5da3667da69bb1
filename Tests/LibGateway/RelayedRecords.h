#pragma once

#include <LibGateway/ControlRecords.h>

/// Boxes that exchange records without a store or a network.
namespace RelayedRecords {

using namespace Gateway;
using Core::Instant;

inline Instant at(std::int64_t milliseconds)
{
    return Instant { std::chrono::milliseconds(milliseconds) };
}

inline Adapter::KeyedRecord configuration(int version)
{
    return { "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})" };
}

inline Adapter::KeyedRecord endpoint(std::string const& name, std::string const& state = "ready")
{
    return { name,
        R"({"service":"s","address":"10.0.0.1:80","zone":"","version":"v1","slots":4,"cold_left_ms":0,"call_seq":1,"state":")"
            + state + "\"}" };
}

constexpr std::size_t any_length = 1'000'000;

/// Where the log of the endpoints ends at that moment: it grows with the time.
inline std::uint64_t offset_at(Instant moment)
{
    return static_cast<std::uint64_t>(moment.time_since_epoch().count());
}

/// A box's records, without a store or other boxes.
struct Box {
    explicit Box(int number)
        : state(this->context, Routing::RouterSettings {}, 1)
        , records(this->state, "b" + std::to_string(number), "a")
    {
    }

    /// Reads both topics completely.
    void read(int version, std::vector<Adapter::KeyedRecord> const& endpoints, Instant asked_at)
    {
        this->records.set_next(Adapter::Topic::Operator, 10);
        this->records.apply_operator_records({ configuration(version) }, asked_at, Coverage::WholeList);
        this->apply_endpoints(endpoints, asked_at, Coverage::WholeList);
    }

    /// Applies records that a read of the endpoints brought.
    void apply_endpoints(std::vector<Adapter::KeyedRecord> const& endpoints, Instant asked_at, Coverage coverage)
    {
        this->records.set_next(Adapter::Topic::Endpoints, offset_at(asked_at));
        this->records.apply_endpoint_records(endpoints, asked_at, coverage);
    }

    [[nodiscard]] std::uint64_t version() const { return this->state.router.configuration()->version(); }

    asio::io_context context;
    GatewayState state;
    ControlRecords records;
};

/// One request of a box to a relay. Both use the same clock, and answers take no time.
inline bool ask(Box& requester, Box& relay, Instant now, std::size_t max_configuration_bytes = any_length)
{
    auto const answer = relay.records.answer(requester.records.request(now), max_configuration_bytes, now);
    REQUIRE(answer);
    return requester.records.apply_relayed(*answer, "a", now);
}

}
