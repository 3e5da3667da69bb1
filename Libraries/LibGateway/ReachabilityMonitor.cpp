#include <LibGateway/ReachabilityMonitor.h>

#include <LibLog/EventLog.h>
#include <algorithm>

namespace Gateway {

using Core::monotonic_now;
using Change = Routing::EndpointReachability::Change;

Task<void> ReachabilityMonitor::run()
{
    for (;;) {
        if (!this->is_suspected && !this->is_cut_off()) {
            co_await this->pause.wait(idle_interval);
            continue;
        }
        bool const was_cut_off = this->is_cut_off();
        this->is_suspected = false;
        auto const began = monotonic_now();
        auto const excluded = was_cut_off ? std::vector<EndpointId> {} : this->reachability.failed_endpoints();
        bool const has_checked = co_await this->check(excluded);
        bool const is_undecided = has_checked && !this->is_cut_off() && !this->reachability.has_connected_since(began);
        // NOTE: A series of failures that is too short yet is continued at once.
        this->is_suspected |= is_undecided;
        if (!is_undecided)
            co_await sleep_for(check_interval);
    }
}

void ReachabilityMonitor::answered(Core::Instant opened_at)
{
    this->last_answer = monotonic_now();
    this->apply(this->reachability.answered(opened_at), this->last_answer);
}

void ReachabilityMonitor::connected(Core::Instant opened_at)
{
    this->apply(this->reachability.connected(opened_at), monotonic_now());
}

void ReachabilityMonitor::connect_failed(EndpointId endpoint, Core::Instant began)
{
    auto const now = monotonic_now();
    if (this->reachability.has_connected_since(began))
        return;
    this->is_suspected = true;
    this->pause.interrupt();
    this->apply(this->reachability.connect_failed(endpoint, began, this->router.endpoint_count()), now);
}

void ReachabilityMonitor::new_connection_broke(
    EndpointId endpoint, Routing::EndpointReachability::BrokenConnection const& broken)
{
    this->is_suspected = true;
    this->pause.interrupt();
    this->apply(
        this->reachability.new_connection_broke(endpoint, broken, this->router.endpoint_count()), broken.broken_at);
}

void ReachabilityMonitor::unanswered(Core::Instant sent_at)
{
    if (this->last_answer >= sent_at || this->reachability.has_connected_since(sent_at))
        return;
    this->is_suspected = true;
    this->pause.interrupt();
}

Task<bool> ReachabilityMonitor::is_own_refusal(EndpointId refusing)
{
    auto excluded = this->refusing_endpoints;
    excluded.push_back(refusing);
    // NOTE: One after the other, since the first one usually accepts, and the request may be sent again meanwhile.
    auto const others = this->router.sample_endpoints(max_others_asked, excluded, monotonic_now());
    bool does_any_accept = others.empty();
    for (std::size_t asked = 0; asked < others.size() && !does_any_accept; ++asked)
        does_any_accept = co_await this->accepts_connection(others[asked]);
    if (!does_any_accept)
        co_return false;
    std::erase(this->refusing_endpoints, refusing);
    if (this->refusing_endpoints.size() >= max_refusing_endpoints)
        this->refusing_endpoints.erase(this->refusing_endpoints.begin());
    this->refusing_endpoints.push_back(refusing);
    co_return true;
}

Task<bool> ReachabilityMonitor::accepts_connection(Routing::KnownEndpoint endpoint)
{
    error_code error;
    this->metrics.count_endpoint_connection();
    auto connection = co_await this->connections.connect(endpoint.id, endpoint.record.address, error);
    if (error)
        co_return false;
    this->connections.release(std::move(connection), monotonic_now());
    co_return true;
}

Task<bool> ReachabilityMonitor::check(std::vector<EndpointId> excluded)
{
    auto const began = monotonic_now();
    auto const sample = this->router.sample_endpoints(checked_endpoints, excluded, began);
    auto const running = std::make_shared<std::size_t>(sample.size());
    asio::steady_timer ended(this->context);
    for (auto const& endpoint : sample) {
        asio::co_spawn(this->context, this->try_connection(endpoint), [running, &ended](std::exception_ptr const&) {
            if (--*running == 0)
                ended.cancel();
        });
    }
    // NOTE: Waits for all of them, since they refer to the timer. Each ends by itself after its own time limit.
    while (*running > 0) {
        ended.expires_after(idle_interval);
        co_await ended.async_wait(as_value);
    }
    co_return !sample.empty();
}

Task<void> ReachabilityMonitor::try_connection(Routing::KnownEndpoint endpoint)
{
    error_code error;
    auto const began = monotonic_now();
    this->metrics.count_endpoint_connection();
    auto connection = co_await this->connections.connect(endpoint.id, endpoint.record.address, error);
    if (error) {
        this->connect_failed(endpoint.id, began);
        co_return;
    }
    auto const wait = this->confirmation_time();
    bool const stays_open = co_await EndpointConnections::stays_open_for(connection, wait);
    auto const now = monotonic_now();
    if (!stays_open) {
        this->new_connection_broke(endpoint.id, { began, connection->opened_at, now });
        co_return;
    }
    std::erase(this->refusing_endpoints, endpoint.id);
    this->connected(now);
    this->connections.release(std::move(connection), now);
}

void ReachabilityMonitor::apply(Change change, Core::Instant now)
{
    if (change == Change::None)
        return;
    bool const is_cut_off = change == Change::CutOff;
    this->metrics.set_is_cut_off(is_cut_off);
    Log::EventLine line(is_cut_off ? "endpoints_unreachable" : "endpoints_reachable");
    line.with("endpoints", this->router.endpoint_count());
    if (is_cut_off)
        line.with("failed_endpoints", this->reachability.failed_endpoints().size());
    else
        line.with("after_ms", Core::to_milliseconds(now - this->cut_off_at));
    if (this->last_answer != Core::Instant::min())
        line.with("last_answer_ms_ago", Core::to_milliseconds(now - this->last_answer));
    line.warning();
    if (!is_cut_off)
        return;
    this->cut_off_at = now;
    // NOTE: A request on one of them might get no answer, and then could not be sent elsewhere.
    this->connections.close_all_idle();
}

}
