#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <algorithm>

/// Real boxes, one of which reports usage and orders servers for all, with stand-ins for the store, the endpoints and
/// the platform.
namespace {

using Harness::PlatformCluster;
using Harness::wait_until;
using nlohmann::json;

struct Site : PlatformCluster {
    Site()
    {
        this->start_cloud();
        this->start_server("d1", "desk");
        this->start_server("d2", "desk");
        this->configure(1, { "key" });
        for (auto const* box : { "b1", "b2", "b3" })
            this->start(box);
        for (auto const* box : { "b1", "b2", "b3" })
            this->wait_ready(box);
        wait_until("a box leads", [&] { return !this->leader().empty(); });
    }

    void start(std::string const& box)
    {
        Harness::BoxBounds bounds { 8000, 8000, 20000, true };
        bounds.has_leader = true;
        this->start_box(box, bounds);
    }

    /// The box that considers itself the leader; empty if none or several do.
    [[nodiscard]] std::string leader() const
    {
        std::string found;
        for (auto const* box : { "b1", "b2", "b3" }) {
            if (this->metric(box, "cleatbeam_leads ") < 1)
                continue;
            if (!found.empty())
                return "";
            found = box;
        }
        return found;
    }

    /// Requests of the account in all reported windows, each window counted once.
    [[nodiscard]] std::uint64_t reported() const
    {
        std::uint64_t sum = 0;
        for (auto const& [window, counts] : this->reports())
            sum += counts.value("account", std::uint64_t { 0 });
        return sum;
    }

    /// The counts that the platform accepted, by window.
    [[nodiscard]] std::map<std::uint64_t, json> reports() const
    {
        std::map<std::uint64_t, json> reports;
        for (auto const& call : this->taken_calls()) {
            if (call["call"] != "/usage")
                continue;
            auto const [position, is_first] = reports.try_emplace(call["window_id"], call["counts"]);
            // No window may be reported twice with different counts.
            CHECK(position->second == call["counts"]);
        }
        return reports;
    }

    /// Sends this number of requests, spread over the boxes.
    void serve(std::vector<std::string> const& boxes, int requests)
    {
        for (int number = 0; number < requests; ++number) {
            auto const& box = boxes[static_cast<std::size_t>(number) % boxes.size()];
            REQUIRE(this->send(box, "/once/x", "r" + std::to_string(this->sent++)).status == 200);
        }
    }

    /// Checks that no token belongs to two boxes and that tokens never decrease.
    void check_tokens() const
    {
        std::map<std::uint64_t, std::string> boxes_by_token;
        for (auto const& call : this->taken_calls()) {
            auto const [position, is_first] = boxes_by_token.try_emplace(call["token"], call["box"]);
            CHECK(position->second == call["box"]);
        }
    }

    int sent { 0 };
};

std::vector<std::string> boxes_without(std::string const& name)
{
    std::vector<std::string> boxes { "b1", "b2", "b3" };
    std::erase(boxes, name);
    return boxes;
}

}

TEST_CASE("requests of all boxes are reported, each once")
{
    Site site;
    site.serve({ "b1", "b2", "b3" }, 30);
    wait_until("all are reported", [&] { return site.reported() == 30; });
    site.check_tokens();
}

TEST_CASE("a leader that is killed is followed, and what the others counted is reported")
{
    Site site;
    auto const first = site.leader();
    site.serve({ "b1", "b2", "b3" }, 12);
    wait_until("these are reported", [&] { return site.reported() == 12; });
    SUBCASE("killed")
    {
        site.process(first).kill();
    }
    SUBCASE("standing still, and going on when another one leads")
    {
        site.process(first).freeze();
    }
    SUBCASE("stopped as planned")
    {
        CHECK(site.process(first).terminate() == 0);
    }
    auto const others = boxes_without(first);
    site.serve(others, 10);
    wait_until("another box leads", [&] {
        return std::ranges::any_of(others, [&](auto const& box) { return site.metric(box, "cleatbeam_leads ") > 0; });
    });
    wait_until("these are reported too", [&] { return site.reported() >= 22; });
    CHECK(site.reported() == 22);
    site.check_tokens();
}

