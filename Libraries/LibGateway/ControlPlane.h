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

/// Keeps this box up to date with the platform's store and with the other boxes: follows the store or a relay, relays
/// store records to boxes that ask for them, and exchanges load, crash and leader messages.
class ControlPlane {
public:
    /// `fleet` is the policy for ordering servers; empty if this box orders none.
    ControlPlane(GatewayState& state, Adapter::BoxEnvironment const& environment,
        std::optional<Leader::FleetPolicy> fleet, std::uint64_t seed);

    /// Listens for other boxes if the platform provides ports for them. False, with a reason, on failure.
    [[nodiscard]] bool open_listener(Core::LastReason& last_reason);
    /// The acceptor for requests that other boxes forward, once; empty if they can't reach this box.
    [[nodiscard]] std::optional<tcp::acceptor> take_forwarding_acceptor()
    {
        return std::exchange(this->forwarding_acceptor, std::nullopt);
    }
    /// Starts all tasks, which run until the event loop is stopped.
    void start();
    void set_environment(Adapter::BoxEnvironment const& environment);
    /// To be called when the box resumes after a suspension.
    void after_suspension(Core::Instant now);
    /// To be called before the process exits: sends the leader this box's remaining usage counts.
    void prepare_exit();
    /// Whether the list of endpoints was read completely at least once.
    [[nodiscard]] bool has_endpoints() const { return this->records.has_endpoints(); }

private:
    [[nodiscard]] StoreFollower::Paces operator_paces() const;
    [[nodiscard]] StoreFollower::Paces endpoints_paces(Core::Duration drain_within) const;
    [[nodiscard]] InternalHttpResponse answer_request(std::string_view path, std::string const& body);
    /// Listens on the first free port for other boxes. Empty, with a reason, on failure.
    [[nodiscard]] std::optional<tcp::acceptor> listen_for_boxes(Core::LastReason& last_reason);
    void connect_crash_exchange();
    void connect_box_records();
    void open_leadership(Membership::BoxRecord const& own);
    /// Handles a datagram that is no load report. False if it can't be decoded.
    [[nodiscard]] bool handle_message(std::string_view bytes, Routing::SocketAddress const& from);
    void handle_leader_message(Leader::LeaderMessage const& message);
    /// False if the bytes are no crash message.
    [[nodiscard]] bool handle_crash_message(std::string_view bytes);
    /// False if the bytes are no endpoint notice message.
    [[nodiscard]] bool handle_endpoint_notices(std::string_view bytes, Routing::SocketAddress const& from);
    [[nodiscard]] bool handle_stream_origins(std::string_view bytes, Routing::SocketAddress const& from);
    /// Called when the list of boxes was read or could not be read.
    void handle_box_list();
    /// Asks a few boxes for endpoint notices, which a starting box can't read from the store, and waits for an answer.
    [[nodiscard]] Task<void> request_notices();
    void wake_followers();
    /// Wakes all tasks that depend on the list of boxes.
    void wake_all();

    /// A waiting read renews the configuration's lease this often, so that three reads fit into the shortest revocation
    /// bound in use. The pause combines changes in quick succession into one call, and is short against the 2 s in
    /// which a change must be in force.
    static constexpr StoreFollower::Pace operator_pace { std::chrono::milliseconds(1200),
        std::chrono::milliseconds(250) };
    /// Pause between reads of a relay, whose reads serve many boxes.
    static constexpr Core::Duration relay_operator_pause { std::chrono::milliseconds(50) };
    /// Endpoints write about once a second each, so a waiting read would return at every write. This share of the bound
    /// leaves time for one lost read and its retry before a draining endpoint must be left alone.
    static constexpr double share_of_drain_bound = 0.4;
    /// A configuration is relayed only if, compressed, it takes this box's link no longer than this; otherwise each box
    /// reads it from the store. Relaying it to twenty boxes then takes 0.2 s, which is also the time of one transfer
    /// over a link that is twenty times narrower.
    static constexpr double max_transfer_seconds = 0.010;
    /// About thirty round trips between boxes. A starting box refuses clients until it has an answer, or for this long
    /// if the boxes that it asked are gone.
    static constexpr Core::Duration max_notice_wait { std::chrono::milliseconds(60) };
    /// Share of the sockets for connections from other boxes: all others of a failure domain may use this one as their
    /// relay.
    static constexpr double share_of_sockets_for_boxes = 0.2;
    /// A question tells a box's demand, some tens of bytes for each service.
    static constexpr std::size_t max_question_bytes = 256 * 1024;

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
    std::size_t max_connections;
    std::uint64_t seed;
    bool is_first_start;
    bool has_requested_notices { false };
    std::optional<InternalHttpServer> listener;
    std::optional<tcp::acceptor> forwarding_acceptor;
    /// Empty if other boxes can't reach this one.
    std::optional<BoxRegistry> registry;
    std::optional<LoadExchange> loads;
    std::optional<Adapter::LeaderSettings> leader_settings;
    std::optional<Leader::FleetPolicy> fleet_policy;
    /// Empty if the platform has no duties for a leader.
    std::optional<Leadership> leadership;
    std::optional<UsageReporter> usage;
    std::optional<FleetOperator> fleet;
};

}
