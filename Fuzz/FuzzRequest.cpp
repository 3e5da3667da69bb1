/// Feeds the request reader with whatever the fuzzer makes up: a line of path, a line of key, then the body.

#include <LibFate/FateTypes.h>
#include <LibPlatform/Digest.h>
#include <LibServer/RequestReader.h>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

std::shared_ptr<Server::RoutingTable const> const& table()
{
    static Server::NameTables names;
    static auto const made = [] {
        Settings::SettingsDocument document;
        Settings::ClassSettings settings;
        settings.name = "keyed";
        settings.repeatable = false;
        document.classes = { settings };
        document.accounts = { { "account", "accounts/account", { Platform::sha256_hex("secret") }, { "keyed" }, 1 } };
        Settings::EndpointSettings endpoint;
        endpoint.pool = "pool";
        endpoint.models = { "m" };
        endpoint.path_prefixes = { "/plain" };
        document.endpoints = { endpoint };
        return Server::RoutingTable::create(Core::Offset { 1 }, document, "domain", names);
    }();
    return made;
}

}

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    std::string const text(reinterpret_cast<char const*>(data), size);
    auto const path_end = std::min(text.find('\n'), text.size());
    auto const key_end = std::min(text.find('\n', std::min(path_end + 1, text.size())), text.size());
    Server::RawRequest request;
    request.path = text.substr(0, path_end);
    request.headers = { { "authorization", "Bearer secret" },
        { "idempotency-key",
            text.substr(std::min(path_end + 1, text.size()), key_end - std::min(path_end + 1, key_end)) } };
    request.body = text.substr(std::min(key_end + 1, text.size()));
    auto const read = Server::read_request(request, *table());
    if (auto const* routed = std::get_if<Server::RoutedRequest>(&read)) {
        // What is let through has a pool and a key that tells its time.
        if (routed->pool.empty() || !Fate::creation_time_of(routed->upstream.idempotency_key))
            std::abort();
    } else if (std::get<Server::InputError>(read).message.empty()) {
        std::abort();
    }
    (void)Fate::Batch::try_decode(text);
    return 0;
}
