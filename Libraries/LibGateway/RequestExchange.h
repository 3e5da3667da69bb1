#pragma once

#include <LibGateway/AnswerBuffer.h>
#include <LibGateway/EndpointCall.h>
#include <LibGateway/EndpointCheck.h>
#include <LibGateway/EventRateMeter.h>
#include <LibGateway/EventSplitter.h>
#include <LibHttp/RequestReceiver.h>
#include <LibLog/EventLog.h>
#include <LibMembership/ForwardedRequest.h>
#include <LibRouting/CrashLedger.h>

namespace Gateway {

using Http::Request;

/// The client's connection, as far as an exchange needs it.
struct ClientSide {
    std::shared_ptr<tcp::socket> socket;
    /// Whether the client wants to keep the connection open.
    bool keeps_connection { true };
    /// Whether the client is another box, which forwards requests of its clients.
    bool is_box { false };
    /// Counts the connection until its first request was sent to an endpoint or another box; null for later requests.
    std::shared_ptr<StartingClient> starting {};
    /// The connection's part of the budget; null where there is none.
    std::shared_ptr<Http::BudgetedConnection> budgeted {};
};

/// How an attempt at an endpoint ended. Decides whether the request may be retried.
enum class AttemptEnd {
    /// The whole answer was read, and sent to the client, held for it, or discarded because the client had left.
    Delivered,
    /// The answer broke after a part of it was sent to the client, and can't be continued.
    BrokenAfterDelivery,
    /// A stream broke after a part of it was sent to the client, and another endpoint can continue it.
    Interrupted,
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// No answer arrived, so the request may or may not have run.
    Unknown,
    /// The endpoint answered with a server error (5xx), which was withheld from the client for a retry.
    EndpointError,
};

[[nodiscard]] std::string_view to_string(AttemptEnd end);

/// One attempt at an endpoint, for retry decisions and for the log.
struct Attempt {
    Routing::Placed placed;
    Core::Instant started;
    unsigned status { 0 };
    bool reused_connection { false };
    Core::Instant connection_opened;
    /// Whether the connection broke on the endpoint's side before the answer was complete.
    bool connection_broke { false };
    /// What marks the end of the answer's body; unset without an answer.
    std::optional<BodyEnd> body_end;
    /// Which limit the endpoint's bytes exceeded.
    AnswerExcess excess { AnswerExcess::None };
    /// Endpoint crashes attributed to the request's suspects when this attempt began, as in Routing::RequestCrashes.
    std::vector<unsigned> known_crashes;
    /// When the first piece of the answer's body arrived; unset until then.
    std::optional<Core::Instant> answer_began;
    /// Whether the answer has gone beyond its beginning.
    bool is_beyond_beginning { false };
    /// The endpoint's rate limit, in requests per second. Nothing if it reported none or an unreadable one.
    std::optional<double> reported_rate_limit;
    /// How many requests the endpoint can reject within a second without failing, if it reported that.
    std::optional<double> reported_max_rejections;
    /// Whether the endpoint reported that it is draining.
    bool reported_draining { false };
    /// How long the endpoint asked this box to send no requests.
    std::optional<Core::Duration> reported_backoff;
    /// The endpoint's load report, if it sent one, and the beginning of one that can't be read.
    std::optional<Routing::ReportedLoad> reported_load;
    std::string unreadable_load;
    /// Why another box that the request was forwarded to did not serve it, and when a client should retry.
    Core::Reason refusal { Core::Reason::None };
    std::optional<Core::Duration> refused_for;
    /// Description of the failure for the log. Empty if there was none.
    std::string detail;
};

/// One request, from its admission to the last byte of its answer: sends it to one endpoint after another until one
/// answers, forwards the answer as it arrives, and gives up when the deadline passes or the client leaves.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
    RequestExchange(GatewayState& state, Request request, ClientSide client);

