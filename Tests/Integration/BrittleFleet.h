#pragma once

#include <Harness/PlatformCluster.h>
#include <Harness/RequestLoad.h>
#include <doctest/doctest.h>
#include <thread>

/// Brittle endpoints behind as many real boxes as a large deployment has.
namespace BrittleFleets {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Endpoints that say that they are brittle before they let fewer requests wait, and the load of their boxes.
struct Scenario {
    int boxes { 85 };
    int endpoints { 0 };
    /// Whether the endpoints are engines, which answer in streams.
    bool are_engines { true };
    int slots { 0 };
    /// How long a request runs.
    milliseconds work { 0 };
    /// Requests at all boxes, as a fraction of what the endpoints can run.
    double load { 1 };
    /// Boxes that are killed and start again while no request may wait.
    int restarted_boxes { 0 };

    [[nodiscard]] double capacity_per_second() const
    {
        return this->endpoints * this->slots / std::chrono::duration<double>(this->work).count();
    }
    /// Failures that callers may see: two and a tenth of the endpoints.
    [[nodiscard]] int tolerated_failures() const { return 2 + this->endpoints / 10; }
};

/// Real boxes before endpoints that fail if they have to reject more than five requests in a second, and are back 3 s
/// later.
struct BrittleFleet : Harness::PlatformCluster {
    explicit BrittleFleet(Scenario const& scenario)
        : scenario(scenario)
    {
        for (int number = 0; number < scenario.endpoints; ++number)
            this->endpoints.push_back("e" + std::to_string(number));
        for (auto const& endpoint : this->endpoints)
            this->start_endpoint(endpoint);
        if (scenario.are_engines)
            this->set_engine_slots(scenario.slots);
        this->configure(1, { "key" });
        for (int number = 0; number < scenario.boxes; ++number)
            this->boxes.push_back("b" + std::to_string(number));
        for (auto const& box : this->boxes)
            this->start_box(box, bounds);
        for (auto const& box : this->boxes) {
            this->wait_ready(box);
            Harness::wait_until(box + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(this->boxes.size()); });
        }
    }

    [[nodiscard]] Harness::LoadPlan load_plan() const
    {
        Harness::LoadPlan plan;
        for (auto const& box : this->boxes)
            plan.ports.push_back(this->client_port(box));
        plan.per_second = this->scenario.capacity_per_second() * this->scenario.load;
        plan.path = this->scenario.are_engines ? "/stream/x" : "/once/x";
        if (this->scenario.are_engines)
            plan.fields = "X-Standin-Events: " + std::to_string(events) + "\r\n";
        return plan;
    }

    void tell_endpoints(std::string const& path) const
    {
        for (auto const& endpoint : this->endpoints)
            static_cast<void>(this->get(endpoint, path));
    }

    /// Starts endpoints that have failed again after some seconds. Returns how often one failed within `length`.
    int count_failures(seconds length)
    {
        constexpr auto check_interval = milliseconds(100);
        constexpr auto restart_after = seconds(3);
        int failures = 0;
        auto const end = std::chrono::steady_clock::now() + length;
        for (auto now = std::chrono::steady_clock::now(); now < end; now = std::chrono::steady_clock::now()) {
            std::this_thread::sleep_for(check_interval);
            for (auto const& endpoint : this->endpoints) {
                auto const known = this->failed_at.find(endpoint);
                if (known == this->failed_at.end() && this->process(endpoint).has_ended()) {
                    ++failures;
                    this->failed_at.emplace(endpoint, now);
                } else if (known != this->failed_at.end() && now - known->second > restart_after) {
                    this->failed_at.erase(known);
                    this->restart_server(endpoint);
                    for (auto const* path : { be_brittle, let_none_wait })
                        static_cast<void>(this->get(endpoint, path));
                }
            }
        }
        return failures;
    }

    /// Kills as many boxes as the scenario says, and starts them again under their names.
    void restart_boxes()
    {
        for (int number = 0; number < this->scenario.restarted_boxes; ++number)
            this->process(this->boxes[static_cast<std::size_t>(number)]).kill();
        for (int number = 0; number < this->scenario.restarted_boxes; ++number)
            this->start_box(this->boxes[static_cast<std::size_t>(number)], bounds);
    }

    /// Rejections in a second that an endpoint bears.
    static constexpr auto be_brittle = "/brittle/5";
    static constexpr auto let_none_wait = "/queue/0";

    Scenario scenario;
    std::vector<std::string> endpoints;
    std::vector<std::string> boxes;

private:
    void start_endpoint(std::string const& endpoint)
    {
        auto const pause = this->scenario.are_engines ? this->scenario.work / events : this->scenario.work;
        this->start_server(endpoint, this->scenario.are_engines ? "model" : "desk",
            { "--server_slots=" + std::to_string(this->scenario.slots), "--server_queue=100",
                "--work_ms=" + std::to_string(pause.count()) });
    }

    /// Events of a stream.
    static constexpr int events = 5;
    static constexpr Harness::BoxBounds bounds { 8000, 8000, 20000, true };

    std::map<std::string, std::chrono::steady_clock::time_point> failed_at;
};

/// Plays the scenario, and checks that few endpoints fail.
inline Harness::LoadResult play(Scenario const& scenario)
{
    BrittleFleet fleet(scenario);
    Harness::RequestLoad load(fleet.load_plan());
    fleet.tell_endpoints(BrittleFleet::be_brittle);
    int failures = fleet.count_failures(seconds(4));
    fleet.tell_endpoints(BrittleFleet::let_none_wait);
    failures += fleet.count_failures(seconds(4));
    fleet.restart_boxes();
    failures += fleet.count_failures(seconds(8));
    auto const result = load.finish();
    MESSAGE(failures << " failures, " << result.sent << " sent, " << result.served << " served, " << result.refused
                     << " refused, " << result.failed << " failed, " << result.unreached << " unreached");
    CHECK(failures <= scenario.tolerated_failures());
    return result;
}

/// 12 engines, with two thirds of the load that they can run.
inline Scenario engines_below_capacity()
{
    return { .endpoints = 12, .slots = 12, .work = milliseconds(250), .load = 2.0 / 3 };
}

/// A plain service far below what it can run.
inline Scenario idle_plain_service()
{
    return {
        .endpoints = 3, .are_engines = false, .slots = 6, .work = milliseconds(15), .load = 0.11, .restarted_boxes = 0
    };
}

}
