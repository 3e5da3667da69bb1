#include "Crowds.h"

namespace Soak {

namespace {

constexpr std::size_t body_bytes = 4UL * 1024 * 1024;
std::string const begin = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Deadline-Ms: 20000\r\n"
                          "X-Attempt-Id: crowd\r\n";

std::string head_with_length()
{
    return begin + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

Harness::CrowdPlan plan_of(std::uint32_t kind)
{
    Harness::CrowdPlan plan;
    switch (kind) {
    case 0:
        // Silent.
        break;
    case 1:
        plan.bytes = begin + "X-Filler: ";
        plan.drip = "f";
        break;
    case 2:
        plan.bytes = head_with_length() + std::string(body_bytes - 1, 'b');
        break;
    case 3:
        plan.bytes = head_with_length() + std::string(body_bytes / 2, 'b');
        plan.connections = 1000;
        plan.drip = "b";
        break;
    case 4:
        plan.bytes = begin + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + std::string(body_bytes / 4, 'c');
        break;
    default:
        plan.bytes = begin + "Content-Length: 2\r\n\r\nhi" + std::string(body_bytes, '\n');
        plan.reads = false;
        break;
    }
    return plan;
}

}

void Crowds::add(int port, std::uint32_t kind)
{
    if (this->crowds.size() == max_crowds)
        this->crowds.pop_front();
    this->crowds.emplace_back(port, crowd_size, plan_of(kind));
    ++this->count;
}

}
