#include <TestMain.h>

#include <Harness/PlatformCluster.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

constexpr std::array boxes { "b1", "b2", "b3" };
constexpr auto limited = "d1";
constexpr double limit_per_second = 1;
constexpr double window_ms = 4000;
/// What may reach the endpoint in a window: one and a half times its limit, and five.
constexpr auto most_in_window = static_cast<std::size_t>(1.5 * limit_per_second * window_ms / 1000 + 5);

/// Three boxes before two servers of a plain service, one of which can name a limit.
struct LimitedSite : Harness::PlatformCluster {
    LimitedSite()
    {
        this->start_server(limited, "desk");
        this->start_server("d2", "desk");
        this->configure(1, { "key" });
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
    }

    /// Sends one request; whether the server that names limits ran it.
    bool runs_at_limited(char const* box)
    {
        auto const attempt = "a" + std::to_string(this->sent++);
        CHECK(this->send(box, "/once/x", attempt).status == 200);
        return this->runs(attempt, { limited }) == 1;
    }

    /// Sends at all boxes until each has had an answer from the server that names limits.
    void reach_limited_from_all()
    {
        for (auto const* box : boxes)
            Harness::wait_until(std::string(box) + " has an answer", [&] { return this->runs_at_limited(box); });
    }

    [[nodiscard]] std::vector<double> arrivals() const
    {
        return nlohmann::json::parse(this->get(limited, "/arrivals"));
    }

    int sent { 0 };
};

/// The most requests in any window, among those that arrived after the first so many.
std::size_t most_arrivals(std::vector<double> const& arrivals, std::size_t skipped)
{
    std::size_t most = 0;
    for (auto first = skipped; first < arrivals.size(); ++first) {
        auto const end = std::ranges::lower_bound(arrivals, arrivals[first] + window_ms);
        most = std::max(most, static_cast<std::size_t>(end - arrivals.begin()) - first);
    }
    return most;
}

}

TEST_CASE("boxes that an endpoint told its rate limit send it no more than that all together")
{
    LimitedSite site;
    static_cast<void>(site.get(limited, "/limit/" + std::to_string(limit_per_second)));
    site.reach_limited_from_all();
    auto const before = site.arrivals().size();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    for (std::size_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
        static_cast<void>(site.runs_at_limited(boxes.at(number % boxes.size())));
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(most_arrivals(site.arrivals(), before) <= most_in_window);
}

TEST_CASE("a box that starts knows the limits that endpoints told others")
{
    LimitedSite site;
    static_cast<void>(site.get(limited, "/limit/" + std::to_string(limit_per_second)));
    Harness::wait_until("the limit is known", [&] {
        static_cast<void>(site.runs_at_limited(boxes[0]));
        return site.metric(boxes[0], "cleatbeam_limited_endpoints ") == 1;
    });
    site.start_box("b4", { 8000, 8000, 20000, true });
    Harness::wait_until("the new box knows it too, without an answer of its own",
        [&] { return site.metric("b4", "cleatbeam_limited_endpoints ") == 1; });
}

TEST_CASE("an endpoint gets its share again at every box once it names no limit any more")
{
    LimitedSite site;
    static_cast<void>(site.get(limited, "/limit/" + std::to_string(limit_per_second)));
    site.reach_limited_from_all();
    static_cast<void>(site.get(limited, "/limit/"));
    for (auto const* box : boxes) {
        constexpr int in_a_row = 10;
        Harness::wait_until(std::string(box) + " sends there as before", [&] {
            int reached = 0;
            for (int number = 0; number < in_a_row; ++number)
                reached += site.runs_at_limited(box) ? 1 : 0;
            return reached >= 3;
        });
    }
}
