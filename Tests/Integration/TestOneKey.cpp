#include <Harness/Cluster.h>
#include <TestMain.h>

#include <LibPlatform/Digest.h>
#include <future>
#include <iomanip>
#include <sstream>

namespace {

using Harness::Reply;
using Harness::wait_until;

/// Two boxes, a plain service that does not check keys, and one that does.
class KeyedCluster : public Harness::Cluster {
public:
    KeyedCluster()
    {
        this->start_standin("platform", "platform");
        this->start_standin("service", "endpoint");
        this->start_standin("checking", "endpoint", { "--checks_keys" });
        this->start_box("one");
        this->start_box("two");
        this->publish(this->settings());
    }

    [[nodiscard]] std::string settings() const
    {
        return "tiers: [urgent, session, background]\n"
               "classes:\n  branches:\n"
               "    sighting: {set: {tier: urgent, target: 1s, target_kind: whole-answer, patience: 20s, repeatable: "
               "false}}\n"
               "accounts:\n  branches:\n    hall: {set: {classes: [sighting], key_hashes: ["
            + Platform::sha256_hex("secret") + "]}}\n    other: {set: {classes: [sighting], key_hashes: ["
            + Platform::sha256_hex("other secret")
            + "]}}\n"
              "endpoints:\n  set: {kind: service, failure_domain: hall-1, slots: 8}\n  branches:\n"
              "    service: {set: {pool: plain, path_prefixes: [/records], address: '127.0.0.1:"
            + std::to_string(this->port("service"))
            + "'}}\n"
              "    checking: {set: {pool: checking, checks_keys: true, path_prefixes: [/checked], address: '127.0.0.1:"
            + std::to_string(this->port("checking")) + "'}}\n";
    }

    [[nodiscard]] Reply send(std::string const& box, std::string const& key, std::string const& path = "/records") const
    {
        return this->post(box, path, R"({"standin":{"token":"sighting-1","work_ms":10}})",
            { { "Authorization", "Bearer secret" }, { "Idempotency-Key", key } });
    }
    [[nodiscard]] std::future<Reply> send_aside(std::string const& box, std::string const& key) const
    {
        return std::async(std::launch::async, [this, box, key] { return this->send(box, key); });
    }

    /// How often requests with the key were run.
    [[nodiscard]] int runs(std::string const& key, std::string const& endpoint = "service") const
    {
        int runs = 0;
        for (auto const& entry : this->journal(endpoint))
            runs += entry["key"] == key ? 1 : 0;
        return runs;
    }
    [[nodiscard]] int fate_records() const
    {
        return std::stoi(this->get(this->port("platform"), "/streams/fates/count"));
    }
    void wait_fate_records(int count) const
    {
        wait_until(
            "the log holds " + std::to_string(count) + " fate records", [&] { return this->fate_records() >= count; });
    }
    /// Retries as a client does after Retry-After, until the answer is final.
    [[nodiscard]] Reply send_until_final(std::string const& box, std::string const& key) const
    {
        Reply reply;
        wait_until("the answer for " + key + " is final", [&] {
            reply = this->send(box, key);
            return reply.outcome != "undecided";
        });
        return reply;
    }
};

/// A UUIDv7 made `offset_seconds` from now.
std::string new_key(long offset_seconds = 0)
{
    static int number = 0;
    auto const now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    auto const stamp = static_cast<std::uint64_t>(now) + static_cast<std::uint64_t>(offset_seconds) * 1000U;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (stamp >> 16U) << "-" << std::setw(4) << (stamp & 0xffffU)
         << "-7000-8000-" << std::setw(12) << ++number;
    return text.str();
}

bool is_whole(Reply const& reply)
{
    return reply.status == 200 && reply.outcome == "completed"
        && reply.body.find("\"sighting-1\"") != std::string::npos;
}

}

