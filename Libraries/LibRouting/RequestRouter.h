#pragma once

#include <LibCore/Reason.h>
#include <LibRouting/ConfigurationLease.h>
#include <LibRouting/EndpointBackoffs.h>
#include <LibRouting/EndpointNotices.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/Placement.h>
#include <LibRouting/RetryAllowance.h>
#include <LibRouting/WaitLimit.h>
#include <LibTraffic/TrafficTypes.h>

#include <memory>
#include <mutex>
#include <pcg_random.hpp>
#include <variant>

namespace Routing {

using Core::Reason;
using Traffic::AttemptResult;

/// What a client asks for.
struct RequestHead {
    /// The client's own id of this attempt.
    std::string attempt;
    std::string host;
    /// Path and query.
    std::string target;
    std::string api_key;
    /// How long the client waits, from the moment the request was read.
    std::optional<Duration> patience;
    Workload workload;

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
    /// 0 is the most urgent.
    unsigned urgency { 0 };
    bool is_engine { false };
    Instant arrived;
    /// When the client's patience or the route's timeout ends, whichever comes first.
    Instant expires;
    /// Which of the two ends first.
    Reason expiry { Reason::DeadlinePassed };

    bool operator==(Admitted const&) const = default;
};

/// The rank of a request among all others, 0 for the most urgent: the route's priority first, then the account's.
[[nodiscard]] unsigned urgency_of(Route const& route, ClientAccount const* account);

/// A request that this box will not send to any endpoint, now or later.
struct Rejected {
    Reason reason { Reason::None };
    /// When the client may come back; nothing where that would not help.
    std::optional<Duration> retry_after;

    bool operator==(Rejected const&) const = default;
};

/// Send the request to this endpoint.
struct Placed {
    PlacementChoice choice;
    EndpointRecord endpoint;
    /// Whether it is counted against this box's part of the endpoint's rate limit.
    bool is_counted_by_limit { false };
    /// What the endpoint was known to take.
    RateLimit limit {};
    /// Other endpoints that were passed over since this box has sent them its part of what they take.
    std::size_t at_limit { 0 };
    /// Others that want nothing from this box for now.
    std::size_t backed_off { 0 };

    bool operator==(Placed const&) const = default;
};

struct RouterSettings {
    std::string failure_domain;
    LeaseBounds lease;
    RetryBounds retry;
    PlacementModel placement;

    bool operator==(RouterSettings const&) const = default;
};

/// Decides for every request of a box: whether the configuration allows it, where it goes, whether it may go to a
/// second endpoint. Pure: no I/O, and the time is passed in.
///
/// Endpoints, loads and budgets stand under one lock, the configuration under another.
class RequestRouter {
public:
    RequestRouter(RouterSettings settings, std::uint64_t seed);

    void set_settings(RouterSettings changed);
    /// As ConfigurationLease::offer.
    bool offer_configuration(SharedConfiguration offered, std::optional<Instant> vouched_at);
    void confirm_configuration(Instant asked_at);
    /// As ConfigurationLease::note_version.
    void note_configuration(std::uint64_t version, Instant told_at, Instant known_since);
    /// As ConfigurationLease::note_due_version.
    void note_due_configuration(std::uint64_t version, Instant told_at);
    /// As ConfigurationLease::woke.
    void woke(Instant now);
    /// As ConfigurationLease::known_since.
    [[nodiscard]] std::optional<Instant> configuration_known_since() const;
    [[nodiscard]] SharedConfiguration configuration() const;
    [[nodiscard]] ConfigurationTrust trust(Instant now) const;
    [[nodiscard]] Duration configuration_age(Instant now) const;

