#pragma once

#include <LibSettings/Settings.h>
#include <LibSettings/SettingsTree.h>

namespace Settings {

inline constexpr std::size_t max_document_bytes = 4U << 20U;
inline constexpr std::size_t max_aliases = 64;

/// A checked document with the trees it came from.
struct CheckedSettings {
    SettingsDocument document;
    SettingsTree classes;
    SettingsTree accounts;
    SettingsTree endpoints;
};

/// Reads and checks a document. Returns nothing and at least one fault when anything is wrong with it.
[[nodiscard]] std::optional<CheckedSettings> read_settings(std::string const& text, std::vector<SettingsFault>& faults);

}
