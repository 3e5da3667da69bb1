#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <pcg_random.hpp>
#include <queue>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int endpoint_count = 9;
constexpr Duration request_interval = milliseconds(20);
constexpr Duration service_time = milliseconds(30);

Instant at(Duration since_start)
{
    return Instant {} + seconds(100) + since_start;
}

/// Clients without retries at a service of nine endpoints. Some endpoints refuse nine requests in ten without a time to
/// retry.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : router({ "hall", { seconds(200), seconds(500) }, {}, {} }, seed)
        , random(seed)
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_to_desk("/", RouteKind::NonIdempotent, 1) };
        contents.services = { { "desk", 96, {} } };
        this->router.offer_configuration(
            std::make_shared<ConfigurationSnapshot const>(std::move(contents)), at(seconds(0)));
        for (int number = 0; number < endpoint_count; ++number)
            this->router.put_endpoint(
                { std::to_string(number), "desk", { "10.0.0.1", 80 }, "hall", 6, false }, at(seconds(0)));
    }

    /// The fraction of requests that is refused while this many endpoints are overloaded.
    double turned_away_share(int overloaded, Duration from, Duration until)
    {
        int requests = 0;
        int refused = 0;
        for (auto moment = from; moment < until; moment += request_interval) {
            this->end_until(at(moment));
            ++requests;
            refused += this->is_turned_away(overloaded, at(moment)) ? 1 : 0;
        }
        return static_cast<double>(refused) / requests;
    }

    /// Number of requests that the first `endpoints` endpoints get.
    int requests_to(int endpoints, Duration from, Duration until)
    {
        this->sent_to.clear();
        static_cast<void>(this->turned_away_share(0, from, until));
        int sent = 0;
        for (int number = 0; number < endpoints; ++number)
            sent += this->sent_to[std::to_string(number)];
        return sent;
    }

private:
    struct Running {
        Instant ends_at;
        RequestId request;
        EndpointId endpoint;

        bool operator<(Running const& other) const { return this->ends_at > other.ends_at; }
    };

    bool is_turned_away(int overloaded, Instant now)
    {
        auto const admitted = std::get<Admitted>(this->router.admit({ "a", "h", "/x", "", seconds(1), {} }, now));
        auto const placed = std::get<Placed>(this->router.place(admitted, {}, {}, now));
        ++this->sent_to[placed.endpoint.incarnation];
        this->router.attempt_started(admitted, {}, placed.choice, now);
        constexpr std::uint32_t of_ten = 10;
        bool const refuses = std::stoi(placed.endpoint.incarnation) < overloaded && this->random(of_ten) != 0;
        if (refuses)
            this->router.attempt_ended(admitted.id, placed.choice.endpoint, AttemptResult::EndpointBusy, now);
        else
            this->running.push({ now + service_time, admitted.id, placed.choice.endpoint });
        return refuses;
    }

    void end_until(Instant now)
    {
        for (; !this->running.empty() && this->running.top().ends_at <= now; this->running.pop())
            this->router.attempt_ended(this->running.top().request, this->running.top().endpoint,
                AttemptResult::Completed, this->running.top().ends_at);
    }

    RequestRouter router;
    pcg32 random;
    std::priority_queue<Running> running;
    std::map<std::string, int> sent_to;
};

}

TEST_CASE("endpoints that keep refusing requests get few of them, and are used again when they recover")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        Simulation simulation(seed);
        constexpr int overloaded = 4;
        CHECK(simulation.turned_away_share(overloaded, seconds(0), seconds(12)) <= 0.1);
        static_cast<void>(simulation.turned_away_share(0, seconds(12), seconds(14)));
        auto const requests = seconds(6) / request_interval;
        CHECK(
            simulation.requests_to(overloaded, seconds(14), seconds(20)) >= requests * overloaded / endpoint_count / 2);
    }
}
