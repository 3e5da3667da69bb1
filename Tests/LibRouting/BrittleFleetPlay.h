#pragma once

#include "DeskRoute.h"
#include <LibRouting/RequestRouter.h>
#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>

/// Simulates, in virtual time, boxes with real routers before endpoints that fail if they have to reject too many
/// requests within a second. Requests arrive at random, whatever becomes of the ones before.
namespace BrittleFleetPlay {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Scenario {
    std::size_t boxes { 85 };
    int endpoints { 12 };
    bool are_engines { true };
    unsigned slots { 12 };
    double max_rejections { 5 };
    Duration work { milliseconds(250) };
    /// Requests per second at all boxes together, as a fraction of what the endpoints can run.
    double load { 1 };
    /// Requests that may wait at an endpoint, before and after the queues become short.
    std::size_t long_queue { 100 };
    std::size_t short_queue { 0 };
    /// From a box to an endpoint or back, and from box to box.
    Duration transit { milliseconds(1) };
    /// Fraction of the messages between boxes that are lost.
    double lost_messages { 0 };
    /// Boxes that start anew while the queues are short, as a fraction of all.
    double restarted_boxes { 0 };
    /// All endpoints are silent for a second while the queues are short.
    bool has_silence { false };
    Duration length { seconds(12) };
    std::uint64_t seed { 1 };

    /// Failures that callers may see: two and a tenth of the endpoints.
    [[nodiscard]] int tolerated_failures() const { return 2 + this->endpoints / 10; }
};

struct Result {
    int failures { 0 };
    int sent { 0 };
    int served { 0 };
    int refused { 0 };
    int rejected { 0 };

    bool operator==(Result const&) const = default;
};

inline constexpr Duration announced_at { milliseconds(500) };
inline constexpr Duration short_from { milliseconds(4500) };
inline constexpr Duration disrupted_at { seconds(7) };
inline constexpr Duration restart_after { seconds(3) };
inline constexpr Duration report_interval { milliseconds(500) };

class Simulation {
public:
    explicit Simulation(Scenario const& scenario)
        : scenario(scenario)
        , random(scenario.seed)
    {
        for (std::size_t number = 0; number < scenario.boxes; ++number)
            this->names.push_back("box-" + std::to_string(number));
        for (int number = 0; number < scenario.endpoints; ++number)
            this->endpoints.emplace("e" + std::to_string(number), Endpoint {});
        this->boxes.resize(scenario.boxes);
        for (std::size_t number = 0; number < scenario.boxes; ++number) {
            this->start_box(number);
            this->at(this->drawn_share(report_interval), [this, number] { this->report(number); });
        }
        this->at(disrupted_at, [this] { this->disrupt(); });
        this->schedule_arrival();
    }