    /// True if the endpoint is new or its record changed.
    bool put_endpoint(EndpointRecord const& record);
    /// As EndpointDirectory::is_earlier_life.
    [[nodiscard]] bool is_earlier_life(EndpointRecord const& record) const;
    void remove_endpoint(std::string const& incarnation, Instant now);
    void replace_endpoints(std::vector<EndpointRecord> const& records, Instant now);
    void store_returned(Instant now);
    /// The list of endpoints is known as of that moment.
    void endpoints_confirmed(Instant vouched_at);
    /// The list of endpoints may hold what was so earlier.
    void endpoints_in_doubt();
    /// Ids of endpoints that are gone since the last call.
    [[nodiscard]] std::vector<EndpointId> expire_endpoints(Instant now);
    [[nodiscard]] std::size_t endpoint_count() const;
    /// Endpoints of a service that may get new work.
    [[nodiscard]] std::size_t usable_endpoints(std::string_view service, Instant now) const;

    [[nodiscard]] std::variant<Admitted, Rejected> admit(RequestHead const& head, Instant now);
    /// Chooses an endpoint that is not in `tried`. Checks anew that the request may still run.
    [[nodiscard]] std::variant<Placed, Rejected> place(
        Admitted const& request, Workload const& workload, std::vector<EndpointId> const& tried, Instant now);
    /// Whether an endpoint that was chosen a moment ago may still get a request: it may have begun to leave while this
    /// box connected to it.
    [[nodiscard]] bool may_receive(EndpointId endpoint, Instant now) const;
    /// The same of a request that is about to be sent, which the endpoint's rate limit has to allow as well: the
    /// endpoint may have named one meanwhile.
    [[nodiscard]] bool may_send(Placed const& placed, Instant now);
    /// Whether one more endpoint may get the request, by the budget of its service.
    [[nodiscard]] bool may_repeat(Admitted const& request, Instant now);

    void attempt_started(Admitted const& request, Workload const& workload, PlacementChoice const& choice, Instant now);
    /// The first piece of an answer came, `taken` after the attempt started.
    void attempt_answered(Admitted const& request, PlacementChoice const& choice, Duration taken, Instant now);
    /// Events of an answer followed one another: so many tokens in the time given.
    void answer_went_on(Admitted const& request, double tokens, Duration taken);
    void attempt_ended(RequestId request, EndpointId endpoint, AttemptResult result, Instant now);
    void endpoint_replaced(EndpointId endpoint);
    void take_told_load(EndpointId endpoint, ToldLoad const& told, Instant now);

    /// The boxes that share what endpoints take.
    void set_boxes(BoxGroup boxes);
    /// How far the clock that all boxes go by is ahead of this box's own, which runs from its boot.
    void set_shared_clock(Duration ahead);
    /// What an endpoint said of itself in an answer.
    struct SelfReport {
        /// Nothing where it can't be read, and what is known holds.
        std::optional<RateLimit> limit;
        bool is_draining { false };
        /// Whether it took the request; it may have failed afterwards.
        bool took_request { true };
        /// How long it wants nothing from this box.
        std::optional<Duration> backoff {};
    };
    /// What follows from such a report.
    struct ReportEffect {
        /// As EndpointNotices::answered.
        std::optional<EndpointNotice> notice;
        /// Whether this box begins to leave the endpoint alone.
        bool backoff_began { false };
    };
    [[nodiscard]] ReportEffect note_answer(
        Placed const& placed, SelfReport const& report, Instant sent_at, Instant now);
    /// Another box told it; true if it is news of an endpoint that is known here.
    bool take_notice(EndpointNotice const& notice, Instant now);
    /// As EndpointNotices::worth_telling.
    [[nodiscard]] std::vector<EndpointNotice> notices_worth_telling(Instant now) const;
    /// Endpoints that have a rate limit.
    [[nodiscard]] std::size_t limited_endpoints() const;

    /// How old what boxes tell each other of their load is when the next report comes.
    void set_report_interval(Duration interval);
    /// What this box tells other boxes of its load.
    [[nodiscard]] LoadReport load_report(Instant now) const;
    /// What another box told, as of `at`, in place of what it told before.
    void take_load_report(std::uint64_t box, LoadReport const& report, Instant at);

    /// How many of a service's engines the recent requests of all boxes would keep busy; nothing before any came.
    [[nodiscard]] std::optional<double> engines_needed(std::string const& service, Instant now) const;
    /// The endpoints of a service that may get new work.
    [[nodiscard]] std::vector<EndpointRecord> usable_records(std::string_view service, Instant now) const;

