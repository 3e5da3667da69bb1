#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/CrashExchange.h>
#include <algorithm>
#include <memory>

using namespace Gateway;
using Audience = CrashExchange::Audience;

namespace {

constexpr Routing::CrashSuspect request { 1, 7 };

Routing::EndpointInstance endpoint(int number)
{
    return { "e" + std::to_string(number), 1000 };
}

/// Boxes that exchange messages through the test, which may drop them, and a store for their records.
struct Boxes {
    struct Box {
        explicit Box(asio::io_context& context)
            : exchange(context, this->metrics)
        {
        }
        GatewayMetrics metrics;
        CrashExchange exchange;
        /// Whether the box receives no messages.
        bool is_cut_off { false };
        /// Entries of the messages that this box sent to all boxes.
        std::size_t entries_sent_to_all { 0 };
    };

    explicit Boxes(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->boxes.push_back(std::make_unique<Box>(this->context));
        for (auto& box : this->boxes) {
            box->exchange.set_transport([this, sender = box.get()](auto const& bytes,
                                            Audience audience) { this->deliver(*sender, bytes, audience); },
                [this](auto const& key, auto const& value) { this->write(key, value); });
            asio::co_spawn(this->context, box->exchange.run(), asio::detached);
        }
    }

    void deliver(Box& sender, std::string const& bytes, Audience audience)
    {
        auto const message = Membership::decode_crashes(bytes);
        REQUIRE(message);
        if (audience == Audience::AllBoxes)
            sender.entries_sent_to_all += message->crashes.size() + message->cleared.size() + message->answering.size();
        for (auto& box : this->boxes) {
            if (box.get() != &sender && !box->is_cut_off)
                box->exchange.receive(*message);
        }
    }

    void write(std::string const& key, std::optional<std::string> const& value)
    {
        ++this->writes;
        if (value)
            this->store[key] = *value;
        else
            this->store.erase(key);
    }

    /// Runs all boxes for this long.
    void run_for(Core::Duration time)
    {
        asio::steady_timer timer(this->context, time);
        bool is_over = false;
        timer.async_wait([&](error_code) { is_over = true; });
        REQUIRE(run_until(this->context, [&] { return is_over; }));
    }

    CrashExchange& exchange(std::size_t index) { return this->boxes.at(index)->exchange; }

    [[nodiscard]] unsigned crashes_at(std::size_t index) { return this->exchange(index).status(request).crashes; }
    [[nodiscard]] bool is_refused_at(std::size_t index)
    {
        return this->exchange(index).status(request).refused_for.has_value();
    }
    [[nodiscard]] bool all_count(unsigned crashes)
    {
        for (std::size_t index = 0; index < this->boxes.size(); ++index) {
            if (this->crashes_at(index) != crashes)
                return false;
        }
        return true;
    }

    /// Reports three crashes of the request, each once all boxes have received the one before.
    void crash_three_times()
    {
        for (unsigned count = 1; count <= Routing::CrashLedger::refusal_threshold; ++count) {
            this->exchange(0).report_crash({ request, endpoint(static_cast<int>(count)), count });
            REQUIRE(run_until(this->context, [&] { return this->boxes[1]->is_cut_off || this->all_count(count); }));
        }
    }

    asio::io_context context;
    std::vector<std::unique_ptr<Box>> boxes;
    std::map<std::string, std::string> store;
    int writes { 0 };
};

}

TEST_CASE("crashes reach all boxes, and a refused request is written to the store once")
{
    Boxes boxes(4);
    boxes.crash_three_times();
    for (std::size_t index = 0; index < boxes.boxes.size(); ++index)
        CHECK(boxes.is_refused_at(index));
    CHECK(boxes.writes == 1);
    CHECK(boxes.store.size() == 1);

    asio::io_context context;
    Boxes::Box started(context);
    for (auto const& [key, value] : boxes.store)
        started.exchange.apply_stored(key, value);
    CHECK(started.exchange.status(request).refused_for.has_value());
}

