#include <LibServer/LoadPoller.h>

#include <LibHttp/BlockingClient.h>
#include <nlohmann/json.hpp>

namespace Server {

namespace {

/// A report is some hundred bytes. An endpoint that is slow with it is asked again in the next round.
constexpr Http::CallLimits poll_limits { std::chrono::milliseconds(500), std::chrono::milliseconds(500),
    std::chrono::seconds(1), 64UL * 1024 };
constexpr unsigned status_ok = 200;
constexpr Core::Duration default_interval { std::chrono::milliseconds(250) };

std::optional<Traffic::LoadReport> parse_report(std::string const& body, Core::Instant now)
{
    try {
        auto const json = nlohmann::json::parse(body);
        Traffic::LoadReport report;
        report.running = json.at("running").get<int>();
        report.queued = json.at("queued").get<int>();
        report.slots = std::max(1, json.at("slots").get<int>());
        report.leaving = json.value("leaving", false);
        report.measured_at = now - std::chrono::milliseconds(json.at("age_ms").get<std::int64_t>());
        return report;
    } catch (nlohmann::json::exception const&) {
        return {};
    }
}

}

LoadPoller::LoadPoller(BoxState& state)
    : state(state)
{
    for (std::size_t worker = 0; worker < worker_count; ++worker)
        this->workers.emplace_back([this, worker] { this->run(worker); });
}

LoadPoller::~LoadPoller()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->is_stopping = true;
    }
    this->stopped.notify_all();
    for (auto& worker : this->workers)
        worker.join();
}

bool LoadPoller::wait_for(Core::Duration duration)
{
    std::unique_lock lock(this->mutex);
    return !this->stopped.wait_for(lock, duration, [this] { return this->is_stopping; });
}

void LoadPoller::run(std::size_t worker)
{
    std::map<std::pair<std::string, int>, std::unique_ptr<Http::BlockingClient>> clients;
    auto interval = default_interval;
    while (this->wait_for(interval)) {
        auto const table = this->state.table();
        if (table && !table->pools().empty())
            interval = table->pools().begin()->second.routing.report_interval;
        for (auto const& shard : this->state.shards()) {
            for (auto const& [id, endpoint] : shard->endpoints()) {
                if (id.value() % worker_count != worker)
                    continue;
                auto& client = clients[{ endpoint.host, endpoint.port }];
                if (!client)
                    client = std::make_unique<Http::BlockingClient>(endpoint.host, endpoint.port);
                Http::CallFailure failure;
                auto const answer = client->fetch({ "GET", "/load" }, poll_limits, failure);
                if (!answer || answer->status != status_ok)
                    continue;
                if (auto const report = parse_report(answer->body, Core::monotonic_now()))
                    shard->take_report(id, *report);
            }
        }
    }
}

}
