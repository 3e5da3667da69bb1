#include <TestMain.h>

#include "ServeSite.h"

/// Clients that send many large bodies of legal size at once to `cleatbeam serve`.
namespace {

using Harness::Crowd;
using Harness::CrowdPlan;

constexpr int crowd_size = 100;

/// A body as deeply nested as its size allows.
std::string nested_body(std::size_t bytes)
{
    std::string const begin = R"({"model":"m","messages":[)";
    auto const depth = (bytes - begin.size() - 2) / 2;
    return begin + std::string(depth, '[') + std::string(depth, ']') + "]}";
}

}

// Guards against a parsed form of a body that takes many times its bytes.
TEST_CASE("whole bodies whose parsed form is large leave the box within its memory, and others are served")
{
    for (auto const& body : { body_of_messages("{}", ServeSite::max_body_bytes),
             body_of_messages("1", ServeSite::max_body_bytes), nested_body(ServeSite::max_body_bytes) }) {
        CAPTURE(body.substr(0, 80));
        ServeSite site;
        Crowd const crowd(site.port("one"), crowd_size, { model_call(body) });
        crowd.wait_until_settled();
        site.check_ordinary_request();
        site.check_limits();
    }
}

// Guards against copies of a body that are made for each step of a request.
TEST_CASE("whole bodies of one long text leave the box within its memory, and others are served")
{
    ServeSite site(100);
    auto const text = std::string(ServeSite::max_body_bytes - 200, 't');
    auto const body = R"({"model":"m","messages":[{"role":"user","content":")" + text + R"("}]})";
    Crowd const crowd(site.port("one"), 4 * crowd_size, { model_call(body) });
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

TEST_CASE("bodies that lack their last byte leave the box within its memory, and others are served")
{
    ServeSite site;
    auto bytes = model_call(body_of_messages("{}", ServeSite::max_body_bytes));
    bytes.pop_back();
    Crowd const crowd(site.port("one"), crowd_size, { bytes });
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against threads that wait for as long as a byte comes now and then.
TEST_CASE("bodies of which a byte comes now and then give way to others")
{
    ServeSite site;
    CrowdPlan plan { model_head("Content-Length: 1000000") + std::string(500000, ' ') };
    plan.drip = " ";
    Crowd const crowd(site.port("one"), crowd_size, plan);
    crowd.wait_until_settled();
    site.check_ordinary_request();
    site.check_limits();
}

// Guards against a chunk's head line that is read without a bound.
TEST_CASE("chunks and lines of chunks without end leave the box within its memory")
{
    for (auto const& begin : { std::string("4;x="), std::string("4\r\nbody\r\n0\r\nX-Filler: ") }) {
        CAPTURE(begin);
        ServeSite site;
        CrowdPlan const plan { model_head("Transfer-Encoding: chunked") + begin
            + std::string(16UL * 1024 * 1024, 'f') };
        Crowd const crowd(site.port("one"), ServeSite::threads, plan);
        crowd.wait_until_settled();
        site.check_ordinary_request();
        site.check_limits();
    }
}

// Guards against limits that a client meets which keeps to what it was told.
TEST_CASE("a single request at the limits is served in calm")
{
    ServeSite site;
    auto const body = body_of_messages(R"({"role":"user","content":"hello"})", ServeSite::max_body_bytes);
    auto const chunked
        = model_head("Transfer-Encoding: chunked") + fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    for (auto const& bytes : { model_call(body), chunked }) {
        Crowd const client(site.port("one"), 1, { bytes });
        Harness::wait_until("the request is answered", [&] { return client.answers(200) == 1; });
    }
    site.check_limits();
}
