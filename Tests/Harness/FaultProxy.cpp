#include "FaultProxy.h"
#include "OpenConnections.h"

#include <LibGateway/Asio.h>
#include <algorithm>

namespace Harness {

using namespace Gateway;

namespace {

/// Closes the socket with a reset.
void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}

FaultProxy::FaultProxy()
    : acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , thread([this] {
        asio::co_spawn(this->context, this->accept(), asio::detached);
        this->context.run();
    })
{
}

FaultProxy::~FaultProxy()
{
    this->context.stop();
    this->thread.join();
}

void FaultProxy::set_fault(Fault changed)
{
    this->fault = changed;
    if (changed == Fault::Reset)
        asio::post(this->context, [this] { this->reset_all(); });
}

void FaultProxy::set_fault_for(pid_t process, Fault changed)
{
    asio::post(this->context, [this, process, changed] { this->apply_fault_for(process, changed); });
}

void FaultProxy::apply_fault_for(pid_t process, Fault changed)
{
    if (changed == Fault::None)
        this->faults_by_process.erase(process);
    else
        this->faults_by_process[process] = changed;
    OpenConnections const connections(this->acceptor.local_endpoint().port());
    for (auto const& weak : this->pairs) {
        auto const pair = weak.lock();
        if (!pair || !connections.is_held_by(process, pair->near_port))
            continue;
        pair->is_silent = changed == Fault::Silent;
        if (changed == Fault::Reset) {
            reset(pair->near);
            reset(pair->far);
        }
    }
}

Fault FaultProxy::fault_of_opener(std::uint16_t near_port) const
{
    if (this->faults_by_process.empty())
        return Fault::None;
    OpenConnections const connections(this->acceptor.local_endpoint().port(), near_port);
    for (auto const& [process, process_fault] : this->faults_by_process) {
        if (connections.is_held_by(process, near_port))
            return process_fault;
    }
    return Fault::None;
}

void FaultProxy::reset_all()
{
    for (auto const& weak : this->pairs) {
        if (auto const pair = weak.lock()) {
            reset(pair->near);
            reset(pair->far);
        }
    }
    this->pairs.clear();
}

Task<void> FaultProxy::accept()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(as_value);
        if (error)
            co_return;
        error_code ignored;
        auto const near_port = socket.remote_endpoint(ignored).port();
        auto const opener_fault = this->fault_of_opener(near_port);
        if (this->fault == Fault::Reset || opener_fault == Fault::Reset || opener_fault == Fault::RefuseNew) {
            reset(socket);
            continue;
        }
        if (opener_fault == Fault::ResetNewLate) {
            asio::co_spawn(this->context, reset_late(std::move(socket)), asio::detached);
            continue;
        }
        std::erase_if(this->pairs, [](auto const& weak) { return weak.expired(); });
        auto const pair = std::make_shared<Pair>(
            Pair { std::move(socket), tcp::socket(this->context), near_port, opener_fault == Fault::Silent });
        this->pairs.push_back(pair);
        asio::co_spawn(this->context, this->connect(pair), asio::detached);
    }
}

Task<void> FaultProxy::reset_late(tcp::socket socket)
{
    co_await sleep_for(late_reset);
    reset(socket);
}

Task<void> FaultProxy::connect(std::shared_ptr<Pair> pair)
{
    tcp::endpoint const place(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(this->target.load()));
    auto const [error] = co_await pair->far.async_connect(place, as_value);
    if (error) {
        reset(pair->near);
        co_return;
    }
    error_code ignored;
    pair->near.set_option(tcp::no_delay(true), ignored);
    pair->far.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(this->context, this->pass_on(pair, false), asio::detached);
    asio::co_spawn(this->context, this->pass_on(pair, true), asio::detached);
}

Task<void> FaultProxy::pass_on(std::shared_ptr<Pair> pair, bool is_answer)
{
    auto& from = is_answer ? pair->far : pair->near;
    auto& to = is_answer ? pair->near : pair->far;
    std::vector<char> bytes(chunk_bytes);
    for (;;) {
        auto const [read_error, read] = co_await from.async_read_some(asio::buffer(bytes), as_value);
        if (this->fault == Fault::Delayed)
            co_await sleep_for(delay);
        co_await this->wait_while_held(*pair, is_answer);
        if (read_error) {
            error_code ignored;
            // NOTE: An orderly end is forwarded as one, anything else as a reset.
            if (read_error == asio::error::eof)
                to.shutdown(tcp::socket::shutdown_send, ignored);
            else
                reset(to);
            co_return;
        }
        if (co_await this->write(*pair, { bytes.data(), read }, is_answer)) {
            reset(from);
            co_return;
        }
    }
}

Task<error_code> FaultProxy::write(Pair& pair, std::string_view bytes, bool is_answer)
{
    auto& socket = is_answer ? pair.near : pair.far;
    while (!bytes.empty()) {
        auto const piece = bytes.substr(0, this->is_narrow(is_answer) ? narrow_piece_bytes : bytes.size());
        if (this->is_narrow(is_answer))
            co_await this->wait_for_link(piece.size());
        co_await this->wait_while_held(pair, is_answer);
        auto const [error, written] = co_await asio::async_write(socket, asio::buffer(piece), as_value);
        if (error)
            co_return error;
        if (is_answer)
            this->passed_answer_bytes += written;
        bytes.remove_prefix(written);
    }
    co_return error_code {};
}

Task<void> FaultProxy::wait_for_link(std::size_t bytes)
{
    auto const now = Core::monotonic_now();
    auto const seconds = static_cast<double>(bytes) / static_cast<double>(this->rate.load());
    this->link_free_at = std::max(this->link_free_at, now) + Core::from_seconds(seconds);
    co_await sleep_for(this->link_free_at - now);
}

Task<void> FaultProxy::wait_while_held(Pair const& pair, bool is_answer)
{
    while (this->holds(is_answer) || pair.is_silent)
        co_await sleep_for(look_again);
}

bool FaultProxy::holds(bool is_answer) const
{
    return this->fault == Fault::Silent || (this->fault == Fault::CutOneWay && is_answer);
}

}
