#pragma once

#include <LibCore/LastReason.h>
#include <LibServer/BoxState.h>
#include <LibServer/CallerAnswer.h>
#include <LibServer/HttpListener.h>
#include <LibServer/RequestReader.h>

#include <pcg_random.hpp>

namespace Server {

/// The HTTP server for callers: accepts requests, waits for their outcome and forwards answers as they arrive.
class CallerServer {
public:
    [[nodiscard]] static std::unique_ptr<CallerServer> try_create(
        EventLoop& loop, BoxState& state, std::uint64_t seed, Core::LastReason& last_reason);

    [[nodiscard]] int port() const { return this->listener->port(); }
    void stop() { this->listener->stop(); }

private:
    CallerServer(EventLoop& loop, BoxState& state, std::uint64_t seed)
        : answers(loop.answers())
        , state(state)
        , random(seed)
    {
    }

    [[nodiscard]] HttpAnswer handle(RawRequest request);
    /// The answer to a request that was submitted.
    [[nodiscard]] PendingAnswer answer_of(
        std::shared_ptr<RequestFlow> const& flow, std::shared_ptr<PoolShard> const& shard);
    [[nodiscard]] WholeAnswer answer_unread(Http::ReadEnd end);
    [[nodiscard]] WholeAnswer answer_input_error(Core::RequestId id, InputError const& error);
    /// The fields that each answer has.
    [[nodiscard]] HeaderList headers_for(Core::RequestId id) const;
    void finished(RequestFlow const& flow, End const& end);
    [[nodiscard]] Core::RequestId next_id();

    AnswerMemory& answers;
    BoxState& state;
    std::mutex random_mutex;
    pcg64 random;
    std::unique_ptr<HttpListener> listener;
};

}
