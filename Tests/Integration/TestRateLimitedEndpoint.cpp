#include <TestMain.h>

#include "DeskSite.h"
#include <algorithm>
#include <thread>

namespace {

constexpr double limit_per_second = 1;
constexpr double window_ms = 4000;
/// Requests that may reach the endpoint in a window: one and a half times its limit plus five.
constexpr auto most_in_window = static_cast<std::size_t>(1.5 * limit_per_second * window_ms / 1000 + 5);

std::string const name_limit = "/limit/" + std::to_string(limit_per_second);

/// The largest number of requests in any window, without the first ones.
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
    DeskSite site;
    site.have_reporter(name_limit);
    site.reach_reporter_from_all();
    auto const before = site.arrivals().size();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    for (std::size_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
        static_cast<void>(site.runs_at_reporter(DeskSite::boxes.at(number % DeskSite::boxes.size())));
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(most_arrivals(site.arrivals(), before) <= most_in_window);
}

TEST_CASE("a box that starts knows the limits that endpoints told others")
{
    DeskSite site;
    site.have_reporter(name_limit);
    auto const* const told = DeskSite::boxes[0];
    Harness::wait_until("the limit is known", [&] {
        static_cast<void>(site.runs_at_reporter(told));
        return site.metric(told, "cleatbeam_limited_endpoints ") == 1;
    });
    site.start_one_box("b4");
    Harness::wait_until("the new box knows it too, without an answer of its own",
        [&] { return site.metric("b4", "cleatbeam_limited_endpoints ") == 1; });
}

TEST_CASE("an endpoint gets its share again at every box once it names no limit any more")
{
    DeskSite site;
    site.have_reporter(name_limit);
    site.reach_reporter_from_all();
    site.have_reporter("/limit/");
    for (auto const* box : DeskSite::boxes) {
        constexpr int in_a_row = 10;
        Harness::wait_until(std::string(box) + " sends there as before", [&] {
            int reached = 0;
            for (int number = 0; number < in_a_row; ++number)
                reached += site.runs_at_reporter(box) ? 1 : 0;
            return reached >= 3;
        });
    }
}
