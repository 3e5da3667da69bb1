#pragma once

#include <LibSettings/SettingsTree.h>

#include <string>
#include <vector>

namespace Settings {

/// Refuses what the YAML library lets pass: duplicate keys, too many aliases, excess depth or size.
/// Nothing is appended to `faults` when the text is fit to be loaded.
void check_document_text(std::string const& text, std::vector<SettingsFault>& faults);

}
