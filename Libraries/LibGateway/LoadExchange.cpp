#include <LibGateway/LoadExchange.h>

#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;

LoadExchange::LoadExchange(GatewayState& state, Membership::BoxDirectory const& boxes,
    Routing::SocketAddress own_address, std::uint64_t sender, StoreVersionHandlers version_handlers,
    OnOtherMessage on_other_message)
    : state(state)
    , boxes(boxes)
    , own_address(std::move(own_address))
    , sender(sender)
    , version_handlers(std::move(version_handlers))
    , on_other_message(std::move(on_other_message))
    , socket(state.context)
{
}

bool LoadExchange::open(Core::LastReason& last_reason)
{
    auto const place = to_tcp_endpoint(this->own_address);
    if (!place) {
        last_reason.text = "not a numeric address: " + this->own_address.host;
        return false;
    }
    error_code error;
    this->socket.open(place->address().is_v4() ? udp::v4() : udp::v6(), error);
    if (!error)
        this->socket.bind(udp::endpoint(place->address(), place->port()), error);
    if (error)
        last_reason.text = "can't receive datagrams on " + this->own_address.host + ": " + error.message();
    return !error;
}

Task<void> LoadExchange::send_reports()
{
    bool has_sent_load = false;
    for (;;) {
        auto const now = monotonic_now();
        auto const message = this->own_message(now);
        bool const has_load = !message.report.endpoints.empty();
        auto const addresses = this->others();
        // NOTE: The first report without load is sent too, since it clears the load of the reports before.
        if (addresses.empty() || (!has_load && !has_sent_load)) {
            co_await sleep_for(idle_interval);
            continue;
        }
        auto const bytes = Membership::encode(message);
        auto const plan = Membership::plan_reports(addresses.size(), bytes.size());
        this->state.router.set_report_interval(plan.interval);
        this->send_to(addresses, bytes, plan.receivers);
        this->state.metrics.count_load_reports("told", plan.receivers);
        has_sent_load = has_load;
        this->ages.expire(now);
        co_await sleep_for(plan.interval);
    }
}

Membership::LoadMessage LoadExchange::own_message(Core::Instant now) const
{
    return { this->sender, now, this->state.router.load_report(now), this->version_handlers.own(now) };
}

void LoadExchange::send_report(Routing::SocketAddress const& address)
{
    this->send_to_address(address, Membership::encode(this->own_message(monotonic_now())));
}

void LoadExchange::send(std::string const& bytes, std::size_t receivers)
{
    this->send_to(this->others(), bytes, receivers);
}

void LoadExchange::send_to_address(Routing::SocketAddress const& address, std::string const& bytes)
{
    if (auto const place = to_tcp_endpoint(address))
        this->send_to({ udp::endpoint(place->address(), place->port()) }, bytes, 1);
}

void LoadExchange::send_to(std::vector<udp::endpoint> const& addresses, std::string const& bytes, std::size_t receivers)
{
    for (std::size_t sent = 0; sent < std::min(receivers, addresses.size()); ++sent) {
        error_code ignored;
        // NOTE: A datagram that can't be sent now counts as lost; senders repeat their messages.
        this->socket.send_to(asio::buffer(bytes), addresses[this->next_receiver++ % addresses.size()],
            udp::socket::message_flags(MSG_DONTWAIT), ignored);
    }
}

Task<void> LoadExchange::receive()
{
    std::string bytes;
    for (;;) {
        auto const [wait_error] = co_await this->socket.async_wait(udp::socket::wait_read, as_value);
        if (wait_error)
            co_return;
        error_code error;
        auto const waiting = this->socket.available(error);
        bytes.resize(std::min(std::max<std::size_t>(waiting, 1), max_message_bytes));
        udp::endpoint from;
        auto const size = this->socket.receive_from(asio::buffer(bytes), from, MSG_DONTWAIT, error);
        // NOTE: An unreachable box causes an error in the next call, which is ignored.
        if (!error)
            this->handle(std::string_view(bytes).substr(0, size), from);
    }
}

std::vector<LoadExchange::udp::endpoint> LoadExchange::others() const
{
    std::vector<udp::endpoint> addresses;
    for (auto const& [name, box] : this->boxes.all()) {
        auto const place = to_tcp_endpoint(box.address);
        if (place && box.address != this->own_address)
            addresses.emplace_back(place->address(), place->port());
    }
    return addresses;
}

void LoadExchange::handle(std::string_view bytes, udp::endpoint const& from)
{
    auto const message = Membership::decode_load(bytes);
    if (!message && this->on_other_message(bytes, { from.address().to_string(), from.port() }))
        return;
    if (!message) {
        this->state.metrics.count_load_reports("unreadable", 1);
        Log::EventLine("load_report_unreadable").with("from", from.address().to_string()).info();
        return;
    }
    auto const now = monotonic_now();
    auto const age = this->ages.age(*message, now);
    this->state.metrics.count_load_reports(age ? "heard" : "overtaken", 1);
    if (!age)
        return;
    this->state.router.apply_load_report(message->sender, message->report, now - *age);
    this->version_handlers.apply(message->store_versions, now - *age);
}

}
