#pragma once

#include <LibHttp/BlockingClient.h>
#include <LibServer/AnswerMemory.h>
#include <LibTraffic/TrafficTypes.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <oneapi/tbb/concurrent_queue.h>
#include <optional>
#include <string>
#include <variant>

namespace Server {

/// The answer has begun.
struct Head {
    int status { 200 };
    std::string content_type;
};
/// A piece of the answer.
struct Chunk {
    std::string bytes;
};
/// The request has ended. The last event of a flow.
struct End {
    Core::Outcome outcome { Core::Outcome::Completed };
    Core::Reason reason { Core::Reason::None };
    Core::Duration retry_after { 0 };
};
using FlowEvent = std::variant<Head, Chunk, End>;

/// A request as it is sent to an endpoint.
struct UpstreamRequest {
    std::string path;
    std::string content_type;
    std::string body;
    /// Empty for none.
    std::string idempotency_key;

    bool operator==(UpstreamRequest const&) const = default;
};

/// The events of one request, passed from the thread that calls the endpoint to the caller's thread.
class RequestFlow {
public:
    RequestFlow(Traffic::RequestFacts facts, std::string class_name, std::string account_name,
        Settings::ClassSettings const& class_settings, UpstreamRequest upstream, AnswerMemory* answers = nullptr)
        : facts(facts)
        , class_name(std::move(class_name))
        , account_name(std::move(account_name))
        , class_settings(class_settings)
        , upstream(std::move(upstream))
        , answers(answers)
    {
    }
    ~RequestFlow() { this->release(this->held); }
    RequestFlow(RequestFlow const&) = delete;
    RequestFlow& operator=(RequestFlow const&) = delete;

    Traffic::RequestFacts const facts;
    std::string const class_name;
    std::string const account_name;
    Settings::ClassSettings const class_settings;
    UpstreamRequest const upstream;

    void push(FlowEvent event);
    /// Passes a piece of a stream on. Waits while the caller has too much left to take. Returns false if the attempt
    /// must stop.
    [[nodiscard]] bool push_piece(std::string bytes);
    /// The next event; nothing if there is none yet.
    [[nodiscard]] std::optional<FlowEvent> try_pop();
    /// Sets what is called, on the thread of the endpoint's call, when there is a further event.
    void set_on_event(std::function<void()> event_pushed);
    /// Whether a further part of an answer that is collected whole fits into the memory for answers.
    [[nodiscard]] bool may_collect() const { return this->answers == nullptr || !this->answers->is_full(); }
    [[nodiscard]] AnswerMemory* answer_memory() const { return this->answers; }

    /// The caller has disconnected. Cancels the running attempt if the class is repeatable.
    void caller_has_gone();
    /// Cancels the running attempt. The request will be placed again.
    void preempt();
    [[nodiscard]] bool is_caller_gone() const { return this->caller_gone; }
    [[nodiscard]] bool is_preempted() const { return this->preempted; }
    [[nodiscard]] bool must_stop() const
    {
        return this->preempted || (this->caller_gone && this->class_settings.repeatable);
    }

    /// Makes `client` the one that a stop closes; returns false when the attempt must stop already.
    [[nodiscard]] bool begin_attempt(Http::BlockingClient& client);
    void end_attempt();

    /// Set once any attempt may have run at an endpoint without its whole answer having come back.
    void set_may_have_run() { this->may_have_run = true; }
    [[nodiscard]] bool has_perhaps_run() const { return this->may_have_run; }

    /// The outcome by the key's fate, if it is more exact than that of the attempt.
    void set_fate_end(End end);
    [[nodiscard]] std::optional<End> fate_end();

private:
    void stop_client();
    [[nodiscard]] bool has_room_for(std::size_t bytes) const;
    void hold(std::size_t bytes);
    void release(std::size_t bytes);

    /// What one answer may hold for its caller: some thousand events. From then on its thread waits for the caller.
    static constexpr std::size_t max_held_bytes = 256 * 1024;

    oneapi::tbb::concurrent_bounded_queue<FlowEvent> events;
    std::atomic<bool> caller_gone { false };
    std::atomic<bool> preempted { false };
    std::atomic<bool> may_have_run { false };
    AnswerMemory* answers;
    std::atomic<std::size_t> held { 0 };
    std::mutex mutex;
    /// Notified when the caller has taken a part of the answer, and when it has gone.
    std::condition_variable room;
    std::function<void()> on_event;
    Http::BlockingClient* active_client { nullptr };
    std::optional<End> end_by_fate;
};

}
