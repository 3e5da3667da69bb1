#include <LibGateway/ControlPlane.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;

namespace {

Membership::ControlBounds control_bounds(Adapter::BoxEnvironment const& environment)
{
    return { environment.lease.apply_within, environment.drain_within };
}

/// Identifies this process to other boxes; never 0, which stands for none.
std::uint64_t source_id(std::uint64_t seed)
{
    pcg64 random(seed);
    return random() | 1U;
}

}

ControlPlane::ControlPlane(GatewayState& state, Adapter::BoxEnvironment const& environment,
    std::optional<Leader::FleetPolicy> fleet, std::uint64_t seed)
    : state(state)
    , source(environment.box_name, environment.failure_domain, control_bounds(environment))
    , records(state, environment.box_name, environment.failure_domain)
    , operator_follower(state, this->records, this->source, environment.store, Adapter::Topic::Operator,
          this->operator_paces(), [this] { this->endpoints_follower.wake(); })
    , endpoints_follower(state, this->records, this->source, environment.store, Adapter::Topic::Endpoints,
          this->endpoints_paces(environment.drain_within), [this] { this->operator_follower.wake(); })
    , relay_follower(
          state, this->records, this->source, [this] { this->wake_followers(); },
          [this] { this->operator_follower.read_now(); })
    , box_name(environment.box_name)
    , failure_domain(environment.failure_domain)
    , ports(environment.peer_ports)
    , store(environment.store)
    , link_bytes_per_second(environment.link_bytes_per_second)
    , max_connections(
          static_cast<std::size_t>(static_cast<double>(environment.max_sockets) * share_of_sockets_for_boxes))
    , seed(seed)
    , is_first_start(environment.is_first_start)
    , leader_settings(environment.leader)
    , fleet_policy(fleet)
{
    this->records.set_apply_within(environment.lease.apply_within);
    // NOTE: Not the other way round: endpoint records are short and must not wait for a long configuration.
    this->operator_follower.defer_retries_to(this->endpoints_follower);
    this->records.set_on_new_era([this] {
        this->wake_all();
        if (this->registry)
            this->registry->store_restored();
        if (this->leadership)
            this->leadership->store_restored();
    });
}

StoreFollower::Paces ControlPlane::operator_paces() const
{
    return { operator_pace, { this->source.read_wait(), relay_operator_pause } };
}

StoreFollower::Paces ControlPlane::endpoints_paces(Core::Duration drain_within) const
{
    auto const pause = Core::from_seconds(Core::to_seconds(drain_within) * share_of_drain_bound);
    return { { Core::Duration { 0 }, pause }, { Core::Duration { 0 }, this->source.read_interval() } };
}

bool ControlPlane::open_listener(Core::LastReason& last_reason)
{
    if (!this->ports) {
        // NOTE: A box without an address for other boxes can neither be a relay nor use one.
        this->source.boxes_unavailable();
        if (this->leader_settings)
            Log::EventLine("leader_impossible")
                .with("reason", "the settings contain no ports for other boxes")
                .warning();
        return true;
    }
    auto acceptor = this->listen_for_boxes(last_reason);
    if (!acceptor)
        return false;
    this->forwarding_acceptor = this->listen_for_boxes(last_reason);
    if (!this->forwarding_acceptor) {
        Log::EventLine("forwarding_impossible").with("reason", last_reason.text).warning();
        last_reason.text.clear();
    }
    this->listener.emplace(
        std::move(*acceptor),
        [this](std::string_view path, std::string const& body) { return this->answer_request(path, body); },
        *this->state.budget,
        InternalHttpServer::Limits { this->max_connections, std::chrono::seconds(10), max_question_bytes });
    Membership::BoxRecord own { this->box_name, { this->ports->host, this->listener->port() }, this->failure_domain,
        this->link_bytes_per_second,
        this->forwarding_acceptor ? this->forwarding_acceptor->local_endpoint().port() : std::uint16_t { 0 } };
    this->state.forwarder.set_boxes(this->source.boxes(), this->box_name);
    LoadExchange::StoreVersionHandlers version_handlers {
        [this](Core::Instant now) { return this->records.store_versions(now); },
        [this](auto const& versions, Core::Instant sent_at) {
            this->records.apply_store_versions(versions, sent_at);
            this->state.awaits_other_boxes = false;
        },
    };
    this->loads.emplace(this->state, this->source.boxes(), own.address, source_id(this->seed),
        std::move(version_handlers),
        [this](std::string_view bytes, auto const& from) { return this->handle_message(bytes, from); });
    if (!this->loads->open(last_reason))
        return false;
    this->state.awaits_other_boxes = true;
    this->registry.emplace(
        this->state, this->source, this->store, own, [this] { this->wake_all(); }, [this] { this->handle_box_list(); },
        this->seed);
    this->connect_box_records();
    this->connect_crash_exchange();
    this->state.endpoint_notice_exchange.set_transport(
        [this](std::string const& bytes, std::size_t boxes) { this->loads->send(bytes, boxes); });
    this->state.stream_origin_exchange.set_transport(this->source.boxes(), this->box_name,
        [this](auto const& address, auto const& bytes) { this->loads->send_to_address(address, bytes); });
    this->open_leadership(own);
    return true;
}

