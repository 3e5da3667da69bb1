#pragma once

#include <LibServer/RequestFlow.h>
#include <LibSettings/Settings.h>

#include <functional>
#include <map>
#include <vector>

namespace Server {

/// The result of one attempt at an endpoint.
struct AttemptReport {
    Traffic::AttemptResult result { Traffic::AttemptResult::Completed };
    int status { 0 };
    std::string content_type;
    /// The answer; empty if it was forwarded while it arrived.
    std::string body;
    /// Whether the answer was forwarded to the caller in pieces.
    bool was_passed_on { false };
    /// Why it failed, for logs.
    std::string error;
};

/// Sends attempts to endpoints over HTTP. Keeps connections for repeatable requests; a not-repeatable one gets a new
/// connection, so that "refused" proves that no byte reached the endpoint. Safe to use from several threads.
class UpstreamCaller {
public:
    /// Called with the first piece of the answer.
    using OnFirstPiece = std::function<void()>;

    UpstreamCaller();
    ~UpstreamCaller();
    UpstreamCaller(UpstreamCaller const&) = delete;
    UpstreamCaller& operator=(UpstreamCaller const&) = delete;

    /// Blocks until the attempt is over. Pieces of a streamed answer go to the flow as they come.
    [[nodiscard]] AttemptReport call(RequestFlow& flow, Settings::EndpointSettings const& endpoint, Core::TierId tier,
        OnFirstPiece const& on_first_piece);

private:
    using ClientPointer = std::unique_ptr<Http::BlockingClient>;

    [[nodiscard]] ClientPointer take_client(Settings::EndpointSettings const& endpoint, bool may_reuse);
    void give_back(Settings::EndpointSettings const& endpoint, ClientPointer client);

    std::mutex mutex;
    std::map<std::pair<std::string, int>, std::vector<ClientPointer>> idle_clients;
};

}