    /// Serves the request. Returns true if the client's connection may carry another one.
    [[nodiscard]] Task<bool> run();
    /// The box was suspended: what is left of the request's time is shorter than its timer says. True if it is over.
    [[nodiscard]] bool after_suspension();
    /// The client closed its connection. Work that may not be repeated is left to finish; all else is cancelled.
    void client_left();

private:
    [[nodiscard]] Task<void> serve();
    /// Whether this process may exit before the request's deadline, so that another box must serve it.
    [[nodiscard]] bool may_outlast_process() const;
    /// Ends a request that no endpoint served: answers with an error, or cuts off an answer that has begun.
    [[nodiscard]] Task<void> end_unserved(unsigned last_status);
    /// Ends a request for which the router found no endpoint, at the first attempt or a later one.
    [[nodiscard]] Task<void> end_unplaced(Routing::Rejected const& rejected);
    /// Finds out which endpoints may continue a stream that the client takes up. Returns why this box can't tell.
    [[nodiscard]] Task<std::optional<Routing::Rejected>> resolve_stream_origin();
    /// Restricts later attempts to the endpoints that may continue the stream, once it has begun, and makes its origin
    /// known to other boxes. Must be called before the first event is sent to the client.
    void note_stream_began(Attempt const& attempt);
    /// For how long the stream may run, over all attempts of its client.
    [[nodiscard]] Core::Duration max_stream_duration() const;
    [[nodiscard]] Task<AttemptEnd> try_endpoint(Attempt& attempt);
    [[nodiscard]] bool goes_through_other_box() const;
    /// Forwards the request to other boxes until one serves or refuses it. Returns false if none could decide.
    [[nodiscard]] Task<bool> serve_through_other_box();
    [[nodiscard]] Task<AttemptEnd> try_box(Membership::BoxRecord const& box, Attempt& attempt);
    void send_to_box();
    [[nodiscard]] Task<AttemptEnd> receive_from_box(Attempt& attempt);
    /// Reads what another box sent with the request, if one forwarded it. Returns why this box can't serve it.
    [[nodiscard]] std::optional<Routing::Rejected> accept_forwarded(Routing::RequestHead& head);
    /// What the box that forwarded the request has to know of the answer; empty for a request of a client.
    [[nodiscard]] std::string box_details(std::optional<Core::Reason> refusal,
        std::optional<Core::Duration> retry_after, std::string const& version = {}) const;
    void log_forwarding(Membership::BoxRecord const& box, Attempt const& attempt) const;
    /// How many endpoints may get the request from this box.
    [[nodiscard]] unsigned max_attempts() const;
    [[nodiscard]] bool has_body() const;
    void send_request(Attempt const& attempt);
    [[nodiscard]] Task<AttemptEnd> send_and_receive(Attempt& attempt);
    [[nodiscard]] Task<AttemptEnd> forward_answer(Attempt& attempt);
    /// Forwards the body after the encoded head in `out`, which is empty when a stream is continued. A buffered body is
    /// read whole before any of it is forwarded.
    [[nodiscard]] Task<AttemptEnd> forward_body(Attempt& attempt, std::string out, bool is_buffered);
    /// Returns what can be forwarded of a received piece of the body, and what was held back before.
    [[nodiscard]] std::string forwardable(std::string const& received);
    /// Whether a stream whose end only its connection marks has ended inside an event, or before the first one of its
    /// endpoint.
    [[nodiscard]] bool is_stream_broken_off() const;
    [[nodiscard]] AttemptEnd end_of_broken_answer() const;
    [[nodiscard]] std::string framed(std::string const& piece);
    /// Whether closing the client's connection resets it, which shows the client that its answer is incomplete.
    void reset_client_on_close(bool is_reset);
    void record_first_piece(Attempt const& attempt);
    /// Counts the request for usage reports as started at that moment. Later calls for the same request do nothing.
    void count_started(Core::Instant at);
    /// Reports the rate of events in an engine's answer to the router.
    void measure_event_rate(Attempt const& attempt, std::string_view received);
    /// Sends an answer of this box, and waits until the client has taken it.
    [[nodiscard]] Task<void> send_to_client(std::string const& bytes);
    /// Sends a part of the answer. Holds what the client does not take at once, and starts write_held().
    void pass_to_client(std::string bytes);
    /// Writes held blocks until none is left or the client has left. Runs beside the reader of the answer.
    [[nodiscard]] Task<void> write_held();
    /// Tells the budget whether the client is slower than its answer.
    void set_delivering(bool is_delivering);
    /// Waits until a further piece may be read from the endpoint while others are held for the client.
    [[nodiscard]] Task<void> wait_for_room();
    void note_limit(AnswerBuffer::Room room);
    /// Waits until the client has taken what is held, at the latest until then; what is left is dropped, and the
    /// connection closes. Returns whether nothing that was held for the client was dropped.
    [[nodiscard]] Task<bool> deliver_held(Core::Instant until);
    /// Ends a request whose answer was read whole.
    [[nodiscard]] Task<void> end_delivered(unsigned status);
    [[nodiscard]] Task<void> answer(unsigned status, Core::Reason reason, std::optional<Core::Duration> retry_after);
    [[nodiscard]] Task<void> refuse(Routing::Rejected const& rejected);
    /// `retry_after` is sent only if the request has not run. Nothing means `retry_after_refusal`.
    [[nodiscard]] Task<void> give_up(Core::Reason why, std::optional<Core::Duration> retry_after);

