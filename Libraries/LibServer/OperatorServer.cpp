#include <LibServer/OperatorServer.h>

#include <LibPlatform/Digest.h>
#include <LibServer/Credentials.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Server {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr char const* plain_text = "text/plain";

}

std::unique_ptr<OperatorServer> OperatorServer::try_create(BoxState& state, Core::LastReason& last_reason)
{
    std::unique_ptr<OperatorServer> operators(new OperatorServer(state));
    auto* self = operators.get();
    ListenerLimits limits;
    limits.threads = 8;
    operators->listener = HttpListener::try_create(
        state.settings().operator_listen, limits, [self](httplib::Server& server) { self->add_handlers(server); },
        last_reason);
    return operators->listener ? std::move(operators) : nullptr;
}

void OperatorServer::add_handlers(httplib::Server& server)
{
    server.Get("/live", [](auto const&, auto& response) { response.set_content("live\n", plain_text); });
    server.Get("/ready", [this](auto const&, auto& response) {
        auto const is_ready = this->state.is_ready();
        if (!is_ready)
            response.status = status_unavailable;
        response.set_content(is_ready ? "ready\n" : "not ready\n", plain_text);
    });
    server.Get("/metrics", [this](auto const& request, auto& response) {
        if (!this->is_allowed(request, response))
            return;
        for (auto const& shard : this->state.shards())
            shard->publish_status();
        response.set_content(this->state.services().metrics.to_text(), "text/plain; version=0.0.4");
    });
    server.Get("/status", [this](auto const& request, auto& response) {
        if (this->is_allowed(request, response))
            response.set_content(this->status_text(), "application/json");
    });
    server.Get("/explain/([0-9a-fA-F]{1,16})", [this](auto const& request, auto& response) {
        if (this->is_allowed(request, response))
            this->explain(request, response);
    });
}

bool OperatorServer::is_allowed(httplib::Request const& request, httplib::Response& response) const
{
    auto const& wanted = this->state.settings().operator_key_hash;
    if (wanted.empty())
        return true;
    auto const credential = request.get_header_value("Authorization");
    if (equal_in_constant_time(Platform::sha256_hex(bearer_key(credential)), wanted))
        return true;
    response.status = status_unauthorized;
    response.set_content("operator key missing or wrong\n", plain_text);
    return false;
}

std::string OperatorServer::status_text() const
{
    auto const table = this->state.table();
    nlohmann::json status { { "box", this->state.settings().name },
        { "failure_domain", this->state.settings().failure_domain }, { "draining", this->state.is_draining() },
        { "settings_version", table ? table->version().value() : 0 }, { "pools", nlohmann::json::object() } };
    for (auto const& shard : this->state.shards()) {
        auto const pool = shard->status();
        status["pools"][shard->name()] = { { "queued", pool.queued }, { "running", pool.running },
            { "leaving", pool.leaving }, { "lower_tier_sheds", pool.lower_tier_sheds },
            { "urgent_refusals_beside_lower_work", pool.urgent_refusals_beside_lower_work } };
    }
    return status.dump(2) + "\n";
}

void OperatorServer::explain(httplib::Request const& request, httplib::Response& response) const
{
    constexpr int hexadecimal = 16;
    auto const text = request.matches[1].str();
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    auto const records = this->state.services().records.find(Core::RequestId { number });
    if (records.empty()) {
        response.status = status_not_found;
        response.set_content("this box knows no such request\n", plain_text);
        return;
    }
    std::string timeline;
    for (auto const& record : records)
        timeline += record.to_sentence() + "\n";
    response.set_content(timeline, plain_text);
}

}
