#include <TestMain.h>

#include "LoopbackPair.h"
#include <LibGateway/CrashNews.h>
#include <algorithm>
#include <memory>

using namespace Gateway;
using Audience = CrashNews::Audience;

namespace {

constexpr Routing::RequestFingerprint request { 1, 7 };

Routing::EndpointInstance endpoint(int number)
{
    return { "e" + std::to_string(number), 1000 };
}

/// Boxes that tell each other news through the test, which may lose it, and a store that keeps records.
struct Boxes {
    struct Box {
        explicit Box(asio::io_context& context)
            : news(context, this->metrics)
        {
        }
        GatewayMetrics metrics;
        CrashNews news;
        /// Nothing that others tell reaches it.
        bool is_cut_off { false };
        /// Pieces of news that it told to all.
        std::size_t told_to_all { 0 };
    };

    explicit Boxes(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->boxes.push_back(std::make_unique<Box>(this->context));
        for (auto& box : this->boxes) {
            box->news.set_ways([this, teller = box.get()](
                                   auto const& bytes, Audience audience) { this->pass_on(*teller, bytes, audience); },
                [this](auto const& key, auto const& value) { this->keep(key, value); });
            asio::co_spawn(this->context, box->news.run(), asio::detached);
        }
    }

    void pass_on(Box& teller, std::string const& bytes, Audience audience)
    {
        auto const message = Membership::decode_crashes(bytes);
        REQUIRE(message);
        if (audience == Audience::AllBoxes)
            teller.told_to_all += message->crashes.size() + message->cleared.size() + message->answering.size();
        for (auto& box : this->boxes) {
            if (box.get() != &teller && !box->is_cut_off)
                box->news.hear(*message);
        }
    }

    void keep(std::string const& key, std::optional<std::string> const& value)
    {
        ++this->writes;
        if (value)
            this->store[key] = *value;
        else
            this->store.erase(key);
    }

    /// Lets them go on for a while.
    void run_for(Core::Duration time)
    {
        asio::steady_timer timer(this->context, time);
        bool is_over = false;
        timer.async_wait([&](error_code) { is_over = true; });
        REQUIRE(run_until(this->context, [&] { return is_over; }));
    }

    CrashNews& news(std::size_t index) { return this->boxes.at(index)->news; }

    [[nodiscard]] unsigned crashes_known_at(std::size_t index) { return this->news(index).verdict(request).crashes; }
    [[nodiscard]] bool refused_at(std::size_t index)
    {
        return this->news(index).verdict(request).refused_for.has_value();
    }
    [[nodiscard]] bool all_know(unsigned crashes)
    {
        for (std::size_t index = 0; index < this->boxes.size(); ++index) {
            if (this->crashes_known_at(index) != crashes)
                return false;
        }
        return true;
    }

    /// The request's runs end with three endpoints, each known everywhere before the next begins.
    void crash_three_times()
    {
        for (unsigned count = 1; count <= Routing::CrashLedger::refusal_threshold; ++count) {
            this->news(0).crashed({ request, endpoint(static_cast<int>(count)), count });
            REQUIRE(run_until(this->context, [&] { return this->boxes[1]->is_cut_off || this->all_know(count); }));
        }
    }

    asio::io_context context;
    std::vector<std::unique_ptr<Box>> boxes;
    std::map<std::string, std::string> store;
    int writes { 0 };
};

}

TEST_CASE("what one box sees all boxes know, and the refused request is kept once in the store")
{
    Boxes boxes(4);
    boxes.crash_three_times();
    for (std::size_t index = 0; index < boxes.boxes.size(); ++index)
        CHECK(boxes.refused_at(index));
    CHECK(boxes.writes == 1);
    CHECK(boxes.store.size() == 1);

    asio::io_context context;
    Boxes::Box started(context);
    for (auto const& [key, value] : boxes.store)
        started.news.take_stored(key, value);
    CHECK(started.news.verdict(request).refused_for.has_value());
}

