#pragma once

#include <LibPlatform/LogClient.h>
#include <LibServer/BoxState.h>
#include <LibSettings/SettingsHistory.h>

#include <thread>

namespace Server {

inline constexpr char const* settings_stream = "settings";

/// Reads the settings stream in order and applies each accepted version.
class SettingsFollower {
public:
    explicit SettingsFollower(BoxState& state);
    ~SettingsFollower();
    SettingsFollower(SettingsFollower const&) = delete;
    SettingsFollower& operator=(SettingsFollower const&) = delete;

private:
    void run();
    void apply(Platform::LogRecord const& record);

    BoxState& state;
    Platform::LogClient log;
    Settings::SettingsHistory history;
    Core::Offset next;
    std::atomic<bool> is_stopping { false };
    std::thread thread;
};

}
