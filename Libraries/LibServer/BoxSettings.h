#pragma once

#include <LibPlatform/HttpAddress.h>
#include <LibSettings/SettingsTree.h>

#include <optional>
#include <string>
#include <vector>

namespace Server {

/// What one box has to know before it can read the shared settings: who it is and where it listens.
struct BoxSettings {
    std::string name;
    std::string failure_domain;
    /// Callers connect here.
    Platform::HttpAddress listen;
    /// Operators connect here.
    Platform::HttpAddress operator_listen;
    Platform::HttpAddress platform;
    /// SHA-256 in hex of the operators' key; empty leaves the operator side open to whoever reaches it.
    std::string operator_key_hash;
    /// Threads for callers' connections, and as many for calls to endpoints.
    int threads { 256 };
    std::size_t largest_body_bytes { 4U << 20U };
    /// Where to write the ports that the kernel chose; empty for nowhere.
    std::string ports_file;

    bool operator==(BoxSettings const&) const = default;
};

/// Reads a box file. Nothing, and at least one fault, when anything is wrong with it.
[[nodiscard]] std::optional<BoxSettings> read_box_settings(
    std::string const& text, std::vector<Settings::SettingsFault>& faults);

}
