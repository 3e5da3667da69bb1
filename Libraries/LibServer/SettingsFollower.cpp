#include <LibServer/SettingsFollower.h>

#include <LibLog/EventLog.h>

namespace Server {

namespace {

constexpr Core::Duration longest_wait { std::chrono::seconds(1) };
constexpr auto pause_after_failure = std::chrono::milliseconds(200);

}

SettingsFollower::SettingsFollower(BoxState& state)
    : state(state)
    , log(state.settings().platform)
    , thread([this] { this->run(); })
{
}

SettingsFollower::~SettingsFollower()
{
    this->is_stopping = true;
    this->thread.join();
}

void SettingsFollower::run()
{
    bool was_reachable = true;
    while (!this->is_stopping) {
        Core::LastReason last_reason;
        auto const page = this->log.read(settings_stream, this->next, longest_wait, last_reason);
        if (page.has_value() != was_reachable)
            Log::EventLine(page ? "settings_log_reachable" : "settings_log_unreachable")
                .with("reason", last_reason.text)
                .warning();
        was_reachable = page.has_value();
        if (!page) {
            std::this_thread::sleep_for(pause_after_failure);
            continue;
        }
        for (auto const& record : page->records)
            this->apply(record);
        if (page->records.empty())
            this->next = std::max(this->next, page->earliest);
    }
}

void SettingsFollower::apply(Platform::LogRecord const& record)
{
    std::vector<Settings::SettingsFault> faults;
    auto const verdict = this->history.apply(record.offset, record.payload, faults);
    this->next = Core::Offset { record.offset.value() + 1 };
    if (verdict == Settings::PublicationVerdict::Accepted) {
        auto const table = RoutingTable::create(this->history.version(), this->history.current()->document,
            this->state.settings().failure_domain, this->state.names());
        this->state.take_settings(table);
        Log::EventLine("settings_in_force").with("version", this->history.version().value()).info();
        return;
    }
    Log::EventLine("settings_rejected")
        .with("offset", record.offset.value())
        .with("verdict", verdict == Settings::PublicationVerdict::StaleBase ? "stale-base" : "faulty")
        .with("first_fault", faults.empty() ? "" : faults.front().to_string())
        .warning();
}

}
