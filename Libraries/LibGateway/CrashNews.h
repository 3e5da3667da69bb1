#pragma once

#include <LibGateway/Asio.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibMembership/CrashMessages.h>
#include <LibRouting/CrashLedger.h>

#include <functional>
#include <list>
#include <unordered_set>
#include <variant>

namespace Gateway {

/// What this box knows of requests under which endpoints crashed, what it tells the other boxes of it, and what of it
/// lasts in the store.
///
/// A client may come back at any box a moment later, so news goes to all boxes at once, and again twice since datagrams
/// are lost. A request that is refused is told on to a few boxes each second, for those that missed the news, and kept
/// in the store for boxes that start.
class CrashNews {
public:
    enum class Audience {
        AllBoxes,
        /// A few, others each time.
        SomeBoxes,
    };
    using Tell = std::function<void(std::string const& bytes, Audience audience)>;
    /// Keeps the record in the store; drops it without a value.
    using Keep = std::function<void(std::string const& key, std::optional<std::string> value)>;

    CrashNews(asio::io_context& context, GatewayMetrics& metrics)
        : metrics(metrics)
        , pause(context)
    {
    }

    /// Without these a box acts on what it sees itself.
    void set_ways(Tell to_boxes, Keep to_store);
    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    [[nodiscard]] Routing::CrashVerdict verdict(Routing::RequestFingerprint request) const;
    /// This box begins a run of a request under which endpoints crashed. No other box begins one until it has ended.
    void probe_began(Routing::RequestFingerprint request);
    void probe_ended(Routing::RequestFingerprint request);
    /// This box saw it.
    void crashed(Routing::CrashReport const& report);
    void ran_well(Routing::RequestFingerprint request);
    /// The endpoint answered this box.
    void answered(Routing::EndpointLife const& endpoint, Routing::AnswerEvidence const& evidence);
    /// Another box told it.
    void hear(Membership::CrashMessage const& message);
    /// The store holds it, under the key.
    void take_stored(std::string const& key, std::string const& value);
    /// Requests that are refused now.
    [[nodiscard]] std::size_t refused_count() const;

private:
    struct Cleared {
        Routing::RequestFingerprint request;
    };
    struct Answering {
        Routing::EndpointLife endpoint;
    };
    struct Crashed {
        Routing::CrashReport report;
        Core::Instant at;
    };
    /// Told again for as long as the run is under way.
    struct Probing {
        Routing::RequestFingerprint request;
    };
    /// Told once: told again it might be taken for the end of the next one.
    struct ProbeOver {
        Routing::RequestFingerprint request;
    };
    using News = std::variant<Crashed, Cleared, Answering, Probing, ProbeOver>;
    struct Pending {
        News news;
        unsigned times_told { 0 };
        Core::Instant due;
    };

    void announce(News news);
    /// When the news is told again after now; nothing if it was told for the last time.
    [[nodiscard]] static std::optional<Core::Duration> time_until_told_again(Pending& waiting);
    void tell_due(Core::Instant now);
    void tell_refused(Core::Instant now);
    void clear(Routing::RequestFingerprint request, std::string_view from, unsigned crashes);
    void take_back(Routing::EndpointLife const& endpoint, std::string_view from);
    [[nodiscard]] Core::Duration time_to_next(Core::Instant now) const;

    /// News that comes within this time goes into one message: all requests of an endpoint break together.
    static constexpr Core::Duration gathering { std::chrono::milliseconds(5) };
    /// After each telling. With one datagram in ten lost, one box in a thousand misses the news.
    static constexpr std::array<Core::Duration, 2> told_again { std::chrono::milliseconds(250),
        std::chrono::milliseconds(1000) };
    /// Three tellings within a probe's lease.
    static constexpr Core::Duration probe_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration refused_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration idle_interval { std::chrono::minutes(1) };

    GatewayMetrics& metrics;
    InterruptibleTimer pause;
    Tell to_boxes;
    Keep to_store;
    Routing::CrashLedger ledger;
    std::list<Pending> pending;
    /// Requests of which this box has a run under way that decides.
    std::unordered_set<Routing::RequestFingerprint> own_probes;
    Core::Instant refused_told_at;
    /// Which of the refused requests is told next, where they are more than a message holds.
    std::size_t next_refused { 0 };
};

}