    [[nodiscard]] Result run()
    {
        while (!this->events.empty() && this->events.begin()->first < start + this->scenario.length) {
            auto const event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        return this->result;
    }

private:
    struct Sent {
        std::size_t box;
        std::shared_ptr<RequestRouter> router;
        Admitted request;
        Placed placed;
        Instant at;
        /// Which start of the endpoint it was sent to.
        int endpoint_start { 0 };
    };
    using SharedSent = std::shared_ptr<Sent>;
    struct Endpoint {
        int start { 1 };
        bool has_failed { false };
        Instant silent_until {};
        unsigned running { 0 };
        std::deque<SharedSent> waiting {};
        std::deque<Instant> rejections {};
    };

    static constexpr Instant start = Instant {} + seconds(1000);

    [[nodiscard]] static SharedConfiguration configuration(Scenario const& scenario)
    {
        Configuration contents;
        contents.version = 1;
        contents.routes = { route_to_desk("/once/", RouteKind::NonIdempotent, 1) };
        contents.services = { { "desk", 600, {} } };
        if (scenario.are_engines)
            contents.services.front().engine = EngineTraits { scenario.slots, 400'000, 8 };
        return std::make_shared<ConfigurationSnapshot const>(std::move(contents));
    }

    [[nodiscard]] EndpointRecord record(std::string const& name) const
    {
        return { name, "desk", { "10.0.0.1", 80 }, "hall", this->scenario.slots, false, 0 };
    }

    [[nodiscard]] double drawn() { return std::ldexp(static_cast<double>(this->random()), -32); }
    [[nodiscard]] Duration drawn_share(Duration whole)
    {
        return Core::from_seconds(Core::to_seconds(whole) * this->drawn());
    }
    void at(Duration since_start, std::function<void()> act)
    {
        this->events.emplace(start + since_start, std::move(act));
    }
    void after(Duration delay, std::function<void()> act) { this->events.emplace(this->now + delay, std::move(act)); }
    [[nodiscard]] bool is_announced() const { return this->now >= start + announced_at; }

    void start_box(std::size_t number)
    {
        auto& box = this->boxes[number];
        box = std::make_shared<RequestRouter>(
            RouterSettings { "hall", { seconds(3000), seconds(5000) }, {}, {} }, ++this->box_starts);
        box->set_boxes({ this->names[number], this->names });
        box->offer_configuration(configuration(this->scenario), this->now);
        box->set_report_interval(report_interval);
        for (auto const& [name, endpoint] : this->endpoints)
            box->put_endpoint(this->record(name), this->now);
    }

    void disrupt()
    {
        auto const restarted
            = static_cast<std::size_t>(static_cast<double>(this->boxes.size()) * this->scenario.restarted_boxes);
        for (std::size_t number = 0; number < restarted; ++number)
            this->start_box(number);
        if (!this->scenario.has_silence)
            return;
        for (auto& [name, endpoint] : this->endpoints)
            endpoint.silent_until = this->now + seconds(1);
    }

    void report(std::size_t number)
    {
        auto const report = this->boxes[number]->load_report(this->now);
        this->tell_others(number, [report, number, sent_at = this->now](RequestRouter& other) {
            other.apply_load_report(number, report, sent_at);
        });
        this->after(report_interval, [this, number] { this->report(number); });
    }

    void tell_others(std::size_t from, std::function<void(RequestRouter&)> apply)
    {
        this->after(this->scenario.transit, [this, from, apply = std::move(apply)] {
            for (std::size_t other = 0; other < this->boxes.size(); ++other) {
                if (other != from && this->drawn() >= this->scenario.lost_messages)
                    apply(*this->boxes[other]);
            }
        });
    }

    void schedule_arrival()
    {
        auto const capacity = this->scenario.endpoints * this->scenario.slots / Core::to_seconds(this->scenario.work);
        this->after(Core::from_seconds(-std::log(1 - this->drawn()) / (capacity * this->scenario.load)), [this] {
            this->send(this->random(static_cast<std::uint32_t>(this->boxes.size())));
            this->schedule_arrival();
        });
    }

    void send(std::size_t number)
    {
        auto const& box = this->boxes[number];
        ++this->result.sent;
        auto const admitted
            = std::get<Admitted>(box->admit({ "attempt", "h", "/once/x", "", seconds(15), {} }, this->now));
        auto const decision = box->place(admitted, {}, {}, this->now);
        auto const* const placed = std::get_if<Placed>(&decision);
        if (placed == nullptr) {
            ++this->result.refused;
            return;
        }
        box->attempt_started(admitted, {}, placed->choice, this->now);
        auto const sent = std::make_shared<Sent>(Sent { number, box, admitted, *placed, this->now });
        this->after(this->scenario.transit, [this, sent] { this->arrive(sent); });
    }

    void arrive(SharedSent const& sent)
    {
        auto& endpoint = this->endpoints.at(sent->placed.endpoint.incarnation);
        if (endpoint.has_failed)
            return this->end(*sent, AttemptResult::ConnectionRefused);
        if (this->now < endpoint.silent_until)
            return this->after(endpoint.silent_until - this->now, [this, sent] { this->arrive(sent); });
        sent->endpoint_start = endpoint.start;
        if (endpoint.running < this->scenario.slots)
            return this->begin(sent);
        bool const is_short = this->now >= start + short_from;
        if (endpoint.waiting.size() < (is_short ? this->scenario.short_queue : this->scenario.long_queue)) {
            endpoint.waiting.push_back(sent);
            return;
        }
        this->reject(sent);
    }

    void begin(SharedSent const& sent)
    {
        ++this->endpoints.at(sent->placed.endpoint.incarnation).running;
        auto const work = this->scenario.work / 2 + this->drawn_share(this->scenario.work);
        this->after(work, [this, sent] { this->finish(sent); });
    }

    void finish(SharedSent const& sent)
    {
        auto& endpoint = this->endpoints.at(sent->placed.endpoint.incarnation);
        if (endpoint.start != sent->endpoint_start)
            return this->end(*sent, AttemptResult::Failed);
        if (this->now < endpoint.silent_until)
            return this->after(endpoint.silent_until - this->now, [this, sent] { this->finish(sent); });
        --endpoint.running;
        ReportedLoad const load { static_cast<int>(endpoint.running), static_cast<int>(endpoint.waiting.size()),
            static_cast<int>(this->scenario.slots) };
        if (!endpoint.waiting.empty()) {
            auto const next = endpoint.waiting.front();
            endpoint.waiting.pop_front();
            this->begin(next);
        }
        bool const is_brittle = this->is_announced();
        this->after(this->scenario.transit, [this, sent, load, is_brittle] {
            this->answer(*sent, true, is_brittle);
            sent->router->update_reported_load(sent->placed.choice.endpoint, load, this->now);
            ++this->result.served;
            this->end(*sent, AttemptResult::Completed);
        });
    }

    void reject(SharedSent const& sent)
    {
        ++this->result.rejected;
        auto const& name = sent->placed.endpoint.incarnation;
        auto& rejections = this->endpoints.at(name).rejections;
        rejections.push_back(this->now);
        while (this->now - rejections.front() > seconds(1))
            rejections.pop_front();
        if (this->is_announced() && static_cast<double>(rejections.size()) > this->scenario.max_rejections) {
            this->fail(name);
            return this->end(*sent, AttemptResult::Failed);
        }
        this->after(this->scenario.transit, [this, sent, is_brittle = this->is_announced()] {
            this->answer(*sent, false, is_brittle);
            this->end(*sent, AttemptResult::EndpointBusy);
        });
    }

    void fail(std::string const& name)
    {
        auto& endpoint = this->endpoints.at(name);
        ++this->result.failures;
        for (auto const& waiting : endpoint.waiting)
            this->end(*waiting, AttemptResult::Failed);
        auto const starts = endpoint.start;
        endpoint = {};
        endpoint.start = starts + 1;
        endpoint.has_failed = true;
        this->after(restart_after, [this, name] { this->endpoints.at(name).has_failed = false; });
    }

    void answer(Sent const& sent, bool took_request, bool is_brittle)
    {
        auto const told = is_brittle ? std::optional(this->scenario.max_rejections) : std::nullopt;
        auto const effect = sent.router->record_answer(
            sent.placed, { RateLimit {}, false, took_request, {}, told }, sent.at, this->now);
        if (effect.rejection)
            this->tell_others(
                sent.box, [rejection = *effect.rejection](RequestRouter& other) { other.apply_rejection(rejection); });
    }

    void end(Sent const& sent, AttemptResult result)
    {
        sent.router->attempt_ended(sent.request.id, sent.placed.choice.endpoint, result, this->now);
    }

    Scenario scenario;
    pcg32 random;
    Instant now { start };
    std::vector<std::string> names;
    std::vector<std::shared_ptr<RequestRouter>> boxes;
    std::uint64_t box_starts { 0 };
    std::map<std::string, Endpoint> endpoints;
    std::multimap<Instant, std::function<void()>> events;
    Result result;
};

/// Plays the scenario, and checks that few endpoints fail and that at least `served_share` of the requests is served.
inline void check_play(Scenario const& scenario, double served_share)
{
    auto const result = Simulation(scenario).run();
    CAPTURE(result.served);
    CAPTURE(result.sent);
    CHECK(result.failures <= scenario.tolerated_failures());
    CHECK(result.served >= served_share * result.sent);
}

}