    void arm_expiry();
    /// Aborts an attempt without an answer after a while, if the request may be sent to another endpoint.
    void arm_silence_limit();
    void cancel_attempt();
    [[nodiscard]] bool is_cancelled() const { return this->has_expired || this->has_client_left; }
    [[nodiscard]] bool may_try_again(AttemptEnd end);
    /// Whether a server error of an endpoint is retried rather than forwarded. Spends from the retry budget.
    [[nodiscard]] bool may_retry_failure();
    [[nodiscard]] Core::Reason reason_for_giving_up() const;
    [[nodiscard]] Core::Reason retry_reason(AttemptEnd end) const;
    [[nodiscard]] Routing::AttemptResult result_of(Attempt const& attempt, AttemptEnd end) const;
    /// What made this box cancel an attempt, for the log: "client" (it left), "time" (it ran out) or "silence" (of the
    /// endpoint). Empty if the attempt ended by itself.
    [[nodiscard]] std::string_view cancellation_cause(AttemptEnd end) const;
    void record_attempt(Attempt const& attempt, AttemptEnd end, Core::Instant now);
    /// Whether the attempt's endpoint may get new requests, and so has no reason to exit as planned.
    [[nodiscard]] bool is_in_use(Attempt const& attempt) const;
    /// Connects again to an endpoint that broke its connection. Records a crash if an endpoint that was in use refuses.
    /// `watch_duration` as for check_endpoint().
    [[nodiscard]] Task<EndpointCheckResult> check_broken_connection(
        Attempt attempt, bool was_in_use, Core::Duration watch_duration);
    /// Repeats check_broken_connection until its result is known: a process that is still ending may accept connections
    /// for a while, or neither refuse nor accept them.
    [[nodiscard]] Task<void> check_until_known(Attempt attempt, bool was_in_use);
    /// Runs both checks without delaying the answer to the client.
    void check_broken_connection_in_background(Attempt const& attempt);
    /// Whether the request crashed an endpoint in this attempt and another one before, so that it is not retried.
    [[nodiscard]] Task<bool> has_crashed_again(Attempt const& attempt);
    /// Makes this run the probe of suspects that crashed endpoints: no other run with them starts meanwhile.
    void begin_probe(std::vector<Routing::CrashSuspect> const& suspects);
    void end_probe();
    /// Reports to the crash records whether the endpoint answered and the request succeeded.
    void report_run(Attempt const& attempt, AttemptEnd end);
    /// Follows an answer until it has gone beyond its beginning, and reports its prompt parts as harmless then.
    void follow_answer(Attempt& attempt);
    void report_harmless_parts(Core::Instant answer_began);
    /// Counts an answer that exceeded a limit, and adds the limit to the attempt's log line.
    void add_excess(Attempt const& attempt, Log::EventLine& line) const;
    void log_broken_connection(Attempt const& attempt, EndpointCheckResult check_result) const;
    void log_refused_suspect(Routing::RequestCrashes const& crashes) const;
    void log_placement(Attempt const& attempt) const;
    void log_end(unsigned status, Core::Reason reason) const;
    /// Finds out for the log which route and account a request asked for that the router did not admit.
    void note_unadmitted(Routing::RequestHead const& head);

