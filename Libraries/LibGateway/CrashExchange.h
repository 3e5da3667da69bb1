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

/// Shares with the other boxes, and keeps in the store, which requests and prompt parts crashed endpoints.
///
/// A client may retry at any box a moment later, so each update is sent to all boxes at once, and twice more since
/// datagrams get lost. Refused requests are also sent to a few boxes each second, for boxes that missed the updates,
/// and kept in the store for boxes that start.
class CrashExchange {
public:
    enum class Audience {
        AllBoxes,
        /// A few boxes, different ones each time.
        SomeBoxes,
    };
    using SendToBoxes = std::function<void(std::string const& bytes, Audience audience)>;
    /// Writes the record to the store, or deletes it if there is no value.
    using WriteToStore = std::function<void(std::string const& key, std::optional<std::string> value)>;

    /// `seed` differs from box to box.
    CrashExchange(asio::io_context& context, GatewayMetrics& metrics, std::uint64_t seed = 0)
        : metrics(metrics)
        , pause(context)
        , ledger(seed)
    {
    }

    /// Until this is called, a box acts only on crashes that it saw itself.
    void set_transport(SendToBoxes to_boxes, WriteToStore to_store);
    /// Runs until the event loop is stopped.
    [[nodiscard]] Task<void> run();

    [[nodiscard]] Routing::CrashStatus status(Routing::CrashSuspect suspect) const;
    [[nodiscard]] Routing::RequestCrashes request_crashes(Routing::CrashSuspects const& suspects) const;
    /// Call this when this box starts to probe a suspect: runs a request with it to find out whether it crashes
    /// endpoints. Other boxes don't run requests with it until the probe has ended.
    void probe_began(Routing::CrashSuspect suspect);
    void probe_ended(Routing::CrashSuspect suspect);
    /// An endpoint crashed while it ran a request of this box.
    void report_crash(Routing::CrashReport const& report);
    void report_success(Routing::CrashSuspect request);
    /// An endpoint has gone beyond the beginning of its answer to a request with these suspects. Returns the prompt
    /// parts that this clears.
    std::vector<Routing::CrashSuspect> report_harmless_parts(
        Routing::CrashSuspects const& suspects, Core::Instant answer_began);
    /// The endpoint answered this box, so reports of its crash were wrong.
    void endpoint_answered(Routing::EndpointInstance const& endpoint, Routing::AnswerTiming const& evidence);
    /// Applies a message from another box.
    void receive(Membership::CrashMessage const& message);
    /// Applies a crash record that was read from the store under `key`.
    void apply_stored(std::string const& key, std::string const& value);
    /// The number of suspects that are refused now, with prompt parts that were.
    [[nodiscard]] std::size_t refused_count() const;

private:
    struct Cleared {
        Routing::CrashSuspect suspect;
    };
    struct Answering {
        Routing::EndpointInstance endpoint;
    };
    struct Crashed {
        Routing::CrashReport report;
        Core::Instant at;
    };
    /// Sent repeatedly while the probe runs.
    struct Probing {
        Routing::CrashSuspect suspect;
    };
    /// Sent only once: a repeated message could end the next probe of the same suspect.
    struct ProbeEnded {
        Routing::CrashSuspect suspect;
    };
    using Update = std::variant<Crashed, Cleared, Answering, Probing, ProbeEnded>;
    struct Pending {
        Update update;
        unsigned times_sent { 0 };
        Core::Instant due;
    };

    void enqueue(Update update);
    /// The delay until the entry is sent again; empty after the last time.
    [[nodiscard]] static std::optional<Core::Duration> next_resend_delay(Pending& entry);
    void report_cleared(Routing::CrashSuspect suspect);
    /// Writes the record of a suspect whose crashes have reached their limit to the store.
    void store_record(Routing::CrashSuspect suspect, Core::Instant now);
    void send_due(Core::Instant now);
    void send_refused(Core::Instant now);
    void note_cleared(Routing::CrashSuspect suspect, std::string_view from, unsigned crashes);
    void note_retracted(Routing::EndpointInstance const& endpoint, std::string_view from);
    [[nodiscard]] Core::Duration time_until_next_send(Core::Instant now) const;

    /// Updates within this time are sent in one message, since all requests of a crashed endpoint fail together.
    static constexpr Core::Duration batching_delay { std::chrono::milliseconds(5) };
    /// Delays before the second and the third sending. With one datagram in ten lost, one box in a thousand misses an
    /// update.
    static constexpr std::array<Core::Duration, 2> resend_delays { std::chrono::milliseconds(250),
        std::chrono::milliseconds(1000) };
    /// Sends a probe three times within its lease.
    static constexpr Core::Duration probe_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration refused_interval { std::chrono::seconds(1) };
    static constexpr Core::Duration idle_interval { std::chrono::minutes(1) };

    GatewayMetrics& metrics;
    InterruptibleTimer pause;
    SendToBoxes to_boxes;
    WriteToStore to_store;
    Routing::CrashLedger ledger;
    std::list<Pending> pending;
    /// Suspects that this box is probing.
    std::unordered_set<Routing::CrashSuspect> own_probes;
    Core::Instant refused_sent_at;
    /// Index of the refused request to send next, since a message may not hold all.
    std::size_t next_refused { 0 };
};

}
