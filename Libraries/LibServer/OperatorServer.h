#pragma once

#include <LibCore/LastReason.h>
#include <LibServer/BoxState.h>
#include <LibServer/HttpListener.h>

namespace Server {

/// The HTTP server for operators: metrics, health, status and explanations. Has its own address, threads and key.
/// `/live` and `/ready` need no key, since the load balancer polls them.
class OperatorServer {
public:
    [[nodiscard]] static std::unique_ptr<OperatorServer> try_create(
        EventLoop& loop, BoxState& state, Core::LastReason& last_reason);

    [[nodiscard]] int port() const { return this->listener->port(); }
    void stop() { this->listener->stop(); }

private:
    explicit OperatorServer(BoxState& state)
        : state(state)
    {
    }

    [[nodiscard]] WholeAnswer handle(RawRequest const& request) const;
    /// The answer to a question that needs the operators' key.
    [[nodiscard]] WholeAnswer answer_operator(std::string_view path) const;
    [[nodiscard]] bool is_allowed(RawRequest const& request) const;
    [[nodiscard]] std::string status_text() const;
    [[nodiscard]] WholeAnswer explain(std::string_view number) const;

    BoxState& state;
    std::unique_ptr<HttpListener> listener;
};

}
