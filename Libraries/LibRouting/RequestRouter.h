#pragma once

#include <LibCore/Reason.h>
#include <LibRouting/BrittleEndpoints.h>
#include <LibRouting/ColdEndpoints.h>
#include <LibRouting/ConfigurationLease.h>
#include <LibRouting/EndedProcesses.h>
#include <LibRouting/EndpointBackoffs.h>
#include <LibRouting/EndpointNotices.h>
#include <LibRouting/ListedVersions.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/Placement.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/StreamOrigin.h>
#include <LibRouting/WaitLimit.h>
#include <LibTraffic/TrafficTypes.h>

#include <memory>
#include <mutex>
#include <pcg_random.hpp>
#include <variant>

namespace Routing {

using Core::Reason;
using Traffic::AttemptResult;

/// The parts of a client's request that routing needs.
struct RequestHead {
    /// The client's id of this attempt.
    std::string attempt;
    std::string host;
    /// Path and query.
    std::string target;
    std::string api_key;
    /// How long the client waits after the request was read.
    std::optional<Duration> patience;
    Workload workload;
    /// The service that another box assigned the request to, which admitted and counted it before it forwarded it here.
    std::optional<std::string> assigned_service {};
    /// Whether the client takes up a stream of which it has events, and the id of the attempt that brought the first
    /// one; the id is empty if the client doesn't name it.
    bool takes_up_stream { false };
    std::string taken_up_attempt {};

    bool operator==(RequestHead const&) const = default;
};

/// A request that the configuration allows.
struct Admitted {
    RequestId id;
    SharedConfiguration configuration;
    /// Points into `configuration`.
    Route const* route { nullptr };
    std::string service;
    /// Name of the client account; empty on a public route.
    std::string account;
    /// Points into `configuration`; null on a public route.
    ClientAccount const* account_settings { nullptr };
    /// 0 is the most urgent.
    unsigned urgency { 0 };
    bool is_engine { false };
    Instant arrived;
    /// The earlier end of the client's patience and the route's timeout.
    Instant expires;
    /// Whether patience or timeout ends first.
    Reason expiry { Reason::DeadlinePassed };
    /// The only version of the endpoints' software that may get the request, since it has begun its stream.
    std::optional<std::string> stream_version {};

    bool operator==(Admitted const&) const = default;
};

/// Urgency of a request, 0 for the most urgent: ordered by the route's priority first, then by the account's.
[[nodiscard]] unsigned urgency_of(Route const& route, ClientAccount const* account);

/// A request that this box refuses to send to an endpoint.
struct Rejected {
    Reason reason { Reason::None };
    /// Time after which the client should retry; unset if a retry would not help.
    std::optional<Duration> retry_after;
    /// The account's position, if it is the reason.
    std::optional<AccountStanding> standing {};

    bool operator==(Rejected const&) const = default;
};

/// What a box knew of the room at a brittle endpoint when it chose it, for the log.
struct BrittlePlacement {
    /// Requests of this box there, without the new one.
    std::size_t own_running { 0 };
    /// Whether it takes one of this box's own slots.
    bool has_own_slot { false };
    /// The limit on further requests of all boxes together, per second.
    double limit_per_second { 0 };

    bool operator==(BrittlePlacement const&) const = default;
};

/// The endpoint that a request is to be sent to.
struct Placed {
    PlacementChoice choice;
    EndpointRecord endpoint;
    /// Whether the request is counted against this box's share of the endpoint's rate limit.
    bool is_counted_by_limit { false };
    /// The endpoint's known rate limit.
    RateLimit limit {};
    /// The endpoint's limit while it is cold; unset if endpoints of its service are never cold.
    std::optional<double> cold_limit {};
    /// Number of endpoints that were skipped since this box has used its share of their rate limits.
    std::size_t at_limit { 0 };
    /// Number of endpoints that were skipped since they are backed off.
    std::size_t backed_off { 0 };
    /// Set if the endpoint is brittle.
    std::optional<BrittlePlacement> brittle {};
    /// Whether the endpoint's entry may be that of an earlier process. `endpoint` then names no version.
    bool is_entry_outdated { false };

    bool operator==(Placed const&) const = default;
};

struct RouterSettings {
    std::string failure_domain;
    LeaseBounds lease;
    RetryBounds retry;
    PlacementModel placement;
    /// The region of each failure domain.
    std::map<std::string, std::string> domain_regions {};
    ColdBounds cold {};
    /// A list of endpoints that was read longer ago doesn't tell which versions there are.
    Duration max_list_age { std::chrono::seconds(1) };

