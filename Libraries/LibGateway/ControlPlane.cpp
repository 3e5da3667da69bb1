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

/// Names this process to other boxes; 0 would mean none.
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
    , records(state, environment.box_name, environment.failure_domain, source_id(seed))
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
    , seed(seed)
    , is_first_start(environment.is_first_start)
    , leader_settings(environment.leader)
    , fleet_policy(fleet)
{
    this->records.set_apply_within(environment.lease.apply_within);
    // NOTE: Not the other way round: records of endpoints are short, and must not wait for a long configuration.
    this->operator_follower.leave_retries_to(this->endpoints_follower);
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
        // NOTE: Without an address of its own a box is asked by nobody, and it asks nobody either.
        this->source.boxes_unknown();
        if (this->leader_settings)
            Log::EventLine("leader_impossible").with("reason", "the settings give no ports between boxes").warning();
        return true;
    }
    std::optional<tcp::acceptor> acceptor;
    // NOTE: Counted in a wider type, since the last port may be the highest there is.
    for (unsigned port = this->ports->first; port <= this->ports->last && !acceptor; ++port)
        acceptor = listen_on(this->state.context, { this->ports->host, static_cast<std::uint16_t>(port) }, last_reason);
    if (!acceptor)
        return false;
    this->listener.emplace(
        std::move(*acceptor),
        [this](std::string_view path, std::string const& body) { return this->answer_box(path, body); }, most_askers);
    Membership::BoxRecord own { this->box_name, { this->ports->host, this->listener->port() }, this->failure_domain,
        this->link_bytes_per_second };
    LoadExchange::Knowledge knowledge {
        [this](Core::Instant now) { return this->records.knowledge(now); },
        [this](auto const& told, Core::Instant told_at) {
            this->records.take_knowledge(told, told_at);
            this->state.awaits_other_boxes = false;
        },
    };
    this->loads.emplace(this->state, this->source.boxes(), own.address, source_id(this->seed), std::move(knowledge),
        [this](std::string_view bytes, auto const& from) { return this->take_message(bytes, from); });
    if (!this->loads->open(last_reason))
        return false;
    this->state.awaits_other_boxes = true;
    this->registry.emplace(
        this->state, this->source, this->store, own, [this] { this->take_boxes(); }, this->seed);
    this->connect_crash_news();
    this->state.endpoint_notice_exchange.set_way(
        [this](std::string const& bytes, std::size_t boxes) { this->loads->send(bytes, boxes); });
    this->open_leadership(own);
    return true;
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
        this->is_first_start,
        Leadership::Ways { to_box, to_some, [this](Core::Instant now) { return this->source.hears_others(now); } });
    this->records.set_leader_news({ [this](Core::Instant now) { return this->leadership->news(now); },
        [this](Leadership::News const& news) { this->leadership->take_news(news); } });
    if (settings.reports_usage)
        this->usage.emplace(this->state, *this->leadership, this->source.boxes(), process, settings, to_box);
    if (settings.orders_servers && this->fleet_policy)
        this->fleet.emplace(this->state, *this->leadership, settings, *this->fleet_policy);
}

bool ControlPlane::take_message(std::string_view bytes, Routing::SocketAddress const& from)
{
    if (this->take_crash_news(bytes) || this->take_endpoint_news(bytes, from))
        return true;
    auto const message = Leader::decode_leader_message(bytes);
    if (message && this->leadership)
        this->take_leader_message(*message);
    return message.has_value();
}

void ControlPlane::take_leader_message(Leader::LeaderMessage const& message)
{
    if (auto const* const announcement = std::get_if<Leader::Announcement>(&message))
        this->leadership->hear(*announcement, monotonic_now());
    else if (this->usage)
        this->usage->hear(std::get<Leader::UsageMessage>(message));
}

void ControlPlane::ending()
{
    if (this->usage)
        this->usage->tell_now();
}

