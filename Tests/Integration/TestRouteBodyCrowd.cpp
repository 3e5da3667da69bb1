#include <TestMain.h>

#include "CrowdSite.h"

/// Clients that send many large bodies of legal size at once to a box with little memory.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

/// A request whose body lacks its last byte.
std::string short_by_one_byte(std::size_t length)
{
    return head_with_length("/once/x", length, "crowd") + std::string(length - 1, 'b');
}

}

// Guards against a box that runs out of memory because it makes room for all that clients announce.
TEST_CASE("clients whose bodies lack their last byte leave the box within its memory, and others are served")
{
    for (std::size_t const length : { max_body_bytes, 100UL * 1000 }) {
        CAPTURE(length);
        CrowdSite site;
        Crowd const crowd(site.client_port(CrowdSite::box), 100, { short_by_one_byte(length) });
        crowd.wait_until_settled();
        site.check_ordinary_request();
        site.check_limits();
    }
}

// Guards against memory that refused bodies leave behind: the allocator kept it, and the process grew with each return.
TEST_CASE("clients that come back at once after each refusal leave the box within its memory")
{
    CrowdSite site;
    CrowdPlan plan { short_by_one_byte(max_body_bytes) };
    plan.connections = 40;
    Crowd const crowd(site.client_port(CrowdSite::box), 60, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against a body whose buffer doubles while it arrives, of which only the received bytes are counted.
TEST_CASE("clients that send in chunks and come back leave the box within its memory")
{
    CrowdSite site;
    CrowdPlan plan { head_with_chunks("/once/x", "crowd") + chunks(max_body_bytes - 10000) };
    plan.connections = 10;
    Crowd const crowd(site.client_port(CrowdSite::box), 60, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against a body that stays in memory for as long as a byte comes now and then.
TEST_CASE("clients that go on with a byte now and then give way to others")
{
    CrowdSite site;
    CrowdPlan plan { head_with_length("/once/x", max_body_bytes, "crowd") + std::string(max_body_bytes - 1000, 'b') };
    plan.drip = "b";
    Crowd const crowd(site.client_port(CrowdSite::box), 60, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    // One that sends as much as it may, in one go.
    auto const large = site.send_body(
        CrowdSite::box, "/repeat/x", "large", std::string(max_body_bytes, 'l'), { { "X-Deadline-Ms", "10000" } });
    CHECK(large.status == 200);
    site.check_limits();
}

// Guards against a box that reads all bodies at once and then refuses each of them.
TEST_CASE("of whole bodies that don't fit together those that fit are served")
{
    CrowdSite site(false, 500);
    Crowd const crowd(site.client_port(CrowdSite::box), 60,
        { head_with_length("/once/x", max_body_bytes, "crowd") + std::string(max_body_bytes, 'b') });
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
    CHECK(crowd.answers(200) > 0);
    // The promise of a refusal: whatever was refused has not run.
    CHECK(site.runs("crowd") == crowd.answers(200));
}

// Guards against limits that a client meets which keeps to what it was told.
TEST_CASE("a single request at the limits is served in calm")
{
    CrowdSite site;
    std::string const body(max_body_bytes, 'b');
    for (auto const& bytes : { head_with_length("/once/x", max_body_bytes, "length") + body,
             head_with_chunks("/once/x", "chunks") + fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body),
             head_with_chunks("/once/x", "small") + chunks(max_body_bytes, 128) + "0\r\n\r\n" }) {
        Crowd const client(site.client_port(CrowdSite::box), 1, { bytes });
        Harness::wait_until("the request is answered", [&] { return client.answers(200) == 1; });
    }
    site.check_limits();
}
