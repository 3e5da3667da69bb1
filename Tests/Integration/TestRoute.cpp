#include <TestMain.h>

#include <Harness/PlatformCluster.h>
#include <future>

namespace {

using Harness::PlatformCluster;
using Harness::wait_until;

/// Three boxes that are configured and ready, two endpoints for streams and two for plain calls.
struct Site : PlatformCluster {
    Site()
    {
        this->start_server("m1", "model");
        this->start_server("m2", "model");
        this->start_server("d1", "desk");
        this->start_server("d2", "desk");
        this->configure(1, { "key", "other" });
        for (auto const* box : boxes) {
            this->start_box(box);
            this->wait_ready(box);
        }
    }
    static constexpr std::array boxes { "b1", "b2", "b3" };
};

std::string whole_stream(std::string const& attempt, int events)
{
    std::string text;
    for (int event = 1; event <= events; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + attempt + ":" + std::to_string(event) + "\n\n";
    return text;
}

}

TEST_CASE("streams and calls are served whole through every box, each run once")
{
    Site const site;
    for (auto const* box : Site::boxes) {
        std::string const name = box;
        CHECK(site.send(name, "/stream/x", "s-" + name, { { "X-Standin-Events", "5" } }).body
            == whole_stream("s-" + name, 5));
        CHECK(site.send(name, "/once/x", "o-" + name).body == "ran o-" + name);
        CHECK(site.send(name, "/repeat/x", "r-" + name).body == "ran r-" + name);
        for (auto const* kind : { "s-", "o-", "r-" })
            CHECK(site.runs(kind + name) == 1);
    }
    // The endpoint receives the account, never the key, and the client's remaining time.
    auto const run = [&] {
        for (auto const* server : { "d1", "d2" }) {
            auto const journal = site.journal(server);
            if (journal.contains("o-b1"))
                return journal["o-b1"];
        }
        return nlohmann::json();
    }();
    CHECK(run["tenant"] == "account");
    CHECK(run["key_seen"] == false);
    CHECK(run["body"] == "body of o-b1");
    CHECK(std::stoi(run["left_ms"].get<std::string>()) <= 15000);
    CHECK(site.metrics("b1").find("cleatbeam_requests_total{route=\"/once/\",status=\"200\"} 1") != std::string::npos);
}

TEST_CASE("unknown routes and keys are refused, and a removed key is refused everywhere")
{
    Site site;
    CHECK(site.send("b1", "/nowhere/x", "n").status == 404);
    CHECK(site.send("b1", "/once/x", "k", { { "X-Key", "wrong" } }).status == 401);
    CHECK(site.send("b1", "/once/x", "k1", { { "X-Key", "other" } }).status == 200);
    site.configure(5, { "key" });
    for (auto const* box : Site::boxes) {
        wait_until("the key is gone at every box", [&] {
            return site.send(box, "/once/x", "k2", { { "X-Key", "other" } }).status == 401;
        });
        CHECK(site.send(box, "/once/x", std::string("k3-") + box).status == 200);
    }
    // An older version that arrives later changes nothing.
    site.configure(3, { "key", "other" });
    site.configure(6, { "key", "third" });
    wait_until("the newer version is in force", [&] {
        return site.send("b1", "/once/x", "k4", { { "X-Key", "third" } }).status == 200;
    });
    CHECK(site.send("b1", "/once/x", "k5", { { "X-Key", "other" } }).status == 401);
}

TEST_CASE("a box that can't reach the store stops serving keys, and serves again when the store is back")
{
    Site const site;
    auto const* const mode = "silent";
    site.set_store_mode(mode);
    wait_until("the lease has run out", [&] { return site.send("b1", "/once/x", "l").status == 503; });
    CHECK(!site.send("b1", "/once/x", "l-refused").retry_after.empty());
    CHECK(site.runs("l-refused") == 0);
    CHECK(site.send("b1", "/nowhere/x", "l-unknown").status == 503);
    site.set_store_mode("");
    wait_until("the box serves again", [&] { return site.send("b1", "/once/x", "l-again").status == 200; });
    site.wait_ready("b1");
}

TEST_CASE("a server that drains gets nothing new, and one that is killed is left for the others")
{
    Site site;
    CHECK(site.get("d1", "/drain") == "{}");
    int sent = 0;
    wait_until("the drain is known", [&] {
        auto const attempt = "d-" + std::to_string(++sent);
        return site.send("b1", "/repeat/x", attempt).status == 200 && site.journal("d2").contains(attempt) && sent > 20;
    });
    for (int index = 0; index < 20; ++index) {
        auto const attempt = "after-" + std::to_string(index);
        CHECK(site.send("b1", "/repeat/x", attempt).status == 200);
        CHECK(site.journal("d2").contains(attempt));
    }
    site.process("m1").kill();
    for (int index = 0; index < 10; ++index) {
        auto const attempt = "m-" + std::to_string(index);
        wait_until("streams go to the server that is left", [&] {
            return site.send("b1", "/stream/x", attempt, { { "X-Standin-Events", "2" } }).status == 200;
        });
    }
}

TEST_CASE("a call that may not be repeated runs once, though its server dies while it runs")
{
    PlatformCluster site;
    site.start_server("slow", "desk", { "--work_ms=60000" });
    site.configure(1, { "key" });
    site.start_box("b1");
    site.wait_ready("b1");
    auto reply = std::async(std::launch::async, [&] { return site.send("b1", "/once/x", "dies"); });
    wait_until("the server runs it", [&] { return site.runs("dies") == 1; });
    site.start_server("spare", "desk");
    site.process("slow").kill();
    CHECK(reply.get().status == 502);
    CHECK(site.runs("dies") == 0); // The dead server's journal is gone; the spare never saw it.
}

TEST_CASE("a planned stop finishes what is open, refuses readiness at once and ends with 0")
{
    Site site;
    auto reply = std::async(std::launch::async, [&] {
        return site.send("b1", "/stream/x", "open", { { "X-Standin-Events", "200" } });
    });
    wait_until("the stream runs", [&] { return site.runs("open") == 1; });
    CHECK(site.process("b1").terminate() == 0);
    CHECK(reply.get().body == whole_stream("open", 200));
}
