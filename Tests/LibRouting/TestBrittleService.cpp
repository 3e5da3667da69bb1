#include <TestMain.h>

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant const start = Instant {} + seconds(1000);

/// What the load is: clients of several boxes, each with one request at a time, and endpoints that fail if they have to
/// reject more than `max_rejections` requests in a second.
struct Load {
    std::size_t boxes { 3 };
    int endpoints { 4 };
    int clients { 24 };
    unsigned slots { 2 };
    double max_rejections { 5 };
    Duration work { milliseconds(50) };
    /// From a box to an endpoint or back, and from box to box.
    Duration transit { milliseconds(1) };
    /// How long all endpoints answer nothing at first, so that boxes send what they have without knowing anything.
    Duration stall { milliseconds(10) };
    /// How long a client waits until it sends its next request.
    Duration pause { milliseconds(20) };
    /// When the load starts, which is where in a slot of the rate limit the first rejections lie.
    Duration begin { 0 };
};

/// Boxes with real routers, and endpoints that run requests in virtual time.
class Play {
public:
    explicit Play(Load const& load)
        : load(load)
        , now(start + load.begin)
    {
        std::vector<std::string> names;
        for (std::size_t number = 0; number < load.boxes; ++number)
            names.push_back("box-" + std::to_string(number));
        for (auto const& name : names) {
            auto& box = *this->boxes.emplace_back(std::make_unique<RequestRouter>(
                RouterSettings { "hall", { seconds(3000), seconds(5000) }, {}, {} }, this->boxes.size() + 1));
            box.set_boxes({ name, names });
            box.offer_configuration(configuration(), this->now);
            for (int number = 0; number < load.endpoints; ++number)
                box.put_endpoint(this->record("d" + std::to_string(number)), this->now);
        }
    }

    void run(Duration length)
    {
        auto const end = this->now + length;
        auto const answers_from = this->now + this->load.stall;
        for (int number = 0; number < this->load.endpoints; ++number)
            this->endpoints["d" + std::to_string(number)].answers_from = answers_from;
        for (int client = 0; client < this->load.clients; ++client)
            this->at(Duration { 0 }, [this, client] { this->send(client, 0); });
        while (!this->events.empty() && this->events.begin()->first < end) {
            auto const event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
    }

    [[nodiscard]] int ended() const
    {
        return static_cast<int>(
            std::ranges::count_if(this->endpoints, [](auto const& entry) { return entry.second.has_ended; }));
    }

    int served { 0 };

private:
    struct Endpoint {
        Instant answers_from;
        unsigned running { 0 };
        std::vector<Instant> rejections;
        bool has_ended { false };
    };
    struct Sent {
        std::size_t box;
        int client;
        int number;
        Admitted request;
        Placed placed;
        Instant at;
    };

    static SharedConfiguration configuration()
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_to_desk("/once/", RouteKind::NonIdempotent, 1) };
        contents.services = { { "desk", 96, {} } };
        return std::make_shared<ConfigurationSnapshot const>(std::move(contents));
    }

    [[nodiscard]] EndpointRecord record(std::string const& name) const
    {
        return { name, "desk", { "10.0.0.1", 80 }, "hall", this->load.slots, false, 0 };
    }

    void at(Duration delay, std::function<void()> handle)
    {
        this->events.emplace(this->now + delay, std::move(handle));
    }

    void send(int client, int number)
    {
        auto const index = static_cast<std::size_t>(client + number) % this->boxes.size();
        auto& box = *this->boxes[index];
        auto const admitted
            = std::get<Admitted>(box.admit({ "attempt", "h", "/once/x", "", seconds(15), {} }, this->now));
        auto const decision = box.place(admitted, {}, {}, this->now);
        auto const* const placed = std::get_if<Placed>(&decision);
        if (placed == nullptr)
            return this->send_next(client, number);
        box.attempt_started(admitted, {}, placed->choice, this->now);
        auto const sent = std::make_shared<Sent const>(Sent { index, client, number, admitted, *placed, this->now });
        this->at(this->load.transit, [this, sent] { this->arrive(sent); });
    }

    void send_next(int client, int number)
    {
        this->at(this->load.pause, [this, client, number] { this->send(client, number + 1); });
    }

    void arrive(std::shared_ptr<Sent const> const& sent)
    {
        auto& endpoint = this->endpoints[sent->placed.endpoint.incarnation];
        if (this->now < endpoint.answers_from)
            return this->at(endpoint.answers_from - this->now, [this, sent] { this->arrive(sent); });
        if (endpoint.has_ended)
            return this->end(sent, AttemptResult::ConnectionRefused);
        if (endpoint.running < this->load.slots) {
            ++endpoint.running;
            return this->at(this->load.work, [this, sent] { this->finish(sent); });
        }
        endpoint.rejections.push_back(this->now);
        std::erase_if(endpoint.rejections, [this](auto at) { return this->now - at > seconds(1); });
        endpoint.has_ended = static_cast<double>(endpoint.rejections.size()) > this->load.max_rejections;
        if (endpoint.has_ended)
            return this->end(sent, AttemptResult::Failed);
        this->at(this->load.transit, [this, sent] { this->reject(sent); });
    }

    void finish(std::shared_ptr<Sent const> const& sent)
    {
        auto& endpoint = this->endpoints[sent->placed.endpoint.incarnation];
        --endpoint.running;
        if (endpoint.has_ended)
            return this->end(sent, AttemptResult::Failed);
        this->at(this->load.transit, [this, sent] {
            static_cast<void>(this->record_answer(*sent, true));
            ++this->served;
            this->end(sent, AttemptResult::Completed);
        });
    }

    void reject(std::shared_ptr<Sent const> const& sent)
    {
        if (auto const rejection = this->record_answer(*sent, false)) {
            for (std::size_t other = 0; other < this->boxes.size(); ++other) {
                if (other != sent->box)
                    this->at(this->load.transit,
                        [this, other, rejection] { this->boxes[other]->apply_rejection(*rejection); });
            }
        }
        this->end(sent, AttemptResult::EndpointBusy);
    }

    std::optional<EndpointRejection> record_answer(Sent const& sent, bool took_request)
    {
        return this->boxes[sent.box]
            ->record_answer(
                sent.placed, { RateLimit {}, false, took_request, {}, this->load.max_rejections }, sent.at, this->now)
            .rejection;
    }

    void end(std::shared_ptr<Sent const> const& sent, AttemptResult result)
    {
        this->boxes[sent->box]->attempt_ended(sent->request.id, sent->placed.choice.endpoint, result, this->now);
        this->send_next(sent->client, sent->number);
    }

    Load load;
    Instant now;
    std::vector<std::unique_ptr<RequestRouter>> boxes;
    std::map<std::string, Endpoint> endpoints;
    std::multimap<Instant, std::function<void()>> events;
};

}