TEST_CASE("the same key through two boxes at one moment runs once, and both callers get its answer")
{
    KeyedCluster const cluster;
    for (int round = 0; round < 5; ++round) {
        auto const key = new_key();
        auto one = cluster.send_aside("one", key);
        auto two = cluster.send_aside("two", key);
        CHECK(is_whole(one.get()));
        CHECK(is_whole(two.get()));
        CHECK(cluster.runs(key) == 1);
    }
}

TEST_CASE("a box killed before its claim stands: a retry through another box runs the key")
{
    KeyedCluster cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "refuse_appends", true } });
    auto lost = cluster.send_aside("one", key);
    wait_until("box one tried to append", [&] {
        return cluster.get(cluster.operator_port("one"), "/metrics")
                   .find("cleatbeam_log_appends_total{result=\"refused\"}")
            != std::string::npos;
    });
    cluster.process("one").kill();
    CHECK(lost.get().status == 0);
    cluster.set_faults("platform", { { "refuse_appends", false } });
    CHECK(is_whole(cluster.send_until_final("two", key)));
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("a box killed between claim and sending: a retry is told unknown, and the key never runs")
{
    KeyedCluster cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "hold_reads", true } });
    auto lost = cluster.send_aside("one", key);
    cluster.wait_fate_records(1);
    cluster.process("one").kill();
    CHECK(lost.get().status == 0);
    cluster.set_faults("platform", { { "hold_reads", false } });
    auto const retry = cluster.send_until_final("two", key);
    CHECK(retry.outcome == "unknown");
    CHECK(cluster.runs(key) == 0);
}

TEST_CASE("a box killed between sending and answer: a retry is told unknown, and the key ran once")
{
    KeyedCluster cluster;
    auto const key = new_key();
    cluster.set_faults("service", { { "freeze_before_answer", true } });
    auto lost = cluster.send_aside("one", key);
    wait_until("the key runs", [&] { return cluster.runs(key) == 1; });
    cluster.process("one").kill();
    CHECK(lost.get().status == 0);
    cluster.set_faults("service", { { "freeze_before_answer", false } });
    CHECK(cluster.send_until_final("two", key).outcome == "unknown");
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("a box killed after its answer: a retry through another box, and through a fresh one, gets the same answer")
{
    KeyedCluster cluster;
    auto const key = new_key();
    auto const first = cluster.send("one", key);
    CHECK(is_whole(first));
    cluster.wait_fate_records(2);
    cluster.process("one").kill();
    auto const second = cluster.send_until_final("two", key);
    CHECK(is_whole(second));
    CHECK(second.body == first.body);
    cluster.start_box("three");
    cluster.wait_ready("three");
    auto const third = cluster.send_until_final("three", key);
    CHECK(is_whole(third));
    CHECK(third.reason == "answer-replayed");
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("a claimant frozen past every time-out does no harm when it wakes")
{
    KeyedCluster cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "hold_reads", true } });
    auto frozen = cluster.send_aside("one", key);
    cluster.wait_fate_records(1);
    cluster.process("one").freeze();
    cluster.set_faults("platform", { { "hold_reads", false } });
    CHECK(cluster.send_until_final("two", key).outcome == "unknown");
    cluster.process("one").thaw();
    auto const woken = frozen.get();
    auto const later = cluster.send_until_final("two", key);
    if (woken.outcome == "completed") {
        CHECK(cluster.runs(key) == 1);
        CHECK(is_whole(later));
    } else {
        // It gave up its claim, with which nobody else could run the request, so the key is settled as not run.
        CHECK(woken.outcome == "undecided");
        wait_until("the claim is settled", [&] { return cluster.send("two", key).outcome == "not-run"; });
        CHECK(cluster.runs(key) == 0);
    }
}

