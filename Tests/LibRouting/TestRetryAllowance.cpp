#include <TestMain.h>

#include <LibRouting/RetryBudget.h>
#include <algorithm>
#include <pcg_random.hpp>
#include <vector>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

int count_after(std::vector<Instant> const& instants, Instant cutoff)
{
    return static_cast<int>(std::ranges::count_if(instants, [&](Instant instant) { return instant >= cutoff; }));
}

}

TEST_CASE("boxes stay within their shared retry budget in every window without communication")
{
    constexpr int boxes = 7;
    RetryBounds const bounds { 0.2, seconds(10), 52 };
    std::vector<RetryBudget> budgets(boxes, RetryBudget(bounds));
    pcg32 random(20261202);
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    auto now = Instant {} + seconds(1);
    for (int step = 0; step < 20000; ++step) {
        // Traffic varies, so that a window with few requests follows one with many.
        now += milliseconds(step / 2000 % 2 == 0 ? 2 : 40);
        auto& budget = budgets[random(boxes)];
        budget.request_sent(now);
        requests.push_back(now);
        if (random(2) == 0 && budget.try_spend(now))
            retries.push_back(now);
        auto const in_window = count_after(requests, now - bounds.window);
        auto const before = count_after(requests, now - 2 * bounds.window) - in_window;
        auto const most = std::max(in_window, before) * bounds.ratio + bounds.slack;
        REQUIRE(count_after(retries, now - bounds.window) <= most);
        if (step % 500 == 0) {
            std::erase_if(requests, [&](Instant instant) { return instant < now - 3 * bounds.window; });
            std::erase_if(retries, [&](Instant instant) { return instant < now - 3 * bounds.window; });
        }
    }
    CHECK(!retries.empty());
}

TEST_CASE("a box without requests may retry little, and again once the window has passed")
{
    RetryBudget budget({ 0.2, seconds(10), 50 });
    auto const start = Instant {} + seconds(100);
    int spent = 0;
    while (budget.try_spend(start))
        ++spent;
    CHECK(spent == 2);
    CHECK_FALSE(budget.try_spend(start + seconds(9)));
    CHECK(budget.try_spend(start + seconds(11)));
}