    bool operator==(RouterSettings const&) const = default;
};

/// Decides for each request of a box whether the configuration allows it, which endpoint gets it, and whether it may be
/// retried at another endpoint. Does no I/O; the time is passed in.
///
/// One lock protects endpoints, loads and retry budgets, another one the configuration.
class RequestRouter {
public:
    RequestRouter(RouterSettings settings, std::uint64_t seed);

    void set_settings(RouterSettings changed);
    /// As ConfigurationLease::offer.
    bool offer_configuration(SharedConfiguration offered, std::optional<Instant> confirmed_at);
    void confirm_configuration(Instant read_sent_at);
    /// As ConfigurationLease::note_version.
    void note_configuration(std::uint64_t version, Instant notified_at, Instant known_since);
    /// As ConfigurationLease::note_overdue_version.
    void note_overdue_configuration(std::uint64_t version, Instant notified_at);
    /// As ConfigurationLease::after_suspension.
    void after_suspension(Instant now);
    /// As ConfigurationLease::known_since.
    [[nodiscard]] std::optional<Instant> configuration_known_since() const;
    [[nodiscard]] SharedConfiguration configuration() const;
    [[nodiscard]] ConfigurationFreshness configuration_freshness(Instant now) const;
    [[nodiscard]] Duration configuration_age(Instant now) const;

    /// Sets the failure domains whose endpoints get no new requests.
    void set_evacuated_domains(std::set<std::string> domains, Instant now);
    [[nodiscard]] std::set<std::string> evacuated() const;
    /// Whether the settings name the failure domain.
    [[nodiscard]] bool is_known_domain(std::string const& domain) const;

    /// Returns whether the endpoint is new or its record changed.
    bool put_endpoint(EndpointRecord const& record, Instant now);
    /// As EndpointDirectory::is_earlier_instance.
    [[nodiscard]] bool is_earlier_instance(EndpointRecord const& record) const;
    void remove_endpoint(std::string const& incarnation, Instant now);
    void replace_endpoints(std::vector<EndpointRecord> const& records, Instant now);
    void store_returned(Instant now);
    /// As EndpointNotices::confirm_list.
    void confirm_endpoints(Instant confirmed_at);
    /// As EndpointNotices::mark_list_uncertain.
    void mark_endpoints_uncertain();
    /// Removes expired endpoints. Returns the endpoints that were removed since the last call.
    [[nodiscard]] std::vector<EndpointId> expire_endpoints(Instant now);
    [[nodiscard]] std::size_t endpoint_count() const;
    /// Up to `count` random endpoints that may get new requests and are not in `excluded`, whatever their services.
    /// Those in failure domains without excluded endpoints are preferred.
    [[nodiscard]] std::vector<KnownEndpoint> sample_endpoints(
        std::size_t count, std::vector<EndpointId> const& excluded, Instant now);
    /// Number of endpoints of a service that may get new requests.
    [[nodiscard]] std::size_t usable_endpoints(std::string_view service, Instant now) const;

    [[nodiscard]] std::variant<Admitted, Rejected> admit(RequestHead const& head, Instant now);
    /// Chooses an endpoint that is not in `tried`. Checks again whether the request may still run.
    [[nodiscard]] std::variant<Placed, Rejected> place(
        Admitted const& request, Workload const& workload, std::vector<EndpointId> const& tried, Instant now);
    /// From now on only endpoints that may continue the stream get the request. Returns false if the route doesn't lead
    /// to their service.
    [[nodiscard]] static bool restrict_to_origin(Admitted& request, StreamOrigin const& origin);
    /// The version of the software of all endpoints of a service that were listed at any time since `since`; nothing if
    /// there were several or none, or if this box doesn't know the present list: another one may have joined.
    [[nodiscard]] std::optional<std::string> only_version(std::string const& service, Instant since, Instant now) const;
    /// Whether a box of the failure domain may handle the request's body. With restricted regions only boxes within
    /// them may, since the client's own region is not known.
    [[nodiscard]] bool may_pass_through(Admitted const& request, std::string const& failure_domain) const;
    /// The known endpoints of these incarnations.
    [[nodiscard]] std::vector<EndpointId> endpoint_ids(std::vector<std::string> const& incarnations) const;
    /// The incarnations of these endpoints, without those that are gone.
    [[nodiscard]] std::vector<std::string> incarnations(std::vector<EndpointId> const& endpoints) const;
    /// Whether an endpoint that was just chosen may still get a request: it may have begun to drain while this box
    /// connected to it.
    [[nodiscard]] bool may_receive(EndpointId endpoint, Instant now) const;
    /// Like may_receive(), for a request that is about to be sent. Checks the endpoint's rate limit too, which may have
    /// been reported since the endpoint was chosen.
    [[nodiscard]] bool may_send(Placed const& placed, Instant now);
    /// Whether the retry budget of the service allows one more attempt.
    [[nodiscard]] bool may_retry(Admitted const& request, Instant now);

