#include <TestMain.h>

#include "CrowdSite.h"

/// Clients that hold connections of a box without a whole request, or with more than one.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

/// More than the box's sockets.
constexpr int crowd_size = 260;

/// A whole head of 16 KB with as many fields as fit.
std::string head_of_many_fields()
{
    std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\nContent-Length: 9\r\n";
    constexpr std::size_t max_head_bytes = 16UL * 1024;
    while (head.size() < max_head_bytes - 64)
        head += "a:\r\n";
    return head + "\r\n";
}

}

// Guards against silence that holds all connections of a box, so that others are turned away until the idle timeout.
TEST_CASE("clients that connect and say nothing give way to others")
{
    CrowdSite site;
    Crowd const crowd(site.client_port(CrowdSite::box), crowd_size, {});
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

TEST_CASE("clients that never end their heads give way to others")
{
    CrowdSite site;
    CrowdPlan plan { "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Filler: " + std::string(14000, 'f') };
    plan.drip = "f";
    Crowd const crowd(site.client_port(CrowdSite::box), crowd_size, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against heads that take far more memory once they are parsed: each field is a block of its own.
TEST_CASE("clients whose heads consist of many fields leave the box within its memory")
{
    CrowdSite site;
    Crowd const crowd(site.client_port(CrowdSite::box), crowd_size, { head_of_many_fields() });
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against bytes that the kernel holds for a box which doesn't read them.
TEST_CASE("clients that send on while their request is served leave the box within its memory")
{
    CrowdSite site(false, 60000);
    constexpr std::size_t length = 300UL * 1000;
    auto const request = head_with_length("/once/x", length, "crowd") + std::string(length, 'b');
    Crowd const crowd(site.client_port(CrowdSite::box), 60, { request + std::string(8UL * 1024 * 1024, 'x') });
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against answers that a box holds for clients which don't read them, together with their connections.
TEST_CASE("clients that don't read their answers leave the box within its memory, and others are served")
{
    CrowdSite site;
    CrowdPlan plan { "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Attempt-Id: crowd\r\n"
                     "X-Standin-Padding-Bytes: 4000000\r\nX-Deadline-Ms: 20000\r\nContent-Length: 2\r\n\r\nhi" };
    plan.reads = false;
    Crowd const crowd(site.client_port(CrowdSite::box), crowd_size, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}