TEST_CASE("news that a box missed is told to it again, also when only the refused request is left to tell")
{
    Boxes boxes(3);
    boxes.boxes[1]->is_cut_off = true;
    boxes.crash_three_times();
    // All three tellings of each crash are lost to it.
    constexpr std::size_t tellings = 9;
    REQUIRE(run_until(boxes.context, [&] { return boxes.boxes[0]->told_to_all >= tellings; }));
    CHECK(boxes.crashes_known_at(1) == 0);
    boxes.boxes[1]->is_cut_off = false;
    CHECK(run_until(boxes.context, [&] { return boxes.refused_at(1); }));
}

TEST_CASE("a run that ends well at one box clears the request at all, and in the store")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    boxes.news(2).ran_well(request);
    CHECK(run_until(boxes.context, [&] { return boxes.all_know(0); }));
    CHECK(boxes.store.empty());
}

TEST_CASE("a box that missed the clearing is told so when it tells of the crash again")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    boxes.boxes[1]->is_cut_off = true;
    boxes.news(2).ran_well(request);
    constexpr std::size_t tellings = 3;
    REQUIRE(run_until(boxes.context, [&] { return boxes.boxes[2]->told_to_all >= tellings; }));
    REQUIRE(boxes.refused_at(1));
    boxes.boxes[1]->is_cut_off = false;
    CHECK(run_until(boxes.context, [&] { return boxes.all_know(0); }));
}

TEST_CASE("an endpoint that answers one box takes its crash back at all: a box that was cut off saw wrong")
{
    Boxes boxes(3);
    boxes.crash_three_times();
    auto const now = Core::monotonic_now();
    boxes.news(2).answered(endpoint(3), { now - std::chrono::minutes(1), now + std::chrono::seconds(1) });
    CHECK(run_until(boxes.context, [&] { return boxes.all_know(2); }));
    CHECK_FALSE(boxes.refused_at(0));
}

TEST_CASE("a run that decides about a request keeps all boxes from beginning another one, for as long as it lasts")
{
    Boxes boxes(3);
    boxes.news(0).crashed({ request, endpoint(1), 1 });
    REQUIRE(run_until(boxes.context, [&] { return boxes.all_know(1); }));
    boxes.news(1).probe_began(request);
    CHECK(boxes.news(1).verdict(request).is_probed);
    auto const all_wait = [&](bool expected) {
        return std::ranges::all_of(
            boxes.boxes, [&](auto& box) { return box->news.verdict(request).is_probed == expected; });
    };
    REQUIRE(run_until(boxes.context, [&] { return all_wait(true); }));
    SUBCASE("also past the lease, and no longer than until it ends")
    {
        boxes.run_for(Routing::CrashLedger::probe_lease + std::chrono::milliseconds(500));
        CHECK(all_wait(true));
        boxes.news(1).probe_ended(request);
        CHECK(run_until(boxes.context, [&] { return all_wait(false); }));
    }
    SUBCASE("not past the lease where its box is not heard any more")
    {
        boxes.boxes[0]->is_cut_off = true;
        boxes.run_for(Routing::CrashLedger::probe_lease + std::chrono::milliseconds(500));
        CHECK_FALSE(boxes.news(0).verdict(request).is_probed);
        CHECK(boxes.news(2).verdict(request).is_probed);
    }
}

TEST_CASE("records of the store that are no crash, or of another request than their key says, are not taken")
{
    asio::io_context context;
    Boxes::Box box(context);
    Membership::TimedCrash const crash { { request, endpoint(1), 3 }, Core::Duration { 0 } };
    auto const record = Membership::encode_crash_record(crash, Core::wall_clock_milliseconds());
    box.news.take_stored(Membership::crash_key({ 1, 8 }), record);
    box.news.take_stored(Membership::crash_key(request), "no record");
    box.news.take_stored("crash/", "");
    CHECK(box.news.refused_count() == 0);
    box.news.take_stored(Membership::crash_key(request), record);
    CHECK(box.news.refused_count() == 1);
}
