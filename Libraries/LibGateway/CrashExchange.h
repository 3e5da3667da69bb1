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
class CrashExchange {
public:
    enum class Audience {
        AllBoxes,
        /// A few, others each time.
        SomeBoxes,
    };
    using SendToBoxes = std::function<void(std::string const& bytes, Audience audience)>;
    /// Keeps the record in the store; drops it without a value.
    using WriteToStore = std::function<void(std::string const& key, std::optional<std::string> value)>;

    CrashExchange(asio::io_context& context, GatewayMetrics& metrics)
        : metrics(metrics)
        , pause(context)
    {
    }

    /// Without these a box acts on what it sees itself.
    void set_transport(SendToBoxes to_boxes, WriteToStore to_store);
    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    [[nodiscard]] Routing::CrashVerdict status(Routing::RequestFingerprint request) const;
    /// This box begins a run of a request under which endpoints crashed. No other box begins one until it has ended.
    void probe_began(Routing::RequestFingerprint request);
    void probe_ended(Routing::RequestFingerprint request);
    /// This box saw it.
    void report_crash(Routing::CrashReport const& report);
    void report_success(Routing::RequestFingerprint request);
    /// The endpoint answered this box.
    void endpoint_answered(Routing::EndpointLife const& endpoint, Routing::AnswerEvidence const& evidence);
    /// Another box told it.
    void receive(Membership::CrashMessage const& message);
    /// The store holds it, under the key.
    void apply_stored(std::string const& key, std::string const& value);
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
    struct ProbeEnded {
        Routing::RequestFingerprint request;
    };
    using Update = std::variant<Crashed, Cleared, Answering, Probing, ProbeEnded>;
    struct Pending {
        Update update;
        unsigned times_sent { 0 };
        Core::Instant due;
    };

    void enqueue(Update update);
    /// When the news is told again after now; nothing if it was told for the last time.
    [[nodiscard]] static std::optional<Core::Duration> next_resend_delay(Pending& entry);
    void send_due(Core::Instant now);
    void send_refused(Core::Instant now);
    void note_cleared(Routing::RequestFingerprint request, std::string_view from, unsigned crashes);
    void note_retracted(Routing::EndpointLife const& endpoint, std::string_view from);
    [[nodiscard]] Core::Duration time_until_next_send(Core::Instant now) const;

    /// News that comes within this time goes into one message: all requests of an endpoint break together.
    static constexpr Core::Duration batching_delay { std::chrono::milliseconds(5) };
    /// After each telling. With one datagram in ten lost, one box in a thousand misses the news.
    static constexpr std::array<Core::Duration, 2> resend_delays { std::chrono::milliseconds(250),
        std::chrono::milliseconds(1000) };
    /// Three tellings within a probe's lease.
    static constexpr Core::Duration probe_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration refused_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration idle_interval { std::chrono::minutes(1) };

    GatewayMetrics& metrics;
    Pause pause;
    SendToBoxes to_boxes;
    WriteToStore to_store;
    Routing::CrashLedger ledger;
    std::list<Pending> pending;
    /// Requests of which this box has a run under way that decides.
    std::unordered_set<Routing::RequestFingerprint> own_probes;
    Core::Instant refused_sent_at;
    /// Which of the refused requests is told next, where they are more than a message holds.
    std::size_t next_refused { 0 };
};

}
