#include <Harness/Cluster.h>
#include <TestMain.h>

#include <LibPlatform/Digest.h>
#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <httplib.h>
#include <unistd.h>

namespace {

using Harness::Reply;
using Harness::wait_until;

constexpr int whole_length = 40;

/// One box with one or two engines.
class ModelCluster : public Harness::Cluster {
public:
    explicit ModelCluster(int engines)
    {
        this->start_standin("platform", "platform");
        for (int engine = 1; engine <= engines; ++engine)
            this->start_standin("engine-" + std::to_string(engine), "endpoint", { "--token_ms=5" });
        this->start_box("one", 320);
        this->publish(this->settings(engines));
    }

    [[nodiscard]] std::string settings(int engines) const
    {
        std::string text = "tiers: [urgent, session, background]\n"
                           "classes:\n  branches:\n    lookup: {set: {tier: urgent, target: 2s, target_kind: "
                           "first-token, patience: 20s, repeatable: true}}\n"
                           "accounts:\n  branches:\n    hall: {set: {classes: [lookup], key_hashes: ["
            + Platform::sha256_hex("secret")
            + "]}}\nendpoints:\n  set: {kind: model, pool: models, models: [m], failure_domain: hall-1, slots: 4}\n  "
              "branches:\n";
        for (int engine = 1; engine <= engines; ++engine)
            text += "    engine-" + std::to_string(engine) + ": {set: {address: '127.0.0.1:"
                + std::to_string(this->port("engine-" + std::to_string(engine))) + "'}}\n";
        return text + "routing: {report_interval: 50ms}\n";
    }

