#include <LibServer/BoxSettings.h>

#include <LibSettings/DocumentCheck.h>
#include <charconv>
#include <functional>
#include <map>
#include <yaml-cpp/yaml.h>

namespace Server {

namespace {

using Refusal = std::string;
using Take = std::function<Refusal(BoxSettings&, std::string const&)>;

struct Field {
    bool is_required { false };
    Take take;
};

Take text_field(std::string BoxSettings::*member)
{
    return [member](BoxSettings& settings, std::string const& text) {
        settings.*member = text;
        return Refusal { text.empty() ? "must not be empty" : "" };
    };
}

Take address_field(Platform::HttpAddress BoxSettings::*member)
{
    return [member](BoxSettings& settings, std::string const& text) {
        auto address = Platform::HttpAddress::try_create(text);
        if (!address)
            return Refusal { "must be an IP number and a port, as in 10.0.0.7:8000" };
        settings.*member = std::move(*address);
        return Refusal {};
    };
}

template <typename Number> Take number_field(Number BoxSettings::*member, Number low, Number high)
{
    return [=](BoxSettings& settings, std::string const& text) {
        Number number {};
        auto const* last = text.data() + text.size();
        auto const result = std::from_chars(text.data(), last, number);
        if (result.ec != std::errc {} || result.ptr != last || number < low || number > high)
            return Refusal { "must be a whole number between " + std::to_string(low) + " and " + std::to_string(high) };
        settings.*member = number;
        return Refusal {};
    };
}

/// A single request of the largest size must fit into the memory for connections, which is a little more than a third
/// of all; it takes three times its body while that is parsed.
Refusal refuse_body_size(BoxSettings const& settings)
{
    constexpr std::uint64_t bytes_per_megabyte = 1000 * 1000;
    constexpr std::uint64_t memory_per_body_byte = 9;
    auto const max_bytes = settings.memory_megabytes * bytes_per_megabyte / memory_per_body_byte;
    if (settings.memory_megabytes == 0 || settings.largest_body_bytes <= max_bytes)
        return {};
    return "must be at most " + std::to_string(max_bytes) + " with this memory_mb";
}

std::map<std::string, Field> const& fields()
{
    static std::map<std::string, Field> const all {
        { "name", { true, text_field(&BoxSettings::name) } },
        { "failure_domain", { true, text_field(&BoxSettings::failure_domain) } },
        { "listen", { true, address_field(&BoxSettings::listen) } },
        { "operator_listen", { true, address_field(&BoxSettings::operator_listen) } },
        { "platform", { true, address_field(&BoxSettings::platform) } },
        { "operator_key_hash", { false, text_field(&BoxSettings::operator_key_hash) } },
        { "threads", { false, number_field(&BoxSettings::threads, 8, 4096) } },
        { "largest_body_bytes",
            { false, number_field<std::size_t>(&BoxSettings::largest_body_bytes, 1024, 64U << 20U) } },
        { "memory_mb", { false, number_field<std::uint64_t>(&BoxSettings::memory_megabytes, 64, 16U << 20U) } },
        { "ports_file", { false, text_field(&BoxSettings::ports_file) } },
    };
    return all;
}

}

std::optional<BoxSettings> read_box_settings(std::string const& text, std::vector<Settings::SettingsFault>& faults)
{
    auto const faults_before = faults.size();
    Settings::check_document_text(text, faults);
    if (faults.size() != faults_before)
        return {};
    auto const root = YAML::Load(text);
    if (!root.IsMap()) {
        faults.push_back({ "", 0, "", "a box file is a map from field to value" });
        return {};
    }
    BoxSettings settings;
    for (auto const& entry : root) {
        auto const key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        auto const line = entry.second.Mark().line + 1;
        auto const field = fields().find(key);
        if (field == fields().end()) {
            faults.push_back({ key, line, "", "unknown field" });
            continue;
        }
        if (!entry.second.IsScalar()) {
            faults.push_back({ key, line, "", "must be a single value" });
            continue;
        }
        auto const refusal = field->second.take(settings, entry.second.Scalar());
        if (!refusal.empty())
            faults.push_back({ key, line, entry.second.Scalar(), refusal });
    }
    for (auto const& [name, field] : fields()) {
        if (field.is_required && !root[name])
            faults.push_back({ name, 0, "", "missing" });
    }
    if (auto const refusal = refuse_body_size(settings); !refusal.empty())
        faults.push_back({ "largest_body_bytes", 0, std::to_string(settings.largest_body_bytes), refusal });
    if (faults.size() != faults_before)
        return {};
    return settings;
}

}