std::optional<tcp::acceptor> ControlPlane::listen_for_boxes(Core::LastReason& last_reason)
{
    std::optional<tcp::acceptor> acceptor;
    // NOTE: A wider type than the port's, since the last port may be the highest possible one.
    for (unsigned port = this->ports->first; port <= this->ports->last && !acceptor; ++port)
        acceptor = listen_on(this->state.context, { this->ports->host, static_cast<std::uint16_t>(port) }, last_reason);
    return acceptor;
}

void ControlPlane::connect_box_records()
{
    this->records.set_box_records_relay({
        [this] { return this->registry->records_version(); },
        [this] { return this->registry->records(); },
        [this](Membership::SharedBoxRecords const& relayed) { this->registry->apply_relayed(relayed); },
    });
}

void ControlPlane::open_leadership(Membership::BoxRecord const& own)
{
    if (!this->leader_settings)
        return;
    auto const& settings = *this->leader_settings;
    auto const process = source_id(this->seed);
    auto const to_box
        = [this](auto const& address, auto const& bytes) { this->loads->send_to_address(address, bytes); };
    auto const to_some = [this](auto const& bytes, std::size_t boxes) { this->loads->send(bytes, boxes); };
    this->leadership.emplace(this->state, this->source.boxes(), own, process, this->store, settings.lease,
        this->is_first_start, Leadership::Transport { to_box, to_some, [this](Core::Instant now) {
                                                         return this->source.has_recent_contact(now);
                                                     } });
    this->records.set_announcement_relay(
        { [this](Core::Instant now) { return this->leadership->announcement_to_relay(now); },
            [this](Leadership::RelayedAnnouncement const& relayed) { this->leadership->receive_relayed(relayed); } });
    if (settings.reports_usage) {
        UsageReporter::BoxList box_list { [this] { this->registry->read_again(); },
            [this] { return this->registry->read_at(); } };
        this->usage.emplace(
            this->state, *this->leadership, this->source.boxes(), std::move(box_list), process, settings, to_box);
    }
    if (settings.orders_servers && this->fleet_policy)
        this->fleet.emplace(this->state, *this->leadership, settings, *this->fleet_policy);
}

bool ControlPlane::handle_message(std::string_view bytes, Routing::SocketAddress const& from)
{
    if (this->handle_crash_message(bytes) || this->handle_endpoint_notices(bytes, from)
        || this->handle_stream_origins(bytes, from))
        return true;
    auto const message = Leader::decode_leader_message(bytes);
    if (message && this->leadership)
        this->handle_leader_message(*message);
    return message.has_value();
}

void ControlPlane::handle_leader_message(Leader::LeaderMessage const& message)
{
    if (auto const* const announcement = std::get_if<Leader::Announcement>(&message))
        this->leadership->receive(*announcement, monotonic_now());
    else if (this->usage)
        this->usage->receive(std::get<Leader::UsageMessage>(message));
}

void ControlPlane::prepare_exit()
{
    if (this->usage)
        this->usage->send_counts_now();
}

void ControlPlane::connect_crash_exchange()
{
    /// Boxes to which each box sends its refused requests every second. A box that missed an update gets it this way
    /// within a second or two, whatever the number of boxes.
    constexpr std::size_t some_boxes = 3;
    this->state.crash_exchange.set_transport(
        [this](std::string const& bytes, CrashExchange::Audience audience) {
            auto const all = this->source.boxes().size();
            this->loads->send(bytes, audience == CrashExchange::Audience::AllBoxes ? all : some_boxes);
        },
        [this](std::string const& key, std::optional<std::string> value) {
            this->registry->queue_write({ key, std::move(value) });
        });
    this->registry->set_on_other_record([this](std::string const& key, std::string const& value) {
        this->state.crash_exchange.apply_stored(key, value);
    });
}

bool ControlPlane::handle_crash_message(std::string_view bytes)
{
    auto const message = Membership::decode_crashes(bytes);
    if (!message)
        return false;
    auto const now = monotonic_now();
    for (auto const& [report, age] : message->crashes)
        this->state.router.endpoint_ended(report.endpoint, now - age);
    this->state.crash_exchange.receive(*message);
    return true;
}

bool ControlPlane::handle_endpoint_notices(std::string_view bytes, Routing::SocketAddress const& from)
{
    auto const message = Membership::decode_endpoint_notices(bytes, monotonic_now());
    if (!message)
        return false;
    this->state.endpoint_notice_exchange.receive(
        *message, [this, &from](std::string const& answer) { this->loads->send_to_address(from, answer); });
    // NOTE: Sent after the requested notices, since the load report ends the wait of the box that requested them.
    if (message->requests_all)
        this->loads->send_report(from);
    return true;
}

