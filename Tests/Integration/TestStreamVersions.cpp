#include <TestMain.h>

#include <Harness/PlatformCluster.h>

#include <array>
#include <string>
#include <thread>

namespace {

/// Four boxes before endpoints of two software versions, which break each new stream off inside its third event.
struct ReleaseSite : Harness::PlatformCluster {
    static constexpr std::array boxes { "b1", "b2", "b3", "b4" };
    static constexpr int stream_count = 24;

    ReleaseSite()
    {
        for (auto const& [name, version] : servers)
            this->start_server(name, "model", { "--software_version=" + version, "--ends_with_connection" });
        this->configure(1, { "key" });
        for (auto const* box : boxes)
            this->start_box(box, { 8000, 8000, 20000, true });
        for (auto const* box : boxes) {
            this->wait_ready(box);
            Harness::wait_until(std::string(box) + " knows the others",
                [&] { return this->metric(box, "cleatbeam_boxes ") == static_cast<double>(boxes.size()); });
        }
        for (auto const& [name, version] : servers)
            static_cast<void>(this->get(name, "/break-off/3"));
    }

    /// The version that ran the attempt; empty if none did, and "several" if more than one did.
    [[nodiscard]] std::string version_of(std::string const& attempt) const
    {
        std::string found;
        for (auto const& [name, version] : servers) {
            if (this->runs(attempt, { name }) > 0)
                found = found.empty() || found == version ? version : "several";
        }
        return found;
    }

    /// Begins a stream, which breaks off.
    void begin(std::string const& box, std::string const& attempt) const
    {
        static_cast<void>(this->send(box, "/talk/x", attempt, { { "X-Standin-Events", "5" } }));
    }

    /// Takes the stream up behind its second event.
    [[nodiscard]] Harness::Reply take_up(
        std::string const& box, std::string const& attempt, std::string const& first) const
    {
        return this->send(
            box, "/talk/x", attempt, { { "X-Standin-Events", "5" }, { "Last-Event-Id", "2" }, { "Resumes", first } });
    }

    std::map<std::string, std::string> servers { { "m1", "v1" }, { "m2", "v1" }, { "m3", "v1.2" }, { "m4", "v1.2" } };
};

/// Takes stream "s<number>" up at one of the other boxes. It goes on at the version that began it, or has not run.
Harness::Reply take_up_and_check(ReleaseSite const& site, int number)
{
    auto const first = "s" + std::to_string(number);
    auto const second = "t" + std::to_string(number);
    auto reply = site.take_up(ReleaseSite::boxes[1 + number % 3], second, first);
    if (reply.status == 200)
        CHECK(site.version_of(first) == site.version_of(second));
    else
        CHECK(site.runs(second) == 0);
    return reply;
}

}

TEST_CASE("a stream goes on within one answer only at the software version that began it")
{
    ReleaseSite site;
    int whole = 0;
    for (int number = 0; number < ReleaseSite::stream_count; ++number) {
        auto const attempt = "s" + std::to_string(number);
        auto const reply
            = site.send(ReleaseSite::boxes[number % 4], "/resume/x", attempt, { { "X-Standin-Events", "5" } });
        CHECK(site.version_of(attempt) != "several");
        whole += reply.status == 200 && reply.body.ends_with("data: " + attempt + ":5\n\n") ? 1 : 0;
    }
    CHECK(2 * whole >= ReleaseSite::stream_count);
}

TEST_CASE("a client takes its stream up at any box, at the software version that began it")
{
    ReleaseSite site;
    bool is_killed = false;
    SUBCASE("while the first box serves on") { }
    SUBCASE("after the first box was killed")
    {
        is_killed = true;
    }
    for (int number = 0; number < ReleaseSite::stream_count; ++number)
        site.begin("b1", "s" + std::to_string(number));
    if (is_killed)
        site.process("b1").kill();
    int taken_up = 0;
    for (int number = 0; number < ReleaseSite::stream_count; ++number) {
        auto const reply = take_up_and_check(site, number);
        taken_up += reply.status == 200 && reply.body.starts_with("id: 3\n") ? 1 : 0;
    }
    CHECK(2 * taken_up >= ReleaseSite::stream_count);
}

// Guards against boxes that all start anew, know no stream, and continue each at any version.
TEST_CASE("after all boxes were killed no stream is joined from two software versions")
{
    ReleaseSite site;
    for (int number = 0; number < ReleaseSite::stream_count; ++number)
        site.begin(ReleaseSite::boxes[number % 4], "s" + std::to_string(number));
    SUBCASE("both versions in service")
    {
        for (auto const* box : ReleaseSite::boxes)
            site.process(box).kill();
    }
    SUBCASE("killed one after another")
    {
        for (auto const* box : ReleaseSite::boxes) {
            site.process(box).kill();
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    SUBCASE("the old version has just left")
    {
        for (auto const* name : { "m1", "m2" })
            static_cast<void>(site.get(name, "/drain"));
        for (auto const* box : ReleaseSite::boxes)
            site.process(box).kill();
        for (auto const* name : { "m1", "m2" })
            site.process(name).kill();
        site.drop_ended_servers();
    }
    for (auto const* box : ReleaseSite::boxes)
        site.start_box(box, { 8000, 8000, 20000, true });
    for (auto const* box : ReleaseSite::boxes)
        site.wait_ready(box);
    for (int number = 0; number < ReleaseSite::stream_count; ++number)
        static_cast<void>(take_up_and_check(site, number));
}

TEST_CASE("a stream whose origin nobody knows, or whose software version has ended, is refused as not run")
{
    ReleaseSite site;
    for (int number = 0; number < 8; ++number) {
        auto const attempt = "unknown-" + std::to_string(number);
        CHECK(site.take_up("b2", attempt, "never-sent").status == 503);
        CHECK(site.runs(attempt) == 0);
    }
    std::vector<std::string> begun;
    for (int number = 0; number < 8; ++number) {
        begun.push_back("s" + std::to_string(number));
        site.begin("b1", begun.back());
    }
    for (auto const* name : { "m1", "m2" })
        static_cast<void>(site.get(name, "/drain"));
    Harness::wait_until("no new stream begins at the old version", [&] {
        static int number = 0;
        bool is_old = false;
        for (int tries = 0; tries < 8; ++tries) {
            auto const attempt = "n" + std::to_string(number++);
            site.begin(ReleaseSite::boxes[1 + tries % 3], attempt);
            is_old |= site.version_of(attempt) != "v1.2";
        }
        return !is_old;
    });
    for (std::size_t number = 0; number < begun.size(); ++number) {
        auto const attempt = "t" + std::to_string(number);
        auto const reply = site.take_up("b3", attempt, begun[number]);
        CHECK(reply.status == (site.version_of(begun[number]) == "v1" ? 503 : 200));
        CHECK(site.version_of(attempt) != "v1");
    }
}
