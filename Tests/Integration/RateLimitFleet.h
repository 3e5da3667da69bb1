#pragma once

#include <Harness/PlatformCluster.h>
#include <Harness/RequestLoad.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

/// Endpoints that name rate limits behind as many real boxes as a large deployment has.
namespace RateLimitFleets {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double limit_per_second = 1.5;
constexpr double window_ms = 4000;
/// Requests that may reach an endpoint in a window: one and a half times its limit plus five.
constexpr auto most_in_window = static_cast<std::size_t>(1.5 * limit_per_second * window_ms / 1000 + 5);
/// Boxes may take this long until all keep to a limit that is new.
constexpr double settling_ms = 4000;

/// 85 boxes before engines that all name a rate limit, with ten times the load that the limits allow.
struct LimitedFleet : Harness::PlatformCluster {
    static constexpr std::size_t box_count = 85;
    static constexpr int engine_count = 12;
    static constexpr Harness::BoxBounds bounds { 8000, 8000, 20000, true };

    enum class Links {
        Direct,
        /// By way of proxies, so that cut_off() works.
        Proxied,
    };

    explicit LimitedFleet(Links links = Links::Direct)
    {
        std::vector<std::string> const flags { "--server_slots=12", "--work_ms=20" };
        for (int number = 0; number < engine_count; ++number) {
            this->engines.push_back("e" + std::to_string(number));
            if (links == Links::Proxied)
                this->start_proxied_server(this->engines.back(), "model", flags);
            else
                this->start_server(this->engines.back(), "model", flags);
        }
        this->set_engine_slots(12);
        this->configure(1, { "key" });
        for (std::size_t number = 0; number < box_count; ++number) {
            this->boxes.push_back("b" + std::to_string(number));
            this->start_box(this->boxes.back(), bounds);
        }
        for (auto const& box : this->boxes) {
            this->wait_ready(box);
            Harness::wait_until(box + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(box_count); });
        }
    }

    [[nodiscard]] Harness::LoadPlan load_plan() const
    {
        Harness::LoadPlan plan;
        for (auto const& box : this->boxes)
            plan.ports.push_back(this->client_port(box));
        plan.per_second = 10 * limit_per_second * engine_count;
        plan.path = "/stream/x";
        plan.fields = "X-Standin-Events: 5\r\n";
        return plan;
    }

    void name_limits(double per_second) const
    {
        for (auto const& engine : this->engines)
            static_cast<void>(this->get(engine, "/limit/" + std::to_string(per_second)));
    }

    /// The largest number of requests that reached one engine in any window, without those before the limits settled.
    [[nodiscard]] std::size_t most_arrivals() const
    {
        std::size_t most = 0;
        for (auto const& engine : this->engines) {
            auto const arrivals = nlohmann::json::parse(this->get(engine, "/arrivals")).get<std::vector<double>>();
            if (arrivals.empty())
                continue;
            auto const first_settled = std::ranges::lower_bound(arrivals, arrivals.front() + settling_ms);
            for (auto first = first_settled; first != arrivals.end(); ++first) {
                auto const end = std::ranges::lower_bound(first, arrivals.end(), *first + window_ms);
                most = std::max(most, static_cast<std::size_t>(end - first));
            }
        }
        return most;
    }

    std::vector<std::string> engines;
    std::vector<std::string> boxes;
};

/// Checks that no engine got more than it allows, and that requests were served.
inline void check_limits(LimitedFleet const& fleet, Harness::LoadResult const& result)
{
    auto const most = fleet.most_arrivals();
    MESSAGE(most << " at most in a window, " << most_in_window << " allowed; " << result.sent << " sent, "
                 << result.served << " served, " << result.refused << " refused, " << result.failed << " failed");
    CHECK(most <= most_in_window);
    CHECK(result.served > 0);
}

}