    [[nodiscard]] static std::string body(std::string const& token, bool stream, int length = whole_length)
    {
        return nlohmann::json {
            { "model", "m" }, { "stream", stream }, { "messages", { { { "role", "user" }, { "content", token } } } },
            { "standin", { { "token", token }, { "length", length } } }
        }.dump();
    }
    [[nodiscard]] Reply chat(std::string const& token, bool stream, int length = whole_length) const
    {
        return this->post(
            "one", "/v1/chat/completions", body(token, stream, length), { { "Authorization", "Bearer secret" } });
    }
    [[nodiscard]] int runs(std::string const& engine) const { return static_cast<int>(this->journal(engine).size()); }
};

/// Whether the stream contains all events of this request's answer, in order, and the final event.
bool is_whole_stream(std::string const& text, std::string const& token)
{
    std::size_t at = 0;
    for (int piece = 0; piece < whole_length; ++piece) {
        at = text.find(token + ":" + std::to_string(piece) + " ", at);
        if (at == std::string::npos)
            return false;
    }
    return text.ends_with("data: [DONE]\n\n");
}

/// A TCP connection to a box on which nothing, or only single bytes, are sent.
class IdleConnection {
public:
    explicit IdleConnection(int port)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        REQUIRE(connect(this->socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    }
    ~IdleConnection() { close(this->socket); }
    IdleConnection(IdleConnection const&) = delete;
    IdleConnection& operator=(IdleConnection const&) = delete;
    void drip(std::string_view text) const
    {
        CHECK(write(this->socket, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    }

private:
    int socket;
};

}

TEST_CASE("many callers at once each get the whole of their own answer")
{
    ModelCluster const cluster(2);
    std::vector<std::future<Reply>> replies;
    constexpr int callers = 24;
    replies.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        replies.push_back(std::async(
            std::launch::async, [&cluster, caller] { return cluster.chat("caller" + std::to_string(caller), true); }));
    for (int caller = 0; caller < callers; ++caller) {
        auto const reply = replies[static_cast<std::size_t>(caller)].get();
        CHECK(reply.status == 200);
        CHECK(is_whole_stream(reply.body, "caller" + std::to_string(caller)));
    }
}

TEST_CASE("a stream whose engine dies ends with an error event and is never taken for whole")
{
    ModelCluster cluster(1);
    auto reply = std::async(std::launch::async, [&cluster] { return cluster.chat("cut", true, 4000); });
    wait_until("the answer has begun", [&] {
        auto const journal = cluster.journal("engine-1");
        return !journal.empty() && journal[0]["tokens"] > 8;
    });
    cluster.process("engine-1").kill();
    auto const seen = reply.get();
    CHECK(seen.body.find("event: error\n") != std::string::npos);
    CHECK(seen.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(seen.body.find("[DONE]") == std::string::npos);
}

TEST_CASE("an engine that is gone costs a retry, not the answer")
{
    ModelCluster cluster(2);
    cluster.process("engine-1").kill();
    for (int request = 0; request < 8; ++request)
        CHECK(is_whole_stream(
            cluster.chat("retry" + std::to_string(request), true).body, "retry" + std::to_string(request)));
}

TEST_CASE("a caller that goes away stops the engine's work")
{
    ModelCluster const cluster(1);
    httplib::Client client("127.0.0.1", cluster.port("one"));
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = { { "Authorization", "Bearer secret" }, { "Content-Type", "application/json" } };
    request.body = ModelCluster::body("gone", true, 100000);
    request.content_receiver = [](char const*, std::size_t, std::uint64_t, std::uint64_t) { return false; };
    httplib::Response response;
    auto error = httplib::Error::Success;
    CHECK_FALSE(client.send(request, response, error));
    wait_until("the engine has let go of the request", [&] {
        auto const journal = cluster.journal("engine-1");
        return journal.size() == 1 && journal[0]["open"] == false;
    });
    CHECK(cluster.journal("engine-1")[0]["finished"] == false);
}

TEST_CASE("a planned stop cuts no stream and ends with 0")
{
    ModelCluster cluster(1);
    std::vector<std::future<Reply>> replies;
    constexpr int streams = 4;
    replies.reserve(streams);
    for (int stream = 0; stream < streams; ++stream)
        replies.push_back(std::async(
            std::launch::async, [&cluster, stream] { return cluster.chat("drain" + std::to_string(stream), true); }));
    wait_until("all streams run", [&] { return cluster.runs("engine-1") == streams; });
    CHECK(cluster.process("one").terminate() == 0);
    for (int stream = 0; stream < streams; ++stream)
        CHECK(is_whole_stream(replies[static_cast<std::size_t>(stream)].get().body, "drain" + std::to_string(stream)));
}

TEST_CASE("an engine that says it is leaving gets nothing new, and what it has goes on")
{
    ModelCluster const cluster(2);
    cluster.set_faults("engine-1", { { "leaving", true } });
    auto const metrics_show = [&] { return cluster.get(cluster.operator_port("one"), "/status"); };
    wait_until("the box knows", [&] { return metrics_show().find("\"leaving\": 1") != std::string::npos; });
    auto const before = cluster.runs("engine-1");
    for (int request = 0; request < 10; ++request)
        CHECK(cluster.chat("leaving" + std::to_string(request), false).status == 200);
    CHECK(cluster.runs("engine-1") == before);
}

TEST_CASE("200 idle connections and a dripping caller leave an urgent request served")
{
    ModelCluster const cluster(1);
    std::vector<std::unique_ptr<IdleConnection>> idle;
    constexpr int connections = 200;
    idle.reserve(connections);
    for (int connection = 0; connection < connections; ++connection)
        idle.push_back(std::make_unique<IdleConnection>(cluster.port("one")));
    idle.front()->drip("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
    CHECK(is_whole_stream(cluster.chat("urgent", true).body, "urgent"));
}

TEST_CASE("bad input over the wire gets the API's error form, names its field and is counted")
{
    ModelCluster const cluster(1);
    auto const refused = cluster.post("one", "/v1/chat/completions", R"({"model":"other","messages":[{}]})",
        { { "Authorization", "Bearer secret" } });
    CHECK(refused.status == 404);
    CHECK(refused.outcome == "not-run");
    auto const error = nlohmann::json::parse(refused.body)["error"];
    CHECK(error["param"] == "model");
    CHECK(error["code"] == "unknown-model");
    CHECK(error["type"] == "invalid_request_error");
    CHECK(cluster.get(cluster.operator_port("one"), "/metrics")
              .find("cleatbeam_refusals_total{reason=\"unknown-model\"} 1\n")
        != std::string::npos);
    auto const too_large = cluster.post(
        "one", "/v1/chat/completions", std::string((4U << 20U) + 1, 'x'), { { "Authorization", "Bearer secret" } });
    CHECK((too_large.status == 413 || too_large.status == 0));
    CHECK(cluster.post("one", "/v1/chat/completions", "{}", { { "Authorization", "Bearer nobody" } }).status == 401);
    CHECK(cluster.log_of("one").find("nobody") == std::string::npos);
    CHECK(cluster.log_of("one").find("Bearer") == std::string::npos);
}

TEST_CASE("every request can be explained, in order, to its end")
{
    ModelCluster const cluster(1);
    auto const reply = cluster.chat("explained", false);
    CHECK(reply.outcome == "completed");
    auto const timeline = cluster.get(cluster.operator_port("one"), "/explain/" + reply.request_id);
    auto const arrived = timeline.find(" arrived");
    auto const placed = timeline.find(" sent to an endpoint, because placed-in-tier-order; endpoint engine-1");
    auto const ended = timeline.find(" ended, because answer-complete");
    REQUIRE(ended != std::string::npos);
    CHECK(arrived < placed);
    CHECK(placed < ended);
}
