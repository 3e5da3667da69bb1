#pragma once

#include <LibCore/Ids.h>
#include <LibCore/LastReason.h>
#include <LibSettings/SettingsReader.h>

#include <memory>
#include <optional>
#include <string>

namespace Settings {

/// A record of the settings stream: a document and the version it is based on (0 for none).
struct Publication {
    Core::Offset base;
    std::string author;
    /// Random text that lets a publisher recognize its own record.
    std::string nonce;
    std::string document;

    bool operator==(Publication const&) const = default;
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] static std::optional<Publication> try_decode(
        std::string const& payload, Core::LastReason& last_reason);
};

enum class PublicationVerdict {
    Accepted,
    /// Based on a version that is no longer current: another operator published first.
    StaleBase,
    Faulty,
    /// At or before an offset that was already applied.
    AlreadyApplied,
};

/// The settings in force. Computed from the stream alone, so that all boxes arrive at the same version.
///
/// The version is the offset of the accepted record plus one, so that 0 can mean none. It only grows.
class SettingsHistory {
public:
    [[nodiscard]] PublicationVerdict apply(
        Core::Offset offset, std::string const& payload, std::vector<SettingsFault>& faults);

    [[nodiscard]] Core::Offset version() const { return this->current_version; }
    [[nodiscard]] std::shared_ptr<CheckedSettings const> current() const { return this->current_settings; }
    [[nodiscard]] std::string const& document() const { return this->current_document; }

private:
    Core::Offset current_version;
    Core::Offset next_offset;
    std::shared_ptr<CheckedSettings const> current_settings;
    std::string current_document;
};

/// The version that the record at `offset` gets when it is accepted.
[[nodiscard]] inline Core::Offset version_of(Core::Offset offset)
{
    return Core::Offset { offset.value() + 1 };
}

}
