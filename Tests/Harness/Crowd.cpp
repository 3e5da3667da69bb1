#include "Crowd.h"

#include "Cluster.h"

#include <LibGateway/Asio.h>

namespace Harness {

namespace asio = Gateway::asio;
using Gateway::as_value;
using Gateway::tcp;
template <typename Result> using Task = Gateway::Task<Result>;

Crowd::Crowd(int port, int size, CrowdPlan plan)
    : port(port)
    , plan(std::move(plan))
{
    for (int member = 0; member < size; ++member)
        asio::co_spawn(this->context, this->run_member(), asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
}

Crowd::~Crowd()
{
    this->context.stop();
    this->thread.join();
}

void Crowd::wait_until_settled() const
{
    // Long enough for a box to see that members make no progress.
    constexpr auto quiet = std::chrono::milliseconds(2500);
    auto seen = this->steps.load();
    auto changed_at = std::chrono::steady_clock::now();
    wait_until("the crowd settles", [&] {
        auto const now = std::chrono::steady_clock::now();
        if (auto const current = this->steps.load(); current != seen || current == 0) {
            seen = current;
            changed_at = now;
        }
        return now - changed_at > quiet;
    });
}

int Crowd::answers(int status) const
{
    return this->answers_by_status.at(static_cast<std::size_t>(status));
}

Task<void> Crowd::run_member()
{
    for (int connection = 0; connection < this->plan.connections; ++connection)
        co_await this->run_connection();
}

Task<void> Crowd::run_connection()
{
    auto const socket = std::make_shared<tcp::socket>(this->context);
    this->limit_receive_buffer(*socket);
    tcp::endpoint const peer { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(this->port) };
    auto const [error] = co_await socket->async_connect(peer, as_value);
    ++this->steps;
    if (error) {
        co_await Gateway::sleep_for(std::chrono::milliseconds(5));
        co_return;
    }
    ++this->open_connections;
    asio::co_spawn(this->context, this->send(socket), asio::detached);
    if (this->plan.reads)
        co_await this->receive(socket);
    else
        co_await Gateway::sleep_for(std::chrono::hours(1));
    --this->open_connections;
    Gateway::error_code ignored;
    socket->close(ignored);
}

void Crowd::limit_receive_buffer(tcp::socket& socket) const
{
    if (this->plan.read_interval.count() == 0)
        return;
    // Without a limit the kernel takes most of an answer at once, and the peer doesn't see a slow reader.
    constexpr int receive_buffer_bytes = 4096;
    Gateway::error_code ignored;
    socket.open(tcp::v4(), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
}

Task<void> Crowd::send(std::shared_ptr<tcp::socket> socket)
{
    asio::const_buffer rest = asio::buffer(this->plan.bytes);
    while (rest.size() > 0) {
        auto const [error, sent] = co_await socket->async_write_some(rest, as_value);
        if (error)
            co_return;
        ++this->steps;
        rest += sent;
    }
    for (std::size_t position = 0; !this->plan.drip.empty(); ++position) {
        co_await Gateway::sleep_for(this->plan.drip_interval);
        auto const byte = asio::buffer(&this->plan.drip.at(position % this->plan.drip.size()), 1);
        auto const [error, sent] = co_await socket->async_write_some(byte, as_value);
        if (error)
            co_return;
    }
}

Task<void> Crowd::receive(std::shared_ptr<tcp::socket> socket)
{
    std::string received;
    std::array<char, 4096> piece {};
    for (bool is_counted = false;;) {
        if (this->plan.read_interval.count() > 0)
            co_await Gateway::sleep_for(this->plan.read_interval);
        auto const [error, size] = co_await socket->async_read_some(asio::buffer(piece), as_value);
        if (error)
            co_return;
        ++this->steps;
        if (is_counted)
            continue;
        received.append(piece.data(), size);
        bool const is_interim = received.starts_with("HTTP/1.1 100 ");
        if (is_interim || received.find("\r\n\r\n") == std::string::npos)
            continue;
        this->count_answer(received);
        is_counted = true;
        if (this->plan.connections > 1)
            co_return;
    }
}

void Crowd::count_answer(std::string const& head)
{
    constexpr std::size_t status_position = 9;
    constexpr std::size_t status_digits = 3;
    if (head.size() < status_position + status_digits)
        return;
    auto const status = std::stoul("0" + head.substr(status_position, status_digits));
    ++this->answers_by_status.at(status % max_status);
}

}
