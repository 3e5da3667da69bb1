#include <TestMain.h>

#include "ServeSite.h"

/// Clients that hold connections of `cleatbeam serve`, at the port for callers and at that for operators.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

constexpr int crowd_size = 100;

/// Has a crowd at each of the two ports in turn, and checks the box beside it.
void check_both_ports(CrowdPlan const& plan)
{
    ServeSite site;
    for (auto const port : { site.port("one"), site.operator_port("one") }) {
        CAPTURE(std::string(port == site.port("one") ? "callers" : "operators"));
        Crowd const crowd(port, crowd_size, plan);
        crowd.wait_until_settled();
        CHECK(site.get(site.operator_port("one"), "/ready") == "ready\n");
        CHECK(site.get(site.operator_port("one"), "/metrics").find("cleatbeam_") != std::string::npos);
        site.check_ordinary_request();
        site.check_limits();
    }
}

}

// Guards against threads that silent connections hold.
TEST_CASE("clients that connect and say nothing give way to others")
{
    check_both_ports({});
}

TEST_CASE("clients that never end their heads give way to others")
{
    CrowdPlan plan { "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Filler: f" };
    plan.drip = "f";
    check_both_ports(plan);
}

// Guards against heads of any number of fields.
TEST_CASE("clients whose heads consist of many fields leave the box within its memory")
{
    std::string fields;
    while (fields.size() < 2UL * 1024 * 1024)
        fields += "a: b\r\n";
    check_both_ports({ "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + fields });
}

// Guards against ports that take bodies which no question has.
TEST_CASE("clients that send bodies which lack their last byte leave the box within its memory")
{
    constexpr std::size_t length = 1000UL * 1000;
    check_both_ports({ "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"
        + std::string(length - 1, 'b') });
}

// Guards against threads that clients hold which don't read, and against answers that pile up for them.
TEST_CASE("clients that don't read their answers leave the box within its memory, and others are served")
{
    ServeSite site(0);
    CrowdPlan plan { model_call(
        R"({"model":"m","stream":true,"messages":[{}],"standin":{"token":"long-token-of-an-answer","length":200000}})") };
    plan.reads = false;
    Crowd const crowd(site.port("one"), crowd_size, plan);
    crowd.wait_until_settled();
    CHECK(site.get(site.operator_port("one"), "/ready") == "ready\n");
    site.check_ordinary_request();
    site.check_limits();
}