void ControlPlane::connect_crash_news()
{
    /// A request that is refused is told on to so many boxes a second by each that knows it, so that a box that missed
    /// the news knows within a second or two, however many there are.
    constexpr std::size_t some_boxes = 3;
    this->state.crash_exchange.set_ways(
        [this](std::string const& bytes, CrashNews::Audience audience) {
            auto const all = this->source.boxes().size();
            this->loads->send(bytes, audience == CrashNews::Audience::AllBoxes ? all : some_boxes);
        },
        [this](std::string const& key, std::optional<std::string> value) {
            this->registry->keep({ key, std::move(value) });
        });
    this->registry->set_on_other([this](std::string const& key, std::string const& value) {
        this->state.crash_exchange.take_stored(key, value);
    });
}

bool ControlPlane::take_crash_news(std::string_view bytes)
{
    auto const message = Membership::decode_crashes(bytes);
    if (message)
        this->state.crash_exchange.hear(*message);
    return message.has_value();
}

bool ControlPlane::take_endpoint_news(std::string_view bytes, Routing::SocketAddress const& from)
{
    auto const message = Membership::decode_endpoint_news(bytes, monotonic_now());
    if (!message)
        return false;
    this->state.endpoint_notice_exchange.hear(
        *message, [this, &from](std::string const& answer) { this->loads->send_to_address(from, answer); });
    // NOTE: Behind what it asked for, since it ends the asker's wait.
    if (message->asks)
        this->loads->tell_one(from);
    return true;
}

void ControlPlane::take_boxes()
{
    std::vector<std::string> names;
    for (auto const& [name, box] : this->source.boxes().all())
        names.push_back(name);
    this->state.router.set_boxes(Routing::BoxGroup(this->box_name, names));
    if (!std::exchange(this->has_asked_others, true))
        asio::co_spawn(this->state.context, this->ask_others(), asio::detached);
    this->wake_all();
}

Task<void> ControlPlane::ask_others()
{
    this->state.endpoint_notice_exchange.ask();
    if (this->source.boxes().size() > 1)
        co_await sleep_for(longest_wait_for_others);
    this->state.awaits_other_boxes = false;
}

void ControlPlane::start()
{
    auto& context = this->state.context;
    auto const start = this->is_first_start ? BoxRegistry::Start::OfAllBoxes : BoxRegistry::Start::OfThisBox;
    if (this->registry)
        this->source.wait_for_boxes(monotonic_now() + BoxRegistry::longest_start(start));
    asio::co_spawn(context, this->operator_follower.run(), asio::detached);
    asio::co_spawn(context, this->endpoints_follower.run(), asio::detached);
    if (!this->registry)
        return;
    asio::co_spawn(context, this->listener->run(), asio::detached);
    asio::co_spawn(context, this->registry->run(start), asio::detached);
    asio::co_spawn(context, this->relay_follower.run(), asio::detached);
    asio::co_spawn(context, this->loads->tell(), asio::detached);
    asio::co_spawn(context, this->loads->hear(), asio::detached);
    asio::co_spawn(context, this->state.crash_exchange.run(), asio::detached);
    asio::co_spawn(context, this->state.endpoint_notice_exchange.run(), asio::detached);
    if (!this->leadership)
        return;
    asio::co_spawn(context, this->leadership->stand(), asio::detached);
    asio::co_spawn(context, this->leadership->announce(), asio::detached);
    if (this->usage) {
        asio::co_spawn(context, this->usage->tell(), asio::detached);
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

void ControlPlane::woke(Core::Instant now)
{
    this->source.woke(now);
    this->operator_follower.woke();
    this->endpoints_follower.woke();
    this->relay_follower.wake();
    if (this->leadership)
        this->leadership->woke(now);
}

InternalHttpResponse ControlPlane::answer_box(std::string_view path, std::string const& body)
{
    if (path != control_path)
        return { status_not_found, "" };
    auto const question = Membership::decode_question(body);
    if (!question)
        return { status_bad_request, "" };
    // NOTE: A box that stops sends those that rely on it away while it still runs.
    if (this->state.is_stopping)
        return { status_unavailable, "" };
    auto const now = monotonic_now();
    bool const was_relay = this->source.is_relay(now);
    this->source.was_asked(question->asker_domain, now);
    if (!was_relay) {
        Log::EventLine("relay_begun").info();
        this->wake_followers();
    }
    auto const longest_configuration = static_cast<double>(this->link_bytes_per_second) * longest_transfer_seconds;
    auto const answer = this->records.answer(*question, static_cast<std::size_t>(longest_configuration), now);
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
