#include <LibSettings/SettingsHistory.h>

#include <nlohmann/json.hpp>

namespace Settings {

std::string Publication::encode() const
{
    return nlohmann::json {
        { "base", this->base.value() }, { "author", this->author }, { "nonce", this->nonce },
        { "document", this->document }
    }.dump();
}

std::optional<Publication> Publication::try_decode(std::string const& payload, Core::LastReason& last_reason)
{
    // NOTE: The JSON library reports a field that is missing or of the wrong type by throwing.
    try {
        auto const json = nlohmann::json::parse(payload);
        return Publication { Core::Offset { json.at("base").get<std::uint64_t>() }, json.value("author", ""),
            json.value("nonce", ""), json.at("document").get<std::string>() };
    } catch (nlohmann::json::exception const& exception) {
        last_reason.text = std::string("record is no settings publication: ") + exception.what();
        return {};
    }
}

PublicationVerdict SettingsHistory::apply(
    Core::Offset offset, std::string const& payload, std::vector<SettingsFault>& faults)
{
    if (offset < this->next_offset)
        return PublicationVerdict::AlreadyApplied;
    this->next_offset = version_of(offset);
    Core::LastReason last_reason;
    auto const publication = Publication::try_decode(payload, last_reason);
    if (!publication) {
        faults.push_back({ "", 0, "", last_reason.text });
        return PublicationVerdict::Faulty;
    }
    if (publication->base != this->current_version)
        return PublicationVerdict::StaleBase;
    auto settings = read_settings(publication->document, faults);
    if (!settings)
        return PublicationVerdict::Faulty;
    this->current_settings = std::make_shared<CheckedSettings const>(std::move(*settings));
    this->current_version = version_of(offset);
    this->current_document = publication->document;
    return PublicationVerdict::Accepted;
}

}