    /// What this box's recent requests ask of engines, by service.
    [[nodiscard]] std::map<std::string, WorkTotals> work_totals(Instant now) const;
    /// The same of other boxes of the failure domain, all together.
    void take_totals_of_others(std::map<std::string, WorkTotals> const& totals, Instant now);
    /// The part of each service's engines that this box gives to long answers.
    [[nodiscard]] std::map<std::string, double> answer_shares(Instant now);
    /// The same as a relay decided it for all boxes of the failure domain.
    void take_answer_shares(std::map<std::string, double> const& shares, Instant now);

private:
    /// When a client may come back after a refusal for want of an endpoint or a configuration: about the time in which
    /// the store tells of a new one.
    static constexpr Duration come_back_after_gap { std::chrono::milliseconds(500) };
    /// When a client may come back to a box that has just started and has no configuration yet: it reads one within
    /// some 50 ms.
    static constexpr Duration retry_after_start { std::chrono::milliseconds(150) };
    /// When a client may come back to a service whose endpoints are full: a few service times.
    static constexpr Duration come_back_when_full { std::chrono::milliseconds(150) };
    /// With reports as frequent as this a box compares all engines; with rarer ones a part that is as much smaller.
    /// Within it a long prompt is read, so what is known is of the queue that a request meets.
    static constexpr Duration fresh_reports { std::chrono::milliseconds(100) };
    /// With a shorter backlog than this before it, what a first piece took says how fast the engine reads.
    static constexpr double least_backlog_milliseconds = 2;

    [[nodiscard]] std::optional<Rejected> refuse_by_lease(Route const* route, Instant now) const;
    /// Refuses what even the best engine would begin to read too late.
    [[nodiscard]] std::optional<Rejected> refuse_by_wait(Admitted const& request, PlacementChoice const& choice);
    [[nodiscard]] Rejected refuse_unknown(Reason reason, Instant now) const;
    /// The endpoints of a service by what this box may send them.
    struct Choices {
        PlacementCandidates trusted;
        PlacementCandidates distrusted;
        /// This box has sent them its part of what they take.
        std::vector<EndpointId> at_limit;
        /// They want nothing from this box for now.
        std::vector<EndpointId> backed_off;

        [[nodiscard]] PlacementCandidates const& best() const;
    };
    [[nodiscard]] Choices choices(Admitted const& request, std::vector<EndpointId> const& tried, Instant now);
    /// Refuses since no endpoint is left.
    [[nodiscard]] Rejected refuse_unplaced(
        Admitted const& request, Choices const& choices, bool was_tried, Instant now);
    [[nodiscard]] SharedMicroseconds shared_time(Instant now) const;
    void forget_notices_of_moved();
    /// Whether the endpoint may get new work, by the list and by what it says itself.
    [[nodiscard]] bool is_usable(EndpointId id, Instant now) const;
    /// The endpoints of a service that may, in the same order on every box.
    [[nodiscard]] std::vector<EndpointId> usable(std::string_view service, Instant now) const;
    [[nodiscard]] std::string const& draw_service(Route const& route);
    /// The load of an endpoint that is still known; null for one that is gone.
    [[nodiscard]] EndpointLoad* load_of(EndpointId endpoint);
    [[nodiscard]] RetryAllowance& allowance_of(std::string const& service);

    RouterSettings settings;
    mutable std::mutex configuration_lock;
    ConfigurationLease lease;
    mutable std::mutex endpoints_lock;
    EndpointDirectory directory;
    LoadTable loads;
    EndpointNotices notices;
    EndpointBackoffs backoffs;
    Duration shared_clock_ahead { 0 };
    std::unordered_map<std::string, RetryAllowance> allowances;
    std::map<std::string, EngineDemand> demands;
    std::map<std::string, EngineSpeedEstimate> speeds;
    /// The part of the engines that a box compares.
    double compared_share { 1 };
    pcg32 random;
    std::uint64_t next_request { 1 };
};

}
