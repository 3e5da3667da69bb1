#pragma once

#include <LibGateway/EndpointCall.h>
#include <LibGateway/EndpointCheck.h>
#include <LibGateway/EventRateMeter.h>
#include <LibGateway/EventSplitter.h>
#include <LibRouting/RequestFingerprint.h>

namespace Gateway {

using Request = http::request<http::string_body>;

/// The client's side of a request, as far as the exchange needs it.
struct ClientSide {
    std::shared_ptr<tcp::socket> socket;
    /// Whether the client wants the connection kept.
    bool keeps_connection { true };
};

/// How one send to an endpoint ended, as far as the next step depends on it.
enum class AttemptEnd {
    /// The whole answer went to the client, or was discarded because it had left.
    Delivered,
    /// The answer broke after a part of it went to the client, and can't go on.
    BrokenAfterDelivery,
    /// The endpoint broke off a stream after whole events of it went to the client.
    Interrupted,
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The endpoint told that it did not run the request.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and the endpoint answered with a failure of its own that was not passed on.
    EndpointError,
};

[[nodiscard]] std::string_view to_string(AttemptEnd end);

/// One send to an endpoint, for the decisions after it and for the log.
struct Attempt {
    Routing::Placed placed;
    Core::Instant started;
    unsigned status { 0 };
    bool reused_connection { false };
    Core::Instant connection_opened;
    /// Whether the endpoint's side ended the connection before the answer was whole.
    bool connection_broke { false };
    /// Crashes of the request that were known when this run began.
    unsigned known_crashes { 0 };
    /// What the endpoint said it takes; nothing where it said none or what can't be read.
    std::optional<double> reported_rate_limit;
    /// The endpoint said that it is about to end.
    bool reported_draining { false };
    /// How long the endpoint wants nothing from this box, if it said so.
    std::optional<Core::Duration> reported_backoff;
    /// What broke, in words; empty if nothing did.
    std::string detail;
};

/// One request, from its admission to the last byte of its answer: sends it to endpoints in turn until one answers,
/// passes the answer on as it comes, and gives up when its time is over or the client has left.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
    RequestExchange(GatewayState& state, Request request, ClientSide client);

    /// Serves the request; true if the client's connection may carry another one.
    [[nodiscard]] Task<bool> run();
    /// The box was suspended: what is left of the request's time is shorter than its timer says. True if it is over.
    [[nodiscard]] bool after_suspension();
    /// The client closed its connection. Work that may not be repeated is left to finish; all else is cancelled.
    void client_left();

private:
    [[nodiscard]] Task<void> serve();
    /// Whether this process may end before the request's time is over, so that another box has to serve it.
    [[nodiscard]] bool may_outlast_process() const;
    /// Tells the client, as far as that can still be done, that no endpoint served the request.
    [[nodiscard]] Task<void> end_unserved(unsigned last_status);
    /// The same where there is no endpoint to try, or none any more.
    [[nodiscard]] Task<void> end_unplaced(Routing::Rejected const& rejected);
    [[nodiscard]] Task<AttemptEnd> try_endpoint(Attempt& attempt);
    void send_request(Attempt const& attempt);
    [[nodiscard]] Task<AttemptEnd> send_and_receive(Attempt& attempt);
    [[nodiscard]] Task<AttemptEnd> forward_answer(Attempt& attempt);
    /// Passes the body on behind the head that `out` holds, or behind what was passed on before.
    [[nodiscard]] Task<AttemptEnd> forward_body(Attempt& attempt, std::string out, bool is_buffered);
    [[nodiscard]] AttemptEnd end_of_broken_answer() const;
    [[nodiscard]] std::string framed(std::string const& piece);
    void record_first_piece(Attempt const& attempt);
    /// An endpoint began the request at that moment. It counts once, also where another one goes on with it.
    void count_started(Core::Instant at);
    /// Tells the router how fast the events of an engine's answer come.
    void measure_event_rate(std::string_view received);
    /// False if the client can't be reached any more and the work is not worth going on with.
    [[nodiscard]] Task<bool> send_to_client(std::string const& bytes);
    [[nodiscard]] Task<void> answer(unsigned status, Core::Reason reason, std::optional<Core::Duration> retry_after);
    [[nodiscard]] Task<void> refuse(Routing::Rejected const& rejected);
    /// `retry_after` is when the client may come back if the request has not run; nothing for the usual time.
    [[nodiscard]] Task<void> give_up(Core::Reason why, std::optional<Core::Duration> retry_after);