TEST_CASE("a lost append answer neither loses nor doubles the run")
{
    KeyedCluster const cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "lost_answers", 2 } });
    CHECK(is_whole(cluster.send_until_final("one", key)));
    CHECK(cluster.runs(key) == 1);
    cluster.wait_fate_records(3);
    CHECK(is_whole(cluster.send_until_final("two", key)));
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("a claim that turns up late loses to the retry that came before it")
{
    KeyedCluster const cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "late_ms", 4000 }, { "late_appends", 1 } });
    CHECK(cluster.send("one", key).outcome == "undecided");
    CHECK(is_whole(cluster.send_until_final("two", key)));
    cluster.wait_fate_records(3);
    CHECK(is_whole(cluster.send_until_final("one", key)));
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("a claim that turns up late and first is settled not-run, and that stays true")
{
    KeyedCluster const cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "late_ms", 3000 }, { "late_appends", 1 } });
    auto const first = cluster.send("one", key);
    CHECK(first.outcome == "undecided");
    CHECK_FALSE(first.retry_after.empty());
    cluster.wait_fate_records(2);
    for (auto const* box : { "one", "two" })
        wait_until(
            "box " + std::string(box) + " says not-run", [&] { return cluster.send(box, key).outcome == "not-run"; });
    CHECK(cluster.runs(key) == 0);
}

TEST_CASE("an outage of the log leaves keys undecided at once, and they run after it")
{
    KeyedCluster const cluster;
    auto const key = new_key();
    cluster.set_faults("platform", { { "outage", true } });
    wait_until(
        "box one knows that the log is lost", [&] { return cluster.send("one", key).reason == "log-unreachable"; });
    CHECK(cluster.runs(key) == 0);
    CHECK(cluster.send("one", new_key(), "/checked").status == 200);
    cluster.set_faults("platform", { { "outage", false } });
    CHECK(is_whole(cluster.send_until_final("one", key)));
    CHECK(cluster.runs(key) == 1);
}

TEST_CASE("keys whose clock is a day off are told so and do not run")
{
    KeyedCluster const cluster;
    constexpr long day = 24L * 3600;
    auto const future = cluster.send("one", new_key(day + 60));
    CHECK(future.outcome == "undecided");
    CHECK(future.reason == "key-from-future");
    auto const past = cluster.send("one", new_key(-day - 60));
    CHECK(past.outcome == "unknown");
    CHECK(past.reason == "key-too-old");
    CHECK(cluster.journal("service").empty());
}

TEST_CASE("a key used for another request is refused, and another account's equal key is its own")
{
    KeyedCluster const cluster;
    auto const key = new_key();
    CHECK(is_whole(cluster.send("one", key)));
    auto const other = cluster.post("two", "/records", R"({"standin":{"token":"other"}})",
        { { "Authorization", "Bearer secret" }, { "Idempotency-Key", key } });
    CHECK(other.status == 409);
    CHECK(cluster.runs(key) == 1);
    CHECK(other.reason == "key-reused-for-other-request");
    auto const stranger = cluster.post("two", "/records", R"({"standin":{"token":"strangers"}})",
        { { "Authorization", "Bearer other secret" }, { "Idempotency-Key", key } });
    CHECK(stranger.outcome == "completed");
    CHECK(stranger.body.find("strangers") != std::string::npos);
    CHECK(cluster.runs(key) == 2);
}

TEST_CASE("an endpoint that is not there: the key is settled not-run and never runs")
{
    KeyedCluster cluster;
    auto const key = new_key();
    cluster.process("service").kill();
    auto const first = cluster.send("one", key);
    CHECK(first.outcome == "not-run");
    CHECK(first.reason == "connection-refused");
    wait_until("box two says not-run", [&] { return cluster.send("two", key).outcome == "not-run"; });
}

TEST_CASE("an endpoint that checks keys gets them without a claim, and answers a retry alike")
{
    KeyedCluster cluster;
    auto const key = new_key();
    CHECK(is_whole(cluster.send("one", key, "/checked")));
    cluster.process("one").kill();
    CHECK(is_whole(cluster.send("two", key, "/checked")));
    CHECK(cluster.runs(key, "checking") == 1);
    CHECK(cluster.fate_records() == 0);
}