    void attempt_started(Admitted const& request, Workload const& workload, PlacementChoice const& choice, Instant now);
    /// The first piece of an answer arrived, `taken` after the attempt started.
    void attempt_answered(Admitted const& request, PlacementChoice const& choice, Duration taken, Instant now);
    /// Consecutive events of an answer of the endpoint brought `tokens` within `taken`.
    void answer_progressed(Admitted const& request, EndpointId endpoint, double tokens, Duration taken, Instant now);
    void attempt_ended(RequestId request, EndpointId endpoint, AttemptResult result, Instant now);
    void endpoint_replaced(EndpointId endpoint);
    /// The endpoint's process ended: its host refused a connection, to this box or to another one. Returns whether this
    /// is the process that is listed.
    bool endpoint_ended(EndpointInstance const& endpoint, Instant now);
    void update_reported_load(EndpointId endpoint, ReportedLoad const& reported, Instant now);

    /// An endpoint that began or ceased to be considered slow.
    struct PaceChange {
        std::string incarnation;
        bool is_slow { false };
        double factor { 1 };
        /// Recent samples of all boxes that the factor rests on.
        unsigned samples { 0 };

        bool operator==(PaceChange const&) const = default;
    };
    /// Changes since the last call.
    [[nodiscard]] std::vector<PaceChange> take_pace_changes(Instant now);
    /// Number of endpoints where work takes more than 1.25 times the service's usual time.
    [[nodiscard]] std::size_t slow_endpoints(Instant now) const;

    /// Sets the boxes that share the endpoints' rate limits.
    void set_boxes(BoxGroup boxes);
    /// Sets how far the shared clock of all boxes is ahead of this box's monotonic clock.
    void set_shared_clock(Duration ahead);
    /// What an endpoint reported of itself in an answer.
    struct EndpointReport {
        /// Unset if it can't be read; the known limit then stays.
        std::optional<RateLimit> limit;
        bool is_draining { false };
        /// Whether the endpoint accepted the request; the request may have failed afterwards.
        bool took_request { true };
        /// How long the endpoint asked for no requests from this box.
        std::optional<Duration> backoff {};
        /// How many requests the endpoint can reject within a second without failing; unset if it reported none.
        std::optional<double> max_rejections {};
    };
    /// The effect of an endpoint's report.
    struct ReportEffect {
        /// The notice to send to other boxes if the endpoint's condition changed.
        std::optional<EndpointNotice> notice;
        /// Whether a new backoff began.
        bool backoff_began { false };
        /// The rejection to report to other boxes, if a brittle endpoint rejected the request.
        std::optional<EndpointRejection> rejection {};
    };
    [[nodiscard]] ReportEffect record_answer(
        Placed const& placed, EndpointReport const& report, Instant sent_at, Instant now);
    /// Applies a notice of another box. Returns whether it is newer than the known one and concerns a known endpoint.
    bool apply_notice(EndpointNotice const& notice, Instant now);
    /// Applies the rejection of a request of another box. Returns whether it is news and concerns a known endpoint.
    bool apply_rejection(EndpointRejection const& rejection);
    /// As EndpointNotices::active.
    [[nodiscard]] std::vector<EndpointNotice> active_notices(Instant now) const;
    /// Endpoints that have a rate limit.
    [[nodiscard]] std::size_t limited_endpoints() const;

    /// Sets the interval of load reports, which is the age of the known load when the next report arrives.
    void set_report_interval(Duration interval);
    /// The load report that this box sends to other boxes.
    [[nodiscard]] LoadReport load_report(Instant now) const;
    /// Replaces the load report of another box, as of `at`.
    void apply_load_report(std::uint64_t box, LoadReport const& report, Instant at);

    /// Number of a service's engines that the recent requests of all boxes would keep busy; unset before the first
    /// request.
    [[nodiscard]] std::optional<double> engines_needed(std::string const& service, Instant now) const;
    /// The endpoints of a service that may get new requests.
    [[nodiscard]] std::vector<EndpointRecord> usable_records(std::string_view service, Instant now) const;

