#include <TestMain.h>

#include "DeskSite.h"
#include <thread>

TEST_CASE("an endpoint that turned a request away and said when to come back gets nothing from that box until then")
{
    constexpr double backoff_seconds = 3;
    /// Requests that were under way when the endpoint asked for the pause may still arrive: how long, and how many.
    constexpr double slack_ms = 500;
    constexpr int most_in_backoff = 2;

    DeskSite site;
    auto const* const box = DeskSite::boxes[0];
    Harness::wait_until("the endpoint has answered the box", [&] { return site.runs_at_reporter(box); });
    site.have_reporter("/retry-after/" + std::to_string(backoff_seconds));
    auto const before = site.arrivals().size();
    Harness::wait_until("the endpoint has turned the box away", [&] {
        static_cast<void>(site.send(box, "/repeat/x", "turned-away-" + std::to_string(site.sent++)));
        return site.arrivals().size() > before;
    });
    auto const first = site.arrivals().at(before);
    int served = 0;
    constexpr int requests = 150;
    for (int number = 0; number < requests; ++number) {
        served += site.send(box, "/repeat/x", "in-backoff-" + std::to_string(number)).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    int in_backoff = 0;
    for (auto const arrival : site.arrivals())
        in_backoff += arrival >= first + slack_ms && arrival < first + backoff_seconds * 1000 ? 1 : 0;
    CHECK(in_backoff <= most_in_backoff);
    CHECK(served >= requests * 9 / 10);
}
