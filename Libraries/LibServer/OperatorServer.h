#pragma once

#include <LibCore/LastReason.h>
#include <LibServer/BoxState.h>
#include <LibServer/HttpListener.h>

namespace Server {

/// The HTTP server for operators: metrics, health, status and explanations. Has its own address and key.
/// `/live` and `/ready` need no key, since the load balancer polls them.
class OperatorServer {
public:
    [[nodiscard]] static std::unique_ptr<OperatorServer> try_create(BoxState& state, Core::LastReason& last_reason);

    [[nodiscard]] int port() const { return this->listener->port(); }
    void stop() { this->listener->stop(); }

private:
    explicit OperatorServer(BoxState& state)
        : state(state)
    {
    }

    [[nodiscard]] bool is_allowed(httplib::Request const& request, httplib::Response& response) const;
    void add_handlers(httplib::Server& server);
    [[nodiscard]] std::string status_text() const;
    void explain(httplib::Request const& request, httplib::Response& response) const;

    BoxState& state;
    std::unique_ptr<HttpListener> listener;
};

}
