#include <TestMain.h>

#include <Harness/PlatformCluster.h>
#include <array>
#include <doctest/doctest.h>
#include <string>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;
using Harness::Fault;

/// How long after the cut clients of the box may still notice it.
constexpr auto contact = std::chrono::seconds(3);
/// Longer than an idle connection to an endpoint is kept.
constexpr auto idle_connections = std::chrono::seconds(2);

/// Three boxes before five endpoints of two services, each of which a box can be cut off from.
struct CutSite : Harness::PlatformCluster {
    static constexpr std::array boxes { "b1", "b2", "b3" };
    static constexpr auto cut_box = "b1";
    static constexpr auto other_box = "b2";

    CutSite()
    {
        for (auto const* name : { "m1", "m2" })
            this->start_proxied_server(name, "model");
        for (auto const* name : { "d1", "d2", "d3" })
            this->start_proxied_server(name, "desk");
        this->configure(1, { "key" });
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
        this->served_of(cut_box, 10);
        this->served_of(other_box, 10);
    }

    /// Sends requests of all kinds, one after the other. Returns how many were served whole.
    int served_of(std::string const& box, int requests)
    {
        int served = 0;
        for (int number = 0; number < requests; ++number) {
            auto const attempt = "a" + std::to_string(this->sent++);
            auto const* const path = std::array { "/once/x", "/repeat/x", "/stream/x" }[number % 3];
            std::map<std::string, std::string> headers { { "X-Deadline-Ms", "2000" } };
            bool const is_stream = number % 3 == 2;
            if (is_stream)
                headers["X-Standin-Events"] = "3";
            auto const reply = this->send(box, path, attempt, headers);
            auto const whole = is_stream ? "id: 3\ndata: " + attempt + ":3\n\n" : "ran " + attempt;
            served += reply.status == 200 && reply.body.ends_with(whole) ? 1 : 0;
            auto const runs = this->runs(attempt);
            if (number % 3 == 0) {
                CHECK(runs <= 1);
                CHECK((runs == 0 || reply.status != 503));
            }
        }
        return served;
    }

    int sent { 0 };
};

}

TEST_CASE("clients of a box that is cut off from all endpoints are served nearly as often as those of other boxes")
{
    CutSite site;
    SUBCASE("its connections are reset")
    {
        site.cut_off(CutSite::cut_box, Fault::Reset);
        auto const end_of_contact = Clock::now() + contact;
        while (Clock::now() < end_of_contact) {
            static_cast<void>(site.served_of(CutSite::cut_box, 1));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    SUBCASE("its connections live on, new ones are refused, and nothing uses either for a while")
    {
        site.cut_off(CutSite::cut_box, Fault::RefuseNew);
        std::this_thread::sleep_for(contact + idle_connections);
    }
    SUBCASE("its connections live on, new ones are accepted and reset later, and nothing uses either for a while")
    {
        site.cut_off(CutSite::cut_box, Fault::ResetNewLate);
        std::this_thread::sleep_for(contact + idle_connections);
    }
    constexpr int requests = 60;
    auto const served = site.served_of(CutSite::cut_box, requests);
    auto const served_by_other = site.served_of(CutSite::other_box, requests);
    CHECK(3 * served >= 2 * served_by_other);
    CHECK(served_by_other == requests);
    site.cut_off(CutSite::cut_box, Fault::None);
    Harness::wait_until("the box reaches the endpoints again",
        [&] { return site.metric(CutSite::cut_box, "cleatbeam_endpoints_unreachable ") == 0; });
    CHECK(site.served_of(CutSite::cut_box, requests) == requests);
}
