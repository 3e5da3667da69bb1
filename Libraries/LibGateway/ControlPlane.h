#pragma once

#include <LibGateway/BoxRegistry.h>
#include <LibGateway/FleetOperator.h>
#include <LibGateway/InternalHttpServer.h>
#include <LibGateway/LoadExchange.h>
#include <LibGateway/RelayFollower.h>
#include <LibGateway/StoreFollower.h>
#include <LibGateway/UsageReporter.h>
#include <platform/BoxEnvironment.h>

namespace Gateway {

/// How this box learns what the platform's store says and passes it on: the followers of the store, the relay it asks,
/// and what it answers to boxes that ask it.
class ControlPlane {
public:
    /// `fleet` says how servers are ordered; nothing where this box orders none.
    ControlPlane(GatewayState& state, Adapter::BoxEnvironment const& environment,
        std::optional<Leader::FleetPolicy> fleet, std::uint64_t seed);

    /// Listens for other boxes where the platform gives ports for that. False, with a reason, where that fails.
    [[nodiscard]] bool open_listener(Core::LastReason& last_reason);
    /// Begins to read. The tasks run until the event loop is stopped.
    void start();
    void set_environment(Adapter::BoxEnvironment const& environment);
    /// The box was suspended until now.
    void woke(Core::Instant now);
    /// The process ends now: others are told what only it knows.
    void ending();
    /// Whether the endpoints were read whole at least once.
    [[nodiscard]] bool knows_endpoints() const { return this->records.knows_endpoints(); }

private:
    [[nodiscard]] StoreFollower::Paces operator_paces() const;
    [[nodiscard]] StoreFollower::Paces endpoints_paces(Core::Duration drain_within) const;
    [[nodiscard]] InternalHttpResponse answer_box(std::string_view path, std::string const& body);
    void connect_crash_news();
    void open_leadership(Membership::BoxRecord const& own);
    /// Takes what came from another box and is no load report. False for bytes that are nothing that it knows.
    [[nodiscard]] bool take_message(std::string_view bytes, Routing::SocketAddress const& from);
    void take_leader_message(Leader::LeaderMessage const& message);
    /// False for bytes that hold none.
    [[nodiscard]] bool take_crash_news(std::string_view bytes);
    /// The same.
    [[nodiscard]] bool take_endpoint_news(std::string_view bytes, Routing::SocketAddress const& from);
    /// The list of boxes was read, or could not be.
    void take_boxes();
    /// Asks a few boxes what they know that a box which starts can't learn from the store, and waits for one to answer.
    [[nodiscard]] Task<void> ask_others();
    void wake_followers();
    /// The list of boxes is known now, or known to be out of reach.
    void wake_all();

    /// A read that waits renews the configuration's lease this often. Three fit into the shortest revocation bound of
    /// the first sites. The pause makes one call of changes that come in quick succession, well inside the 2 s in which
    /// they must be in force.
    static constexpr StoreFollower::Pace operator_pace { std::chrono::milliseconds(1200),
        std::chrono::milliseconds(250) };
    /// The same for a relay, whose reads serve many boxes.
    static constexpr Core::Duration relay_operator_pause { std::chrono::milliseconds(50) };
    /// Endpoints write about every second each, so waiting would make a call of each write. The pause leaves room for a
    /// read that gets no answer and for the next one inside the time in which an endpoint that drains must be left
    /// alone.
    static constexpr double share_of_drain_bound = 0.4;
    /// A configuration is passed on if, compressed, it takes this box's link no longer than this. Passed on to twenty
    /// boxes it then takes the link 0.2 s, as long as the link of an asker that is twenty times narrower takes for one.
    /// Longer ones are read from the store by each box.
    static constexpr double longest_transfer_seconds = 0.010;
    /// Some thirty times the way to another box and back. A box that starts refuses its clients until then, where those
    /// it asks are gone.
    static constexpr Core::Duration longest_wait_for_others { std::chrono::milliseconds(60) };
    /// Boxes that may ask this one at the same time: a failure domain at the planned size has 59.
    static constexpr std::size_t most_askers = 256;

    GatewayState& state;
    Membership::ControlSource source;
    ControlRecords records;
    StoreFollower operator_follower;
    StoreFollower endpoints_follower;
    RelayFollower relay_follower;
    std::string box_name;
    std::string failure_domain;
    std::optional<Adapter::PortRange> ports;
    Routing::SocketAddress store;
    std::uint64_t link_bytes_per_second;
    std::uint64_t seed;
    bool is_first_start;
    bool has_asked_others { false };
    std::optional<InternalHttpServer> listener;
    /// Nothing where other boxes can't reach this one.
    std::optional<BoxRegistry> registry;
    std::optional<LoadExchange> loads;
    std::optional<Adapter::LeaderSettings> leader_settings;
    std::optional<Leader::FleetPolicy> fleet_policy;
    /// Nothing where the platform asks nothing of one box alone.
    std::optional<Leadership> leadership;
    std::optional<UsageReporter> usage;
    std::optional<FleetOperator> fleet;
};

}
