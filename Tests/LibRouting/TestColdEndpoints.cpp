#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <algorithm>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double cold_rate = 10;
constexpr ColdBounds bounds { 1.5 };
constexpr auto allowed_in_any_second = static_cast<std::size_t>(cold_rate * 1.5);

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

EndpointRecord record(Duration cold_left)
{
    EndpointRecord record { "a", "desk", { "10.0.0.1", 80 }, "hall", 6, false };
    record.cold_left = cold_left;
    return record;
}

/// Boxes that share one endpoint.
class Boxes {
public:
    explicit Boxes(int count)
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            names.push_back("box-" + std::to_string(number));
        RouterSettings settings;
        settings.lease = { seconds(200), seconds(500) };
        settings.cold = bounds;
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_to_desk("/", RouteKind::NonIdempotent, 1) };
        contents.services = { { "desk", 96, {} } };
        contents.services[0].cold_rate = cold_rate;
        auto const snapshot = std::make_shared<ConfigurationSnapshot const>(std::move(contents));
        for (auto const& name : names) {
            this->routers.push_back(std::make_unique<RequestRouter>(settings, this->routers.size()));
            this->routers.back()->offer_configuration(snapshot, at(seconds(0)));
            this->routers.back()->set_boxes(BoxGroup(name, names));
        }
    }

    void put(Duration cold_left, Instant now)
    {
        for (auto const& router : this->routers)
            router->put_endpoint(record(cold_left), now);
    }

    void evacuate(std::set<std::string> const& domains, Instant now)
    {
        for (auto const& router : this->routers)
            router->set_evacuated_domains(domains, now);
    }

    /// Offers a request each ten milliseconds to the boxes in turn. Returns when the endpoint got one.
    std::vector<Instant> arrivals(Duration from, Duration until)
    {
        std::vector<Instant> moments;
        for (auto moment = from; moment < until; moment += milliseconds(10)) {
            auto& router = *this->routers[this->next++ % this->routers.size()];
            auto const admitted
                = std::get<Admitted>(router.admit({ "attempt", "h", "/x", "", seconds(1), {} }, at(moment)));
            auto const decision = router.place(admitted, {}, {}, at(moment));
            auto const* const placed = std::get_if<Placed>(&decision);
            if (placed != nullptr && router.may_send(*placed, at(moment))) {
                moments.push_back(at(moment));
                router.attempt_ended(admitted.id, placed->choice.endpoint, AttemptResult::Completed, at(moment));
            }
        }
        return moments;
    }

private:
    std::vector<std::unique_ptr<RequestRouter>> routers;
    std::size_t next { 0 };
};

std::size_t most_in_any_second(std::vector<Instant> const& moments)
{
    std::size_t most = 0;
    for (auto first = moments.begin(); first != moments.end(); ++first) {
        auto const last = std::ranges::lower_bound(first, moments.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

}

TEST_CASE("a cold endpoint gets no more requests than it can run from all boxes together, whatever their number")
{
    for (int const count : { 1, 61, 985 }) {
        CAPTURE(count);
        Boxes boxes(count);
        boxes.put(seconds(6), at(seconds(0)));
        auto const moments = boxes.arrivals(seconds(0), seconds(6));
        CHECK(most_in_any_second(moments) <= allowed_in_any_second);
        CHECK(!moments.empty());
    }
}

TEST_CASE("boxes use most of what a cold endpoint can run")
{
    Boxes boxes(6);
    boxes.put(seconds(6), at(seconds(0)));
    CHECK(boxes.arrivals(seconds(0), seconds(6)).size() >= static_cast<std::size_t>(0.6 * cold_rate * 6));
}

TEST_CASE("an endpoint gets all requests again once it is no longer cold")
{
    SUBCASE("by its entry")
    {
        Boxes boxes(6);
        boxes.put(seconds(60), at(seconds(0)));
        boxes.put(seconds(0), at(seconds(1)));
        CHECK(boxes.arrivals(seconds(1), seconds(2)).size() == 100);
    }
    SUBCASE("by the time that its entry told, if no other follows")
    {
        Boxes boxes(6);
        boxes.put(seconds(2), at(seconds(0)));
        CHECK(boxes.arrivals(seconds(2), seconds(3)).size() == 100);
    }
}

TEST_CASE("an endpoint that became cold when its evacuation ended is not overrun before its entry says so")
{
    Boxes boxes(6);
    boxes.put(seconds(0), at(seconds(0)));
    boxes.evacuate({ "hall" }, at(seconds(1)));
    CHECK(boxes.arrivals(seconds(1), seconds(2)).empty());
    boxes.evacuate({}, at(seconds(2)));
    auto moments = boxes.arrivals(seconds(2), seconds(4));
    boxes.put(seconds(3), at(seconds(4)));
    std::ranges::copy(boxes.arrivals(seconds(4), seconds(7)), std::back_inserter(moments));
    CHECK(most_in_any_second(moments) <= allowed_in_any_second);
    CHECK(!moments.empty());
}

TEST_CASE("clients of a service whose endpoints are all cold are told when to retry")
{
    Boxes boxes(1);
    boxes.put(seconds(6), at(seconds(0)));
    CHECK(boxes.arrivals(seconds(0), milliseconds(500)).size() < 50);
}

TEST_CASE("the limit of a cold endpoint leaves room for two slots of turns within one second")
{
    CHECK(cold_limit(10, { 1.5 }) == 7.5);
    CHECK(cold_limit(10, { 1 }) == 5);
    CHECK(cold_limit(10, { 4 }) == 10);
}
