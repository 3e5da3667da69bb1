#pragma once

#include <LibPlatform/HttpAddress.h>
#include <LibSettings/SettingsTree.h>

#include <optional>
#include <string>
#include <vector>

namespace Server {

/// The settings of a single box, which it needs before it can read the shared settings: its name and addresses.
struct BoxSettings {
    std::string name;
    std::string failure_domain;
    /// Address of the listener for callers.
    Platform::HttpAddress listen;
    /// Address of the listener for operators.
    Platform::HttpAddress operator_listen;
    Platform::HttpAddress platform;
    /// SHA-256 digest of the operators' key in hexadecimal digits. If empty, operators need no key.
    std::string operator_key_hash;
    /// Number of requests that are read or decided at a time, and of calls to endpoints that run at a time. Calls that
    /// wait for slow callers have threads of their own.
    int threads { 256 };
    std::size_t largest_body_bytes { 4U << 20U };
    /// Memory that this box may use, in MB of 1,000,000 bytes; 0 for all that the machine has.
    std::uint64_t memory_megabytes { 0 };
    /// File for the ports that the kernel chose; empty for none.
    std::string ports_file;

    bool operator==(BoxSettings const&) const = default;
};

/// Parses a box file. Returns nothing, and adds at least one fault, if it is invalid.
[[nodiscard]] std::optional<BoxSettings> read_box_settings(
    std::string const& text, std::vector<Settings::SettingsFault>& faults);

}
