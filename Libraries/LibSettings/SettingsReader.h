#pragma once

#include <LibSettings/Settings.h>
#include <LibSettings/SettingsTree.h>

namespace Settings {

inline constexpr std::size_t max_document_bytes = 4U << 20U;
inline constexpr std::size_t max_aliases = 64;

/// A valid document and the trees it was resolved from.
struct CheckedSettings {
    SettingsDocument document;
    SettingsTree classes;
    SettingsTree accounts;
    SettingsTree endpoints;
};

/// Parses and validates a document. Returns nothing and appends at least one fault if it is invalid.
[[nodiscard]] std::optional<CheckedSettings> read_settings(std::string const& text, std::vector<SettingsFault>& faults);

}
