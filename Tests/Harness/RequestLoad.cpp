#include "RequestLoad.h"

#include <cmath>
#include <fmt/format.h>
#include <pcg_random.hpp>

namespace Harness {

namespace {

namespace asio = Gateway::asio;
namespace http = Gateway::http;
using Gateway::as_value;

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

}

RequestLoad::RequestLoad(LoadPlan plan)
    : plan(std::move(plan))
    , per_second(this->plan.per_second)
    , thread([this] {
        asio::co_spawn(this->context, this->send_all(), asio::detached);
        this->context.run();
    })
{
}

RequestLoad::~RequestLoad()
{
    this->is_stopped = true;
}

LoadResult RequestLoad::finish()
{
    this->is_stopped = true;
    this->thread.join();
    return this->result;
}

Gateway::Task<void> RequestLoad::send_all()
{
    pcg32 random(this->plan.seed);
    auto next = std::chrono::steady_clock::now();
    asio::steady_timer timer(this->context);
    for (int number = 0; !this->is_stopped; ++number) {
        auto const drawn = std::ldexp(static_cast<double>(random()) + 1, -32);
        auto const gap = -std::log(drawn) / this->per_second;
        next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(gap));
        timer.expires_at(next);
        co_await timer.async_wait(as_value);
        auto const port = this->plan.ports[random(static_cast<std::uint32_t>(this->plan.ports.size()))];
        ++this->result.sent;
        asio::co_spawn(this->context, this->send_one(port, number), asio::detached);
    }
}

Gateway::Task<void> RequestLoad::send_one(int port, int number)
{
    auto const status = co_await this->exchange(port, number);
    if (!status)
        ++this->result.unreached;
    else if (status == status_ok)
        ++this->result.served;
    else if (status == status_too_many || status == status_unavailable)
        ++this->result.refused;
    else
        ++this->result.failed;
}

Gateway::Task<std::optional<unsigned>> RequestLoad::exchange(int port, int number)
{
    auto& of_port = this->idle[port];
    std::unique_ptr<Stream> stream;
    if (!of_port.empty()) {
        stream = std::move(of_port.back());
        of_port.pop_back();
        stream->expires_after(this->plan.patience);
    } else {
        stream = std::make_unique<Stream>(this->context);
        stream->expires_after(this->plan.patience);
        asio::ip::tcp::endpoint const box(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
        auto const [error] = co_await stream->async_connect(box, as_value);
        if (error)
            co_return std::nullopt;
        stream->socket().set_option(asio::ip::tcp::no_delay(true));
    }
    auto const text = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: l{}-{}\r\nX-Deadline-Ms: {}\r\n"
                                  "X-Key: key\r\n{}Content-Length: 4\r\n\r\nbody",
        this->plan.path, this->plan.seed, number, this->plan.patience.count(), this->plan.fields);
    auto const [write_error, written] = co_await asio::async_write(*stream, asio::buffer(text), as_value);
    if (write_error)
        co_return 0U;
    Gateway::flat_buffer buffer;
    http::response<http::string_body> answer;
    auto const [read_error, read] = co_await http::async_read(*stream, buffer, answer, as_value);
    if (read_error)
        co_return 0U;
    if (answer.keep_alive())
        of_port.push_back(std::move(stream));
    co_return answer.result_int();
}

}