    /// Work of this box's recent requests by service.
    [[nodiscard]] std::map<std::string, WorkTotals> work_totals(Instant now) const;
    /// Replaces the total work of the other boxes of the failure domain by service.
    void apply_totals_of_others(std::map<std::string, WorkTotals> const& totals, Instant now);
    /// Fraction of engines that this box uses for long answers by service.
    [[nodiscard]] std::map<std::string, double> answer_shares(Instant now);
    /// Applies the fractions of engines for long answers that a relay decided for all boxes of the failure domain.
    void apply_answer_shares(std::map<std::string, double> const& shares, Instant now);

private:
    static constexpr double milliseconds_per_second { 1000 };
    /// Time after which a client should retry if an endpoint or a current configuration is missing: about the time in
    /// which the store reports a new one.
    static constexpr Duration retry_after_gap { std::chrono::milliseconds(500) };
    /// Time after which a client should retry at a box that has just started: the first configuration is read within
    /// some 50 ms.
    static constexpr Duration retry_after_start { std::chrono::milliseconds(150) };
    /// Time after which a client should retry if all endpoints are full: a few service times.
    static constexpr Duration retry_after_full { std::chrono::milliseconds(150) };
    /// With load reports at least this frequent, a box compares all engines; with rarer ones, proportionally fewer. A
    /// long prompt is read within this time, so the known load is still that of the queue that a request joins.
    static constexpr Duration fresh_report_interval { std::chrono::milliseconds(100) };
    /// An endpoint may have become cold just before the evacuation of its domain ended. Its entry says so within this
    /// time: a heartbeat, and the ways from the endpoint to the store and from there to this box.
    static constexpr Duration cold_after_evacuation { std::chrono::seconds(3) };
    /// With a backlog of at most this, the time to the first piece shows how fast the engine reads.
    static constexpr double max_idle_backlog_milliseconds = 2;

    [[nodiscard]] std::optional<Rejected> refuse_by_lease(Route const* route, Instant now) const;
    /// How long the request would wait at the chosen engine until its prompt is read.
    [[nodiscard]] static Duration predicted_wait(PlacementChoice const& choice);
    /// Refuses a request that even the best engine would begin to read too late.
    [[nodiscard]] std::optional<Rejected> refuse_by_wait(
        Admitted const& request, PlacementChoice const& choice, Instant now);
    /// Refuses a request that would wait longer than its account's share allows.
    [[nodiscard]] std::optional<Rejected> refuse_by_share(
        Admitted const& request, Duration wait, Duration limit, AccountStanding const& standing);
    void apply_account_report(std::uint64_t box, std::string const& service, AccountReport report,
        ConfigurationSnapshot const& configuration, Instant at);
    /// Whether accounts share the service's engines by their work: not without keys, with a single account, or on a
    /// public route.
    [[nodiscard]] static bool counts_account(Admitted const& request);
    /// The position of the request's account; within its share if accounts don't count.
    [[nodiscard]] AccountStanding standing_of(Admitted const& request, Instant now);
    [[nodiscard]] Rejected refuse_unknown(Reason reason, Instant now) const;
    /// The endpoints of a service, grouped by whether this box may send to them.
    struct Choices {
        PlacementCandidates healthy;
        PlacementCandidates unhealthy;
        /// This box has used its share of their rate limits.
        std::vector<EndpointId> at_limit;
        /// They asked for no requests for now.
        std::vector<EndpointId> backed_off;
        /// Whether endpoints were left out since the route or the account does not allow their region.
        bool has_other_regions { false };
        /// Whether endpoints were left out since another version of their software began the stream.
        bool has_other_versions { false };

        [[nodiscard]] PlacementCandidates const& best() const;
    };
    [[nodiscard]] Choices choices(Admitted const& request, std::vector<EndpointId> const& tried, Instant now);
    /// Whether the endpoint's process is known to have the version of the software that began a stream.
    [[nodiscard]] bool may_continue(std::string const& version, KnownEndpoint const& endpoint) const;
    /// Refuses a request for which no endpoint is left.
    [[nodiscard]] Rejected refuse_unplaced(
        Admitted const& request, Choices const& choices, bool was_tried, Instant now);
    /// Why none of the service's endpoints may get the request, though none is at its limit or backed off.
    [[nodiscard]] Reason reason_for_no_endpoint(Admitted const& request, Choices const& choices, Instant now) const;
    [[nodiscard]] SharedMicroseconds shared_time(Instant now) const;
    /// Removes what is known of the endpoint by its id only.
    void forget_endpoint(EndpointId id);
    void forget_notices_of_moved();
    /// The endpoint is listed with its version until now.
    void note_version(std::string const& incarnation, Instant now);
    void update_cold(EndpointRecord const& record, Instant now);
    /// The limit of a service's endpoints while they are cold; unset if they never are.
    [[nodiscard]] std::optional<double> cold_limit_of(Admitted const& request) const;
    [[nodiscard]] SharedLimit shared_limit(
        double per_second, std::string_view endpoint, SharedMicroseconds shared_now) const;
    /// Counts the request against this box's shares of the endpoint's limits. Returns false if it has no limit, so that
    /// it is checked again just before it is sent.
    bool count_send(KnownEndpoint const& endpoint, std::optional<double> cold_limit, Instant now);
    /// Whether this box's share of the endpoint's limits allows a request.
    [[nodiscard]] bool may_send_now(KnownEndpoint const& endpoint, EndpointRoom const& room,
        std::optional<double> cold_limit, SendPriority rank, Instant now);

