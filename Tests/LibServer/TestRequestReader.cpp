#include <TestMain.h>

#include <LibPlatform/Digest.h>
#include <LibServer/RequestReader.h>

namespace {

std::shared_ptr<Server::RoutingTable const> table()
{
    static Server::NameTables names;
    Settings::SettingsDocument document;
    Settings::ClassSettings lookup;
    lookup.name = "lookup";
    Settings::ClassSettings sighting;
    sighting.name = "sighting";
    sighting.repeatable = false;
    Settings::ClassSettings digest;
    digest.name = "digest";
    document.classes = { lookup, sighting, digest };
    document.accounts
        = { { "hall", "accounts/hall", { Platform::sha256_hex("secret") }, { "lookup", "sighting" }, 1 } };
    Settings::EndpointSettings engine;
    engine.name = "engine";
    engine.pool = "models";
    engine.models = { "m" };
    Settings::EndpointSettings service;
    service.name = "service";
    service.pool = "services";
    service.kind = Settings::EndpointKind::Service;
    service.path_prefixes = { "/records" };
    document.endpoints = { engine, service };
    return Server::RoutingTable::create(Core::Offset { 1 }, document, "hall-1", names);
}

Server::RawRequest chat(std::string body)
{
    return { "/v1/chat/completions", { { "authorization", "Bearer secret" } }, std::move(body) };
}

std::string const good_body = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})";

void check_refused(Server::RawRequest const& request, Core::Reason reason, int status, std::string const& field)
{
    auto const settings = table();
    auto const read = Server::read_request(request, *settings);
    auto const* error = std::get_if<Server::InputError>(&read);
    REQUIRE(error != nullptr);
    CHECK(error->reason == reason);
    CHECK(error->status == status);
    CHECK(error->field == field);
    CHECK(error->message.find("secret") == std::string::npos);
}

}

TEST_CASE("a good request finds its account, class and pool")
{
    auto const settings = table();
    auto const read = Server::read_request(chat(good_body), *settings);
    auto const* routed = std::get_if<Server::RoutedRequest>(&read);
    REQUIRE(routed != nullptr);
    CHECK(routed->pool == "models");
    CHECK(routed->account->name == "hall");
    CHECK(routed->request_class->settings.name == "lookup");
    CHECK(routed->streaming);
    CHECK(routed->upstream.body == good_body);
}

TEST_CASE("bad input is refused with the field at fault")
{
    using Core::Reason;
    check_refused(chat("{"), Reason::MalformedBody, 400, "body");
    check_refused(chat("[]"), Reason::MalformedBody, 400, "body");
    check_refused(chat("{\"model\":\"\xff\"}"), Reason::NotUtf8, 400, "body");
    check_refused(chat(R"({"model":7,"messages":[{}]})"), Reason::MalformedBody, 400, "model");
    check_refused(chat(R"({"model":"m","stream":1,"messages":[{}]})"), Reason::MalformedBody, 400, "stream");
    check_refused(chat(R"({"model":"m"})"), Reason::MalformedBody, 400, "messages");
    check_refused(chat(R"({"model":"other","messages":[{}]})"), Reason::UnknownModel, 404, "model");
    auto request = chat(good_body);
    request.path = "/elsewhere";
    check_refused(request, Reason::UnknownPath, 404, "path");
    request = chat(good_body);
    request.headers.clear();
    check_refused(request, Reason::CredentialMissing, 401, "authorization");
    request.headers = { { "authorization", "Bearer secrets" } };
    check_refused(request, Reason::CredentialWrong, 401, "authorization");
    request.headers = { { "authorization", "Bearer secret" }, { "authorization", "Bearer secret" } };
    check_refused(request, Reason::DuplicateHeader, 400, "authorization");
}

TEST_CASE("classes and keys are checked")
{
    using Core::Reason;
    auto request = chat(good_body);
    request.headers.emplace("x-cleatbeam-class", "digest");
    check_refused(request, Reason::ClassNotAllowed, 403, "x-cleatbeam-class");
    request = chat(good_body);
    request.headers.emplace("x-cleatbeam-class", "nothing");
    check_refused(request, Reason::UnknownClass, 400, "x-cleatbeam-class");
    request = { "/records/1", { { "authorization", "Bearer secret" }, { "x-cleatbeam-class", "sighting" } },
        "any bytes \xff" };
    check_refused(request, Reason::KeyMissing, 400, "idempotency-key");
    request.headers.emplace("idempotency-key", std::string(256, 'k'));
    check_refused(request, Reason::KeyMalformed, 400, "idempotency-key");
    request.headers.erase("idempotency-key");
    request.headers.emplace("idempotency-key", "not-a-uuid");
    check_refused(request, Reason::KeyMalformed, 400, "idempotency-key");
}