// Guards against the loss of counts whose report isn't due yet while nobody leads for several windows.
TEST_CASE("what boxes counted before a late takeover is reported while it is due")
{
    Site site;
    auto const first = site.leader();
    site.process(first).kill();
    site.set_store_mode("reset");
    auto const others = boxes_without(first);
    site.serve(others, 10);
    constexpr std::int64_t windows_without_leader_milliseconds = 4000;
    auto const late = Core::wall_clock_milliseconds() + windows_without_leader_milliseconds;
    wait_until("four windows are over", [&] { return Core::wall_clock_milliseconds() > late; });
    site.set_store_mode("");
    wait_until("all are reported", [&] { return site.reported() == 10; });
    site.check_tokens();
}

TEST_CASE("a leader that stood still finds out that another one leads before it acts")
{
    Site site;
    auto const first = site.leader();
    site.process(first).freeze();
    auto const others = boxes_without(first);
    wait_until("another box leads", [&] {
        return std::ranges::any_of(others, [&](auto const& box) { return site.metric(box, "cleatbeam_leads ") > 0; });
    });
    site.process(first).thaw();
    wait_until("one box leads", [&] { return !site.leader().empty(); });
    CHECK(site.leader() != first);
    site.serve({ "b1", "b2", "b3" }, 9);
    wait_until("all are reported", [&] { return site.reported() >= 9; });
    site.check_tokens();
}

TEST_CASE("a store that comes back from a copy makes no second report, and a token that rises")
{
    Site site;
    site.serve({ "b1", "b2", "b3" }, 9);
    wait_until("these are reported", [&] { return site.reported() == 9; });
    auto const highest = [&] {
        std::uint64_t token = 0;
        for (auto const& call : site.taken_calls())
            token = std::max(token, call["token"].get<std::uint64_t>());
        return token;
    };
    auto const before = highest();
    site.set_store_mode("reset");
    site.restore_store(3000);
    site.set_store_mode("");
    wait_until("a token of the new history is used", [&] { return highest() > before + (1ULL << 31U); });
    auto const reported = site.reported();
    site.serve({ "b1", "b2", "b3" }, 9);
    wait_until("what came after is reported", [&] { return site.reported() >= reported + 9; });
    site.check_tokens();
}

TEST_CASE("a platform that is away gets every report when it is back")
{
    Site site;
    site.set_cloud_mode("busy");
    site.serve({ "b1", "b2", "b3" }, 12);
    std::string const gave_up = "cleatbeam_usage_reports_total{outcome=\"refused\"}";
    wait_until("a report is refused",
        [&] { return site.metric("b1", gave_up) + site.metric("b2", gave_up) + site.metric("b3", gave_up) > 0; });
    site.set_cloud_mode("");
    wait_until("all are reported", [&] { return site.reported() == 12; });
    site.check_tokens();
}

TEST_CASE("servers are ordered within the bounds, and a new leader gives the orders again")
{
    Site site;
    auto const orders = [&](std::string const& box) {
        int count = 0;
        for (auto const& call : site.taken_calls()) {
            if (call["call"] != "/scale")
                continue;
            CHECK(call["service"] == "desk");
            CHECK(call["zone"] == "hall-1");
            CHECK(call["desired"].get<int>() <= 4);
            count += call["box"] == box ? 1 : 0;
        }
        return count;
    };
    auto const first = site.leader();
    wait_until("it orders", [&] { return orders(first) > 0; });
    site.process(first).kill();
    auto const others = boxes_without(first);
    wait_until("its successor orders",
        [&] { return std::ranges::any_of(others, [&](auto const& box) { return orders(box) > 0; }); });
    site.check_tokens();
}