TEST_CASE("a box that missed all updates receives the refused request later")
{
    Boxes boxes(3);
    boxes.boxes[1]->is_cut_off = true;
    boxes.crash_three_times();
    // Each of the three crashes is sent three times, and all are lost to the box.
    constexpr std::size_t sends = 9;
    REQUIRE(run_until(boxes.context, [&] { return boxes.boxes[0]->entries_sent_to_all >= sends; }));
    CHECK(boxes.crashes_at(1) == 0);
    boxes.boxes[1]->is_cut_off = false;
    CHECK(run_until(boxes.context, [&] { return boxes.is_refused_at(1); }));
}

TEST_CASE("a successful run at one box clears the request at all boxes and in the store")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    boxes.exchange(2).report_success(request);
    CHECK(run_until(boxes.context, [&] { return boxes.all_count(0); }));
    CHECK(boxes.store.empty());
}

TEST_CASE("a box that missed the clearing is corrected when it sends the crash again")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    boxes.boxes[1]->is_cut_off = true;
    boxes.exchange(2).report_success(request);
    constexpr std::size_t sends = 3;
    REQUIRE(run_until(boxes.context, [&] { return boxes.boxes[2]->entries_sent_to_all >= sends; }));
    REQUIRE(boxes.is_refused_at(1));
    boxes.boxes[1]->is_cut_off = false;
    CHECK(run_until(boxes.context, [&] { return boxes.all_count(0); }));
}

TEST_CASE("an endpoint that answers one box retracts its crash, reported by a box that lost contact, at all boxes")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    auto const now = Core::monotonic_now();
    boxes.exchange(2).endpoint_answered(endpoint(3), { now - std::chrono::minutes(1), now + std::chrono::seconds(1) });
    CHECK(run_until(boxes.context, [&] { return boxes.all_count(2); }));
    CHECK_FALSE(boxes.is_refused_at(0));
}

TEST_CASE("a probe at one box blocks probes of the same request at all boxes while it runs")
{
    Boxes boxes(3);
    boxes.exchange(0).report_crash({ request, endpoint(1), 1 });
    REQUIRE(run_until(boxes.context, [&] { return boxes.all_count(1); }));
    boxes.exchange(1).probe_began(request);
    CHECK(boxes.exchange(1).status(request).is_probed);
    auto const all_probed = [&](bool expected) {
        return std::ranges::all_of(
            boxes.boxes, [&](auto& box) { return box->exchange.status(request).is_probed == expected; });
    };
    REQUIRE(run_until(boxes.context, [&] { return all_probed(true); }));
    SUBCASE("beyond the lease, until the probe ends")
    {
        boxes.run_for(Routing::CrashLedger::probe_lease + std::chrono::milliseconds(500));
        CHECK(all_probed(true));
        boxes.exchange(1).probe_ended(request);
        CHECK(run_until(boxes.context, [&] { return all_probed(false); }));
    }
    SUBCASE("not beyond the lease if the probing box can't be reached")
    {
        boxes.boxes[0]->is_cut_off = true;
        boxes.run_for(Routing::CrashLedger::probe_lease + std::chrono::milliseconds(500));
        CHECK_FALSE(boxes.exchange(0).status(request).is_probed);
        CHECK(boxes.exchange(2).status(request).is_probed);
    }
}

TEST_CASE("stored records that are malformed or don't match their key are rejected")
{
    asio::io_context context;
    Boxes::Box box(context);
    Membership::TimedCrash const crash { { request, endpoint(1), 3 }, Core::Duration { 0 } };
    auto const record = Membership::encode_crash_record(crash, Core::wall_clock_milliseconds());
    box.exchange.apply_stored(Membership::crash_key({ 1, 8 }), record);
    box.exchange.apply_stored(Membership::crash_key(request), "no record");
    box.exchange.apply_stored("crash/", "");
    CHECK(box.exchange.refused_count() == 0);
    box.exchange.apply_stored(Membership::crash_key(request), record);
    CHECK(box.exchange.refused_count() == 1);
}
