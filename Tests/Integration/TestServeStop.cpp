#include <TestMain.h>

#include "ServeSite.h"

/// Clients that are slow while `cleatbeam serve` is told to stop. If the box waited for them, it would run for as long
/// as they like, and its terminate() would not return.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

constexpr int crowd_size = 20;
constexpr std::size_t length = ServeSite::max_body_bytes;

}

TEST_CASE("a box that is told to stop ends beside callers that send a byte of their bodies now and then")
{
    ServeSite site;
    CrowdPlan plan { model_head("Content-Length: " + std::to_string(length)) };
    plan.drip = "b";
    Crowd const crowd(site.port("one"), crowd_size, plan);
    crowd.wait_until_settled();
    CHECK(site.process("one").terminate() == 0);
}

TEST_CASE("a box that is told to stop ends beside operators' clients that send a byte of their bodies now and then")
{
    ServeSite site;
    CrowdPlan plan { "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" };
    plan.drip = "b";
    Crowd const crowd(site.operator_port("one"), crowd_size, plan);
    crowd.wait_until_settled();
    CHECK(site.process("one").terminate() == 0);
}

TEST_CASE("a box that is told to stop ends beside callers that take a little of their answers now and then")
{
    ServeSite site(0);
    CrowdPlan plan { model_call(
        R"({"model":"m","stream":true,"messages":[{}],"standin":{"token":"long-token-of-an-answer","length":200000}})") };
    plan.read_interval = std::chrono::milliseconds(200);
    Crowd const crowd(site.port("one"), crowd_size, plan);
    Harness::wait_until("answers have begun", [&] { return crowd.answers(200) == crowd_size; });
    CHECK(site.process("one").terminate() == 0);
}

// Guards against an end that cuts off what could still be delivered.
TEST_CASE("a box that is told to stop completes an answer that its caller takes as it comes")
{
    ServeSite site(20);
    std::string reply;
    std::thread caller([&] {
        reply = site.post("one", "/v1/chat/completions",
                        R"({"model":"m","stream":true,"messages":[{}],"standin":{"token":"t","length":100}})",
                        { { "Authorization", "Bearer secret" } })
                    .body;
    });
    Harness::wait_until("the request runs",
        [&] { return site.get(site.operator_port("one"), "/status").find("\"running\": 1") != std::string::npos; });
    CHECK(site.process("one").terminate() == 0);
    caller.join();
    CHECK(reply.find("data: [DONE]") != std::string::npos);
}
