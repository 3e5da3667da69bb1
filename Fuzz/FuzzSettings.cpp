/// Fuzzes the settings reader and the box file reader.

#include <LibServer/BoxSettings.h>
#include <LibSettings/SettingsReader.h>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    std::string const text(reinterpret_cast<char const*>(data), size);
    std::vector<Settings::SettingsFault> faults;
    auto const settings = Settings::read_settings(text, faults);
    // A document is either accepted without faults or rejected with at least one.
    if (settings.has_value() != faults.empty())
        std::abort();
    faults.clear();
    auto const box = Server::read_box_settings(text, faults);
    if (box.has_value() != faults.empty())
        std::abort();
    return 0;
}