    void arm_expiry();
    /// Ends an attempt of which nothing has come after a while, if the request may go to another endpoint instead.
    void arm_silence_limit();
    void cancel_attempt();
    [[nodiscard]] bool is_cancelled() const { return this->has_expired || this->has_client_left; }
    [[nodiscard]] bool may_try_again(AttemptEnd end);
    /// Whether an endpoint's own failure is retried in place of passing it on. Spends from the retry budget.
    [[nodiscard]] bool may_retry_failure();
    [[nodiscard]] Core::Reason reason_for_giving_up() const;
    [[nodiscard]] Core::Reason retry_reason(AttemptEnd end) const;
    [[nodiscard]] Routing::AttemptResult result_of(Attempt const& attempt, AttemptEnd end) const;
    void record_attempt(Attempt const& attempt, AttemptEnd end, Core::Instant now);
    /// Finds out what became of an endpoint that broke its connection, and notes it if it crashed. True if it did.
    [[nodiscard]] Task<bool> check_broken_connection(Attempt attempt);
    /// The same beside the answer to the client.
    void check_broken_connection_in_background(Attempt const& attempt);
    /// Whether the request is left alone after this attempt, since another endpoint crashed under it before.
    [[nodiscard]] Task<bool> has_crashed_again(Attempt const& attempt);
    /// Keeps other runs of a request under which endpoints crashed from beginning until this one has shown something.
    void begin_probe();
    void end_probe();
    /// Tells what the run says of the request and of the endpoint, for later requests.
    void report_run(Attempt const& attempt, AttemptEnd end);
    void log_broken_connection(Attempt const& attempt, EndpointCheckResult check_result) const;
    void log_placement(Attempt const& attempt) const;
    void log_end(unsigned status, Core::Reason reason) const;

    /// Sends that failed before any byte left are tried elsewhere this often at the most, not counting endpoints whose
    /// host refuses the connection.
    static constexpr unsigned max_unsent_attempts = 3;
    /// Answers up to this size are read whole before they are passed on, so that a broken one can be retried.
    static constexpr std::uint64_t max_buffered_answer_bytes = 64 * 1024;
    /// An idempotent call that is silent for this many times its target is tried elsewhere: endpoints that fall silent
    /// answer nothing before the client gives up, and calls that take that long are one in a hundred.
    static constexpr double silence_per_goal = 1.5;
    /// When a client may come back that this box sends to another one: at once, as far as this box is concerned.
    static constexpr Core::Duration retry_after_draining { std::chrono::milliseconds(20) };
    /// When a client may come back to a box that has just started.
    static constexpr Core::Duration retry_after_start { std::chrono::milliseconds(150) };
    /// When a client may come back whose request another run of it decides about: about the time of a run.
    static constexpr Core::Duration retry_after_probe { std::chrono::milliseconds(300) };
    /// When a client may come back after an endpoint refused its request: a few service times.
    static constexpr Core::Duration retry_after_refusal { std::chrono::milliseconds(150) };

    GatewayState& state;
    Request request;
    ClientSide client;
    std::string attempt_id;
    Routing::Workload workload;
    std::optional<Routing::Admitted> admitted;
    Routing::RequestFingerprint fingerprint;
    Core::Instant arrived;
    asio::steady_timer expiry;
    asio::steady_timer silence;
    std::shared_ptr<EndpointCall> call;
    EventSplitter events;
    EventRateMeter event_rate;
    Adapter::BodyFraming framing { Adapter::BodyFraming::Empty };
    std::vector<Core::EndpointId> tried;
    unsigned sent_attempts { 0 };
    unsigned unsent_attempts { 0 };
    AttemptEnd last_end { AttemptEnd::NotSent };
    /// Whether any endpoint may have run the request.
    bool may_have_run { false };
    bool has_expired { false };
    bool has_client_left { false };
    bool was_endpoint_silent { false };
    /// Endpoints crashed under this request, so it goes to no other one.
    bool crashes_endpoints { false };
    /// Whether this run decides about the request, and no other one begins.
    bool is_probe { false };
    /// Whether a broken connection is being examined beside the answer to the client.
    bool checks_connection { false };
    /// Whether the limit on the endpoint's silence still holds.
    bool awaits_head { false };
    bool client_is_broken { false };
    bool answer_begun { false };
    bool is_counted { false };
    /// Whether only whole events are passed on, so that another run can go on behind them.
    bool splits_events { false };
    bool keeps_client { true };
    bool is_finished { false };
};

}
