#include <TestMain.h>

#include <Harness/PlatformCluster.h>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

namespace {

constexpr std::array boxes { "b1", "b2", "b3" };
constexpr std::array servers { "d1", "d2", "d3", "d4" };
/// Servers that may fail while they are brittle: two and a tenth of their number.
constexpr int tolerated_failures = 2;
/// Rejections in a second that a server bears.
constexpr auto be_brittle = "/brittle/5";

}

TEST_CASE("endpoints that fail when they have to reject many requests stay up under more load than they can take")
{
    Harness::PlatformCluster site;
    for (auto const* server : servers)
        site.start_server(server, "desk", { "--server_slots=2", "--work_ms=50" });
    site.configure(1, { "key" });
    for (auto const* box : boxes)
        site.start_box(box, { 8000, 8000, 20000, true });
    for (auto const* box : boxes) {
        site.wait_ready(box);
        Harness::wait_until(std::string(box) + " knows the others",
            [&] { return site.metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
    }
    for (auto const* server : servers)
        static_cast<void>(site.get(server, be_brittle));
    std::atomic<int> served { 0 };
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    constexpr int clients = 24;
    std::vector<std::jthread> load;
    load.reserve(clients);
    for (int client = 0; client < clients; ++client)
        load.emplace_back([&, client] {
            for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
                auto const attempt = "a" + std::to_string(client) + "-" + std::to_string(number);
                auto const* const box = boxes[static_cast<std::size_t>(client + number) % boxes.size()];
                served += site.send(box, "/once/x", attempt).status == 200 ? 1 : 0;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        });
    load.clear();
    CHECK(site.ended_servers() <= tolerated_failures);
    CHECK(served > 0);
    MESSAGE(served.load() << " served, " << site.ended_servers() << " servers failed");
}
