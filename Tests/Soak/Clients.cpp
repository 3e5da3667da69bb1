#include "Clients.h"

#include <httplib.h>
#include <memory>
#include <pcg_random.hpp>

namespace Soak {

namespace {

constexpr auto longest_answer = std::chrono::seconds(2);
constexpr auto pause = std::chrono::milliseconds(15);

std::string path_of(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Once:
        return "/once/x";
    case RequestKind::Repeatable:
        return "/repeat/x";
    case RequestKind::Stream:
        break;
    }
    return "/stream/x";
}

RequestKind draw_kind(pcg32& random)
{
    constexpr std::uint32_t of_ten = 10;
    auto const drawn = random(of_ten);
    if (drawn < 6)
        return RequestKind::Once;
    return drawn < 8 ? RequestKind::Repeatable : RequestKind::Stream;
}

}

Clients::Clients(std::vector<int> ports, std::uint64_t seed)
    : ports(std::move(ports))
{
    for (int client = 0; client < count; ++client)
        this->threads.emplace_back([this, seed, client] { this->send_until_stopped(seed, client); });
}

Clients::~Clients()
{
    this->stop();
}

void Clients::stop()
{
    this->is_stopped = true;
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

std::vector<Exchange> Clients::finish()
{
    this->stop();
    return std::move(this->exchanges);
}

void Clients::send_until_stopped(std::uint64_t seed, int client)
{
    pcg32 random(seed, static_cast<std::uint64_t>(client));
    std::vector<std::unique_ptr<httplib::Client>> connections;
    for (auto const port : this->ports) {
        connections.push_back(std::make_unique<httplib::Client>("127.0.0.1", port));
        connections.back()->set_keep_alive(true);
        connections.back()->set_tcp_nodelay(true);
        connections.back()->set_read_timeout(longest_answer);
    }
    for (int number = 0; !this->is_stopped; ++number) {
        Exchange exchange;
        exchange.attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
        exchange.kind = draw_kind(random);
        exchange.key = random(4) == 0 ? "other" : "key";
        httplib::Headers headers { { "Host", "h.example" }, { "X-Attempt-Id", exchange.attempt },
            { "X-Deadline-Ms", "3000" }, { "X-Key", exchange.key } };
        if (exchange.kind == RequestKind::Stream)
            headers.emplace("X-Standin-Events", std::to_string(stream_events));
        auto& connection = *connections[random(static_cast<std::uint32_t>(connections.size()))];
        exchange.sent_at = Clock::now();
        if (auto const result = connection.Post(path_of(exchange.kind), headers, "body", "text/plain")) {
            exchange.status = result->status;
            exchange.body = result->body;
        }
        std::scoped_lock const guard(this->lock);
        this->exchanges.push_back(std::move(exchange));
        std::this_thread::sleep_for(pause);
    }
}

}
