#include <LibHttp/BlockingClient.h>
#include <LibPlatform/Base64.h>
#include <LibPlatform/LogClient.h>

#include <nlohmann/json.hpp>

namespace Platform {

namespace {

constexpr auto connect_timeout = std::chrono::milliseconds(500);
/// Added to the wait of a read, for the answer's way and its transfer.
constexpr auto read_timeout_margin = std::chrono::seconds(2);
constexpr int max_records_per_read = 1000;
/// A page that exceeds this is read record by record.
constexpr std::size_t max_answer_bytes = 32UL * 1024 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;

std::string path_of(std::string const& stream)
{
    return "/streams/" + stream + "/records";
}

std::optional<LogPage> parse_page(std::string const& body)
{
    // NOTE: The JSON library throws if a field is missing or has another type. Such an answer is treated as unreadable.
    try {
        auto const json = nlohmann::json::parse(body);
        LogPage page;
        page.earliest = Core::Offset { json.at("earliest").get<std::uint64_t>() };
        page.next = Core::Offset { json.at("next").get<std::uint64_t>() };
        for (auto const& record : json.at("records")) {
            auto payload = from_base64(record.at("data").get<std::string>());
            if (!payload)
                return {};
            page.records.push_back({ Core::Offset { record.at("offset").get<std::uint64_t>() }, std::move(*payload) });
        }
        return page;
    } catch (nlohmann::json::exception const&) {
        return {};
    }
}

}

AppendResult LogClient::append(std::string const& stream, std::string const& payload, Core::Duration timeout) const
{
    Http::BlockingClient client(this->address.host, this->address.port);
    Http::CallFailure failure;
    Http::CallLimits const limits { connect_timeout, timeout, std::nullopt, max_answer_bytes };
    auto const result = client.fetch(
        { "POST", path_of(stream), { { "Content-Type", "application/octet-stream" } }, payload }, limits, failure);
    if (!result) {
        if (failure.fault == Http::CallFault::NotConnected)
            return AppendRefused { failure.reason };
        return AppendUnknown { failure.reason };
    }
    if (result->status != status_created)
        return AppendRefused { "status " + std::to_string(result->status) };
    auto const json = nlohmann::json::parse(result->body, nullptr, false);
    if (!json.is_object() || !json.contains("offset") || !json["offset"].is_number_unsigned())
        return AppendUnknown { "answer without an offset" };
    return Appended { Core::Offset { json["offset"].get<std::uint64_t>() } };
}

std::optional<LogPage> LogClient::read(
    std::string const& stream, Core::Offset from, Core::Duration wait, Core::LastReason& last_reason) const
{
    Http::BlockingClient client(this->address.host, this->address.port);
    Http::CallFailure failure;
    Http::CallLimits const limits { connect_timeout, wait + read_timeout_margin, std::nullopt, max_answer_bytes };
    auto const wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto const fetch = [&](int max_records) {
        auto const path = path_of(stream) + "?from=" + std::to_string(from.value())
            + "&max=" + std::to_string(max_records) + "&wait_ms=" + std::to_string(wait_ms);
        return client.fetch({ "GET", path }, limits, failure);
    };
    auto result = fetch(max_records_per_read);
    if (!result && failure.fault == Http::CallFault::TooLong)
        result = fetch(1);
    if (!result) {
        last_reason.text = failure.reason;
        return {};
    }
    if (result->status != status_ok) {
        last_reason.text = "status " + std::to_string(result->status);
        return {};
    }
    auto page = parse_page(result->body);
    if (!page)
        last_reason.text = "answer is not a page of records";
    return page;
}

}
