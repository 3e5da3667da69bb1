#pragma once

#include <LibSettings/SettingsTree.h>

#include <string>
#include <vector>

namespace Settings {

/// Rejects what the YAML library accepts: duplicate keys, too many aliases, excessive depth or size.
/// Appends nothing to `faults` if the text can be loaded.
void check_document_text(std::string const& text, std::vector<SettingsFault>& faults);

}