// Guards against endpoints that are ended by the requests under way at the first rejection and those that the limit
// allows right after it, while the same requests still hold the slots.
TEST_CASE("brittle endpoints survive that all clients send at once before any box knows that they are brittle")
{
    // The first rejections lie at each place in a slot of the rate limit.
    for (auto begin = milliseconds(0); begin < seconds(4); begin += milliseconds(90)) {
        CAPTURE(begin.count());
        Load load;
        load.begin = begin;
        Play play(load);
        play.run(seconds(5));
        CHECK(play.ended() == 0);
        CHECK(play.served > 0);
    }
}

// Guards against a limit that alone allows as many rejections as the endpoint bears, while those under way come on top.
TEST_CASE(
    "brittle endpoints survive the first requests for other numbers of boxes and rejections, also if work is long")
{
    int plays_of_many_boxes = 0;
    int ended_with_many_boxes = 0;
    for (std::size_t const boxes : { 2U, 3U, 6U }) {
        for (double const max_rejections : { 5, 10, 20 }) {
            for (auto const work : { milliseconds(50), milliseconds(2000) }) {
                for (auto begin = milliseconds(0); begin < seconds(4); begin += milliseconds(590)) {
                    CAPTURE(boxes);
                    CAPTURE(max_rejections);
                    CAPTURE(work.count());
                    CAPTURE(begin.count());
                    Load load;
                    load.boxes = boxes;
                    load.max_rejections = max_rejections;
                    load.work = work;
                    load.begin = begin;
                    Play play(load);
                    play.run(seconds(5));
                    CHECK(play.served > 0);
                    if (boxes <= max_rejections) {
                        CHECK(play.ended() == 0);
                        continue;
                    }
                    ++plays_of_many_boxes;
                    ended_with_many_boxes += play.ended();
                }
            }
        }
    }
    // With more boxes than rejections that the endpoint bears, a box without one of its own doesn't know of the others.
    CHECK(ended_with_many_boxes <= 2 * plays_of_many_boxes);
}
