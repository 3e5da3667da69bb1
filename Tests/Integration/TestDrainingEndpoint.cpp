#include <TestMain.h>

#include "DeskSite.h"
#include <algorithm>
#include <thread>

namespace {

constexpr int drain_milliseconds = 300;
constexpr int requests_of_box = 20;

}

TEST_CASE("an endpoint that says in its answers that it leaves gets nothing new, whatever the store lists")
{
    DeskSite site(drain_milliseconds);
    site.have_reporter("/leave");
    site.reach_reporter_from_all();
    std::this_thread::sleep_for(std::chrono::milliseconds(drain_milliseconds));
    int reached = 0;
    for (int number = 0; number < requests_of_box; ++number)
        for (auto const* box : DeskSite::boxes)
            reached += site.runs_at_reporter(box) ? 1 : 0;
    CHECK(reached == 0);
}
