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
        if (random(2) == 0 && budget.try_spend({}, now))
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
    while (budget.try_spend({}, start))
        ++spent;
    CHECK(spent == 2);
    CHECK_FALSE(budget.try_spend({}, start + seconds(9)));
    CHECK(budget.try_spend({}, start + seconds(11)));
}

namespace {

/// Boxes that together receive requests at a constant rate, and retry as often as they may, in virtual time.
class RetryingBoxes {
public:
    RetryingBoxes(std::size_t count, RetryBounds bounds)
        : bounds(bounds)
        , budgets(count, RetryBudget(bounds))
    {
        std::vector<std::string> names;
        for (std::size_t number = 0; number < count; ++number)
            names.push_back("box-" + std::to_string(number));
        for (auto const& name : names)
            this->groups.emplace_back(name, names);
    }

    /// Each box gets this many requests a second on average.
    void run(Duration duration, double rate)
    {
        auto const interval = Core::from_seconds(1 / (rate * static_cast<double>(this->budgets.size())));
        for (auto const until = this->now + duration; this->now < until; this->now += interval) {
            auto const box = this->random(static_cast<std::uint32_t>(this->budgets.size()));
            this->budgets[box].request_sent(this->now);
            this->requests.push_back(this->now);
            if (this->budgets[box].try_spend(this->groups[box], this->now))
                this->retries.push_back(this->now);
        }
    }

    [[nodiscard]] double requests_in_window() const
    {
        return count_after(this->requests, this->now - this->bounds.window);
    }
    [[nodiscard]] double retries_in_window() const
    {
        return count_after(this->retries, this->now - this->bounds.window);
    }

private:
    RetryBounds bounds;
    std::vector<RetryBudget> budgets;
    std::vector<BoxGroup> groups;
    Instant now { seconds(1000) };
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    pcg32 random { 20261203 };
};

}

// Guards against a part of the slack for each box that does not get smaller with more boxes.
TEST_CASE("any number of boxes stays within the shared retry budget, and uses most of it")
{
    RetryBounds const bounds { 0.2, seconds(10), 200 };
    for (std::size_t const count : { 7, 88, 985, 1970 }) {
        CAPTURE(count);
        RetryingBoxes boxes(count, bounds);
        for (int second = 0; second < 30; ++second) {
            boxes.run(seconds(1), 0.8);
            auto const most = boxes.requests_in_window() * bounds.ratio + bounds.slack;
            REQUIRE(boxes.retries_in_window() <= most);
        }
        auto const of_requests = boxes.requests_in_window() * bounds.ratio;
        CHECK(boxes.retries_in_window() >= of_requests * 0.8);
    }
}
