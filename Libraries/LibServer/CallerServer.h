#pragma once

#include <LibCore/LastReason.h>
#include <LibServer/BoxState.h>
#include <LibServer/HttpListener.h>
#include <LibServer/RequestReader.h>

#include <pcg_random.hpp>

namespace Server {

/// The HTTP server for callers: accepts requests, waits for their outcome and forwards answers as they arrive.
class CallerServer {
public:
    [[nodiscard]] static std::unique_ptr<CallerServer> try_create(
        BoxState& state, std::uint64_t seed, Core::LastReason& last_reason);

    [[nodiscard]] int port() const { return this->listener->port(); }
    void stop() { this->listener->stop(); }

private:
    CallerServer(BoxState& state, std::uint64_t seed)
        : state(state)
        , random(seed)
    {
    }

    void handle(httplib::Request const& request, httplib::Response& response);
    void answer(
        std::shared_ptr<RequestFlow> const& flow, std::shared_ptr<PoolShard> const& shard, httplib::Response& response);
    void answer_input_error(Core::RequestId id, InputError const& error, httplib::Response& response);
    void answer_end(RequestFlow const& flow, End const& end, httplib::Response& response);
    void finished(RequestFlow const& flow, End const& end);
    [[nodiscard]] Core::RequestId next_id();

    BoxState& state;
    std::mutex random_mutex;
    pcg64 random;
    std::unique_ptr<HttpListener> listener;
};

}
