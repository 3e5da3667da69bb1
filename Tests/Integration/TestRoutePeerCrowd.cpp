#include <TestMain.h>

#include "CrowdSite.h"

/// Crowds at the ports that a box opens for other boxes, the platform and operators.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

/// The ports of a box beside that for clients.
struct InternalPort {
    std::string name;
    int port { 0 };
};

std::vector<InternalPort> internal_ports(CrowdSite& site)
{
    std::vector<InternalPort> ports { { "readiness", site.readiness_port(CrowdSite::box) },
        { "metrics", site.metrics_port(CrowdSite::box) } };
    for (auto const port : Harness::listening_ports(site.process(CrowdSite::box).process_id())) {
        bool const is_known
            = port == site.client_port(CrowdSite::box) || port == ports[0].port || port == ports[1].port;
        if (!is_known)
            ports.push_back({ "boxes", port });
    }
    return ports;
}

/// Has a crowd at each port in turn, and checks the box beside it.
void check_all_ports(int size, CrowdPlan const& plan)
{
    CrowdSite site(true);
    auto const ports = internal_ports(site);
    CHECK(ports.size() == 4);
    for (auto const& internal : ports) {
        CAPTURE(internal.name);
        Crowd const crowd(internal.port, size, plan);
        crowd.wait_until_settled();
        CHECK(site.readiness(CrowdSite::box) == "ready\n");
        CHECK(site.metrics(CrowdSite::box).find("cleatbeam_") != std::string::npos);
        site.check_ordinary_request();
        site.check_limits();
    }
}

/// Such requests are answered by all of these ports.
std::string request(std::string const& framing)
{
    return "POST /control HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n" + framing + "\r\n\r\n";
}

}

// Guards against probes that get no answer because silent connections hold the few that a port serves.
TEST_CASE("peers that connect and say nothing give way to others")
{
    check_all_ports(150, {});
}

TEST_CASE("peers that never end their heads give way to others")
{
    CrowdPlan plan { "GET /readiness HTTP/1.1\r\nX-Filler: " + std::string(6000, 'f') };
    plan.drip = "f";
    check_all_ports(150, plan);
}

// Guards against ports that take bodies which no question has.
TEST_CASE("peers whose large bodies lack their last byte leave the box within its memory")
{
    constexpr std::size_t length = 1000UL * 1000;
    check_all_ports(100, { request("Content-Length: " + std::to_string(length)) + std::string(length - 1, 'b') });
}

TEST_CASE("peers that send large bodies in chunks leave the box within its memory")
{
    check_all_ports(100, { request("Transfer-Encoding: chunked") + chunks(1000UL * 1000) });
}

// Guards against answers that pile up for peers which ask again and again without reading.
TEST_CASE("peers that don't read their answers leave the box within its memory")
{
    std::string questions;
    for (int question = 0; question < 2000; ++question)
        questions += "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n";
    CrowdPlan plan { questions };
    plan.reads = false;
    check_all_ports(100, plan);
}
