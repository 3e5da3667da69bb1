#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace {

/// The rule: at most three requests more once five endpoints have crashed.
constexpr int tolerated_crashes = 5 + 3;

/// A process that crashes accepts connections for some milliseconds; its requests are bystanders of the crash.
constexpr auto time_to_exit = std::chrono::milliseconds(50);

/// How endpoints crash, and what the requests look like.
struct Scene {
    std::string path;
    std::string service;
    /// Event of a stream inside which the endpoint crashes; 0 if it crashes before it answers.
    int crash_at_event { 0 };
    /// The shared parts of a harmful prompt.
    std::string harmful_parts { "aa:100,bad:200," };
};

/// Three boxes before ten endpoints that crash under one part of a prompt, and are started again.
class HarmfulPartSite : public Harness::PlatformCluster {
public:
    static constexpr std::array boxes { "b1", "b2", "b3" };
    static constexpr int server_count = 10;

    explicit HarmfulPartSite(Scene scene)
        : scene(std::move(scene))
    {
        for (int number = 1; number <= server_count; ++number)
            this->start_server("s" + std::to_string(number), this->scene.service,
                { "--crash_on_part=bad", "--crash_at_event=" + std::to_string(this->scene.crash_at_event) });
        this->configure(1, { "key" });
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
    }

    /// Each request differs from all others in its body and in the last part of its prompt.
    Harness::Reply send_harmful() { return this->send_with(this->scene.harmful_parts); }
    /// Returns whether the request was served.
    bool send_sound(std::string const& parts = "aa:100,cc:50,") { return this->send_with(parts).status == 200; }

    /// Number of endpoints that have crashed so far. Starts them again.
    int crashes()
    {
        this->crashed += this->ended_servers();
        static_cast<void>(this->restart_ended_servers());
        return this->crashed;
    }

private:
    Harness::Reply send_with(std::string const& parts)
    {
        auto const number = this->sent++;
        return this->send(boxes.at(number % boxes.size()), this->scene.path + "x", "r" + std::to_string(number),
            { { "X-Standin-Events", "5" }, { "X-Prompt-Prefix", parts + std::to_string(number) + ":10" },
                { "X-Token-Count", "310,5" } });
    }

    Scene scene;
    std::size_t sent { 0 };
    int crashed { 0 };
};

}

TEST_CASE("requests that share a prompt part under which endpoints crash are sent to no more of them")
{
    Scene scene;
    SUBCASE("not repeatable, before the answer")
    {
        scene = { "/once/", "desk" };
    }
    SUBCASE("repeatable, before the answer")
    {
        scene = { "/repeat/", "desk" };
    }
    SUBCASE("a stream, after its first event")
    {
        scene = { "/stream/", "model", 2 };
    }
    SUBCASE("a stream that may go on elsewhere")
    {
        scene = { "/resume/", "model", 2 };
    }
    SUBCASE("the part is the first of the prompt")
    {
        scene = { "/once/", "desk", 0, "bad:200,cc:50," };
    }
    HarmfulPartSite site(scene);
    constexpr int rounds = 30;
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        static_cast<void>(site.send_harmful());
        std::this_thread::sleep_for(time_to_exit);
        served += site.send_sound() ? 1 : 0;
        REQUIRE(site.crashes() <= tolerated_crashes);
    }
    CHECK(2 * served >= rounds);
    // A run that decides anew may be due.
    Harness::wait_until("the requests are refused", [&] {
        auto const reply = site.send_harmful();
        return reply.status == 503 && !reply.retry_after.empty();
    });
    CHECK(site.crashes() <= tolerated_crashes);
    for (std::size_t time = 0; time < 2 * HarmfulPartSite::boxes.size(); ++time)
        CHECK(site.send_sound());
}