    /// Limit for attempts that failed before any byte was sent, not counting hosts that refuse the connection.
    static constexpr unsigned max_unsent_attempts = 3;
    /// How many other boxes are asked to serve a request. One that is cut off as well refuses within a round trip.
    /// Where two thirds of all boxes are, one request in eleven meets only such boxes.
    static constexpr std::size_t max_asked_boxes = 6;
    /// Pause before a broken connection is checked again; doubles each time. A process closes its sockets within some
    /// milliseconds of its end, more on a busy host.
    static constexpr Core::Duration first_repeated_check_pause { std::chrono::milliseconds(10) };
    /// An unreachable host is not waited for longer than these take: with the connect timeout, about a second and a
    /// half.
    static constexpr int max_repeated_checks = 5;
    /// How long an endpoint that accepts connections is watched when nobody waits for the result.
    static constexpr Core::Duration ending_watch { std::chrono::milliseconds(150) };
    /// Answers up to this size are read whole before they are forwarded, so that a broken one can be retried.
    static constexpr std::uint64_t max_buffered_answer_bytes = 64 * 1024;
    /// If a client leaves no room for a further piece for this long, the interval of its events can't be measured any
    /// more. A box that is short of processor time is delayed by some 100 ms.
    static constexpr Core::Duration long_wait_for_room { std::chrono::milliseconds(200) };
    /// An idempotent request is retried elsewhere when no answer has begun after this multiple of the route's goal.
    /// Hung endpoints don't answer before the client gives up, and only one request in a hundred takes that long
    /// normally.
    static constexpr double silence_per_goal = 1.5;
    /// An answer that was read whole may be delivered for this long after the request's time has run out: 1 MB takes
    /// 0.8 s at 10 Mbit/s. A client that does not read would hold its memory forever without a limit.
    static constexpr Core::Duration late_delivery_limit { std::chrono::seconds(5) };
    /// What reading a piece adds to the held bytes at the most: the piece and the framing of a chunk.
    static constexpr std::size_t max_framed_piece_bytes = EndpointCall::piece_bytes + 32;
    /// Retry-After for a draining box: almost at once, since another box can serve the request.
    static constexpr Core::Duration retry_after_draining { std::chrono::milliseconds(20) };
    /// Retry-After while a box that has just started waits for other boxes.
    static constexpr Core::Duration retry_after_start { std::chrono::milliseconds(150) };
    /// Retry-After for a stream whose origin is unknown here: longer than messages between boxes take.
    static constexpr Core::Duration retry_after_unknown_stream { std::chrono::milliseconds(100) };
    /// For how long streams can be taken up again at the most, whatever clients and routes allow.
    static constexpr Core::Duration max_stream_age { std::chrono::minutes(10) };
    /// How long after its first piece an answer has gone beyond its beginning. An endpoint that a request crashes ends
    /// within some tens of milliseconds.
    static constexpr Core::Duration answer_beginning { std::chrono::milliseconds(500) };
    /// Retry-After while a probe of the same request runs: about the duration of a run.
    static constexpr Core::Duration retry_after_probe { std::chrono::milliseconds(300) };
    /// Retry-After when endpoints refused the request: a few service times.
    static constexpr Core::Duration retry_after_refusal { std::chrono::milliseconds(150) };

    GatewayState& state;
    Request request;
    ClientSide client;
    std::string attempt_id;
    Routing::Workload workload;
    /// As in Routing::RequestHead.
    bool takes_up_stream { false };
    std::string taken_up_attempt;
    /// How long the client waits in all.
    std::optional<Core::Duration> patience;
    std::optional<Routing::Admitted> admitted;
    /// Of a request that was not admitted, for the log: the route's name, and the account's if the key is known.
    std::optional<std::string> unadmitted_route;
    std::optional<std::string> unadmitted_account;
    /// The account's position, if the request was refused for it.
    std::optional<Routing::AccountStanding> standing;
    Routing::CrashSuspects suspects;
    Core::Instant arrived;
    /// Time from the arrival until the first piece of an answer was there for the client; unset until then.
    std::optional<Core::Duration> first_piece_after;
    asio::steady_timer expiry;
    asio::steady_timer silence;
    std::shared_ptr<EndpointCall> call;
    EventSplitter events;
    EventRateMeter event_rate;
    /// Interrupted when the reader of the answer may have room, and when what it waits for is over.
    InterruptibleTimer held_progress;
    /// What the client has not taken yet, over all attempts. Calls held_progress.
    AnswerBuffer held;
    Adapter::BodyFraming framing { Adapter::BodyFraming::Empty };
    std::vector<Core::EndpointId> tried;
    /// Boxes that the request was forwarded to.
    std::vector<std::string> asked_boxes;
    /// What another box told of the request when it forwarded it here.
    std::optional<Membership::ForwardedRequest> forwarded;
    /// The stream began at an endpoint whose version is not known, so no other endpoint may continue it.
    bool is_stream_version_unknown { false };
    unsigned sent_attempts { 0 };
    unsigned unsent_attempts { 0 };
    AttemptEnd last_end { AttemptEnd::NotSent };
    /// Whether any endpoint may have run the request.
    bool may_have_run { false };
    bool has_expired { false };
    bool has_client_left { false };
    bool was_endpoint_silent { false };
    /// Whether the request crashed several endpoints, so that it is not sent to another one.
    bool crashes_endpoints { false };
    /// The suspects that this run is the probe of.
    std::vector<Routing::CrashSuspect> probed;
    /// Whether check_broken_connection_in_background was started, which then ends the probe.
    bool checks_connection { false };
    /// Whether the silence timer may still abort the attempt.
    bool awaits_head { false };
    bool client_is_broken { false };
    /// Whether write_held() runs.
    bool is_writing { false };
    /// Whether a part of what was held for the client was dropped.
    bool has_dropped_held { false };
    bool has_reached_limit { false };
    bool answer_begun { false };
    bool is_counted { false };
    /// Whether the answer is a stream of events.
    bool is_event_stream { false };
    /// Whether only whole events are forwarded, so that another endpoint can continue the stream after them.
    bool splits_events { false };
    bool keeps_client { true };
    bool is_finished { false };
};

}