bool ControlPlane::handle_stream_origins(std::string_view bytes, Routing::SocketAddress const& from)
{
    auto const message = Membership::decode_stream_origins(bytes);
    if (message)
        this->state.stream_origin_exchange.receive(
            *message, from, [this, &from](std::string const& answer) { this->loads->send_to_address(from, answer); });
    return message.has_value();
}

void ControlPlane::handle_box_list()
{
    std::vector<std::string> names;
    for (auto const& [name, box] : this->source.boxes().all())
        names.push_back(name);
    this->state.router.set_boxes(Routing::BoxGroup(this->box_name, names));
    if (!std::exchange(this->has_requested_notices, true))
        asio::co_spawn(this->state.context, this->request_notices(), asio::detached);
    this->wake_all();
}

Task<void> ControlPlane::request_notices()
{
    this->state.endpoint_notice_exchange.request_notices();
    if (this->source.boxes().size() > 1)
        co_await sleep_for(max_notice_wait);
    this->state.awaits_other_boxes = false;
}

void ControlPlane::start()
{
    auto& context = this->state.context;
    auto const start = this->is_first_start ? BoxRegistry::Start::OfAllBoxes : BoxRegistry::Start::OfThisBox;
    if (this->registry)
        this->source.begin_search();
    asio::co_spawn(context, this->operator_follower.run(), asio::detached);
    asio::co_spawn(context, this->endpoints_follower.run(), asio::detached);
    if (!this->registry)
        return;
    asio::co_spawn(context, this->listener->run(), asio::detached);
    asio::co_spawn(context, this->registry->run(start), asio::detached);
    asio::co_spawn(context, this->relay_follower.run(), asio::detached);
    asio::co_spawn(context, this->loads->send_reports(), asio::detached);
    asio::co_spawn(context, this->loads->receive(), asio::detached);
    asio::co_spawn(context, this->state.crash_exchange.run(), asio::detached);
    asio::co_spawn(context, this->state.endpoint_notice_exchange.run(), asio::detached);
    if (!this->leadership)
        return;
    asio::co_spawn(context, this->leadership->run_election(), asio::detached);
    asio::co_spawn(context, this->leadership->announce(), asio::detached);
    if (this->usage) {
        asio::co_spawn(context, this->usage->send_counts(), asio::detached);
        asio::co_spawn(context, this->usage->report(), asio::detached);
    }
    if (this->fleet)
        asio::co_spawn(context, this->fleet->run(), asio::detached);
}

void ControlPlane::set_environment(Adapter::BoxEnvironment const& environment)
{
    this->source.set_bounds(control_bounds(environment));
    this->records.set_apply_within(environment.lease.apply_within);
    this->operator_follower.set_address(environment.store);
    this->endpoints_follower.set_address(environment.store);
    if (this->registry)
        this->registry->set_address(environment.store);
    if (this->leadership)
        this->leadership->set_address(environment.store);
    if (this->usage && environment.leader)
        this->usage->set_settings(*environment.leader);
    if (this->fleet && environment.leader)
        this->fleet->set_settings(*environment.leader);
}

void ControlPlane::after_suspension(Core::Instant now)
{
    this->source.after_suspension(now);
    this->operator_follower.after_suspension();
    this->endpoints_follower.after_suspension();
    this->relay_follower.wake();
    if (this->leadership)
        this->leadership->after_suspension(now);
}

InternalHttpResponse ControlPlane::answer_request(std::string_view path, std::string const& body)
{
    if (path != control_path)
        return { status_not_found, "" };
    auto const request = Membership::decode_request(body);
    if (!request)
        return { status_bad_request, "" };
    // NOTE: A stopping box turns requests away early, so that boxes that use it as their relay find another one while
    // it still runs.
    if (this->state.is_stopping)
        return { status_unavailable, "" };
    auto const now = monotonic_now();
    bool const was_relay = this->source.is_relay(now);
    this->source.request_received(request->requester_domain, now);
    if (!was_relay) {
        Log::EventLine("relay_begun").info();
        this->wake_followers();
    }
    if (this->registry && !this->source.boxes().find(request->requester))
        this->registry->read_again();
    auto const max_configuration_bytes = static_cast<double>(this->link_bytes_per_second) * max_transfer_seconds;
    auto const answer = this->records.answer(*request, static_cast<std::size_t>(max_configuration_bytes), now);
    if (!answer)
        return { status_unavailable, "" };
    this->state.metrics.count_relay_answer();
    auto encoded = Membership::encode(*answer);
    return { status_ok, std::move(encoded.own), std::move(encoded.shared) };
}

void ControlPlane::wake_all()
{
    this->wake_followers();
    this->relay_follower.wake();
}

void ControlPlane::wake_followers()
{
    this->operator_follower.wake();
    this->endpoints_follower.wake();
}

}