    /// Nothing limits the request.
    struct UnboundSend { };
    /// The request takes one of this box's own slots of a brittle endpoint.
    struct OwnSlotSend { };
    /// The request takes a slot of another box, within the limit for all of these.
    struct LimitedSend {
        SharedLimit limit;
    };
    /// The endpoint is brittle, and all its slots are in use.
    struct NoSend { };
    /// How a request may be sent to an endpoint, as far as the endpoint is brittle.
    using BrittleSend = std::variant<UnboundSend, OwnSlotSend, LimitedSend, NoSend>;
    [[nodiscard]] EndpointRoom room_at(KnownEndpoint const& endpoint, Instant now) const;
    /// The room without a request of this box that was counted when its attempt started.
    [[nodiscard]] EndpointRoom room_without_one(KnownEndpoint const& endpoint, Instant now) const;
    [[nodiscard]] BrittleSend brittle_send(KnownEndpoint const& endpoint, EndpointRoom const& room, Instant now);
    [[nodiscard]] bool may_send_to_brittle(
        KnownEndpoint const& endpoint, EndpointRoom const& room, SendPriority rank, Instant now);
    /// Returns whether the request is counted against an own slot or a limit.
    bool count_send_to_brittle(KnownEndpoint const& endpoint, Instant now);
    [[nodiscard]] std::optional<BrittlePlacement> brittle_placement(KnownEndpoint const& endpoint, Instant now);
    /// The limit of a known endpoint, if it is brittle and one is in force.
    [[nodiscard]] std::optional<double> brittle_limit_of(EndpointId id, Instant now) const;
    /// Whether route and account both allow the region of the failure domain.
    [[nodiscard]] bool is_region_allowed(Admitted const& request, std::string const& failure_domain) const;
    /// Whether the endpoint may get new requests, by its entry, by its own reports and by evacuations.
    [[nodiscard]] bool is_usable(EndpointId id, Instant now) const;
    [[nodiscard]] bool is_usable(KnownEndpoint const& endpoint, Instant now) const;
    /// The endpoints of a service that may get new requests, in the same order on every box.
    [[nodiscard]] std::vector<KnownEndpoint const*> usable(std::string_view service, Instant now) const;
    /// The service that another box assigned the request to, if the route has it, or a random one of the route.
    [[nodiscard]] std::string service_for(RequestHead const& head, Route const& route);
    [[nodiscard]] std::string const& draw_service(Route const& route);
    /// The load of a known endpoint; null if it is gone.
    [[nodiscard]] EndpointLoad* load_of(EndpointId endpoint);
    [[nodiscard]] RetryBudget& budget_of(std::string const& service);

    RouterSettings settings;
    mutable std::mutex configuration_lock;
    ConfigurationLease lease;
    mutable std::mutex endpoints_lock;
    EndpointDirectory directory;
    LoadTable loads;
    EndpointNotices notices;
    EndpointBackoffs backoffs;
    ColdEndpoints cold;
    BrittleEndpoints brittle;
    EndedProcesses ended;
    ListedVersions versions;
    std::set<std::string> evacuated_domains;
    Duration shared_clock_ahead { 0 };
    std::unordered_map<std::string, RetryBudget> budgets;
    std::map<std::string, EngineDemand> demands;
    std::map<std::string, EngineSpeedEstimate> speeds;
    std::map<std::string, SlotTimeEstimate> slot_times;
    std::map<std::string, AccountShares> account_shares;
    /// The fraction of engines that this box compares.
    double compared_share { 1 };
    pcg32 random;
    std::uint64_t next_request { 1 };
};

}
