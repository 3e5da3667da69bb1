#include <LibServer/RequestReader.h>

#include <LibFate/FateTypes.h>
#include <LibServer/Credentials.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Server {

namespace {

using Core::Reason;

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr std::size_t longest_key = 255;
constexpr std::size_t hashed_prefix_bytes = 512;
constexpr std::array<std::string_view, 5> single_headers { "authorization", "idempotency-key", "content-type",
    "content-length", "x-cleatbeam-class" };
constexpr std::array<std::string_view, 2> model_paths { "/v1/chat/completions", "/v1/completions" };

std::string header(RawRequest const& request, std::string const& name)
{
    auto const found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
}

std::optional<InputError> find_duplicate_header(RawRequest const& request)
{
    for (auto const name : single_headers) {
        if (request.headers.count(std::string(name)) > 1)
            return InputError { status_bad_request, Reason::DuplicateHeader, std::string(name),
                "this header may stand only once" };
    }
    return {};
}

std::variant<nlohmann::json, InputError> parse_body(std::string const& body)
{
    try {
        return nlohmann::json::parse(body);
    } catch (nlohmann::json::parse_error const& error) {
        auto const is_not_utf8 = std::string_view(error.what()).find("UTF-8") != std::string_view::npos;
        if (is_not_utf8)
            return InputError { status_bad_request, Reason::NotUtf8, "body", "body holds bytes that are not UTF-8" };
        return InputError { status_bad_request, Reason::MalformedBody, "body",
            "body is not JSON, at byte " + std::to_string(error.byte) };
    }
}

std::uint64_t hash_of_prefix(nlohmann::json const& body)
{
    std::string text;
    if (body.contains("messages"))
        text = body["messages"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    else if (body.contains("prompt") && body["prompt"].is_string())
        text = body["prompt"].get<std::string>();
    if (text.empty())
        return 0;
    return XXH3_64bits(text.data(), std::min(text.size(), hashed_prefix_bytes));
}

std::optional<InputError> check_prompt(nlohmann::json const& body, bool is_chat)
{
    if (is_chat && (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()))
        return InputError { status_bad_request, Reason::MalformedBody, "messages",
            "must be a list with at least one message" };
    if (!is_chat && (!body.contains("prompt") || !(body["prompt"].is_string() || body["prompt"].is_array())))
        return InputError { status_bad_request, Reason::MalformedBody, "prompt", "must be a text or a list" };
    return {};
}

std::optional<InputError> read_model_call(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    auto parsed = parse_body(request.body);
    if (auto const* error = std::get_if<InputError>(&parsed))
        return *error;
    auto const& body = std::get<nlohmann::json>(parsed);
    if (!body.is_object())
        return InputError { status_bad_request, Reason::MalformedBody, "body", "must be a JSON object" };
    if (!body.contains("model") || !body["model"].is_string())
        return InputError { status_bad_request, Reason::MalformedBody, "model", "must be a text" };
    if (body.contains("stream") && !body["stream"].is_boolean() && !body["stream"].is_null())
        return InputError { status_bad_request, Reason::MalformedBody, "stream", "must be true or false" };
    if (auto error = check_prompt(body, request.path == model_paths[0]))
        return error;
    auto const* pool = table.pool_of_model(body["model"].get<std::string>());
    if (pool == nullptr)
        return InputError { status_not_found, Reason::UnknownModel, "model", "no endpoint serves this model" };
    routed.pool = *pool;
    routed.streaming = body.contains("stream") && body["stream"].is_boolean() && body["stream"].get<bool>();
    routed.prefix_hash = hash_of_prefix(body);
    return {};
}

std::optional<InputError> find_pool(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    if (std::ranges::find(model_paths, request.path) != model_paths.end())
        return read_model_call(request, table, routed);
    auto const* pool = table.pool_of_path(request.path);
    if (pool == nullptr)
        return InputError { status_not_found, Reason::UnknownPath, "path", "no endpoint serves this path" };
    routed.pool = *pool;
    return {};
}

std::optional<InputError> find_account(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    auto const credential = header(request, "authorization");
    auto const key = bearer_key(credential);
    if (key.empty())
        return InputError { status_unauthorized, Reason::CredentialMissing, "authorization",
            "must be `Bearer` and a key" };
    routed.account = table.find_account(key);
    if (routed.account == nullptr)
        return InputError { status_unauthorized, Reason::CredentialWrong, "authorization",
            "this key belongs to no account" };
    return {};
}

std::optional<InputError> find_class(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    auto const& allowed = routed.account->classes;
    auto name = header(request, "x-cleatbeam-class");
    if (name.empty() && !allowed.empty())
        name = allowed.front();
    routed.request_class = table.find_class(name);
    if (routed.request_class == nullptr)
        return InputError { status_bad_request, Reason::UnknownClass, "x-cleatbeam-class", "there is no such class" };
    if (std::ranges::find(allowed, name) == allowed.end())
        return InputError { status_forbidden, Reason::ClassNotAllowed, "x-cleatbeam-class",
            "this account may not use this class" };
    return {};
}

std::optional<InputError> read_key(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    auto const key = header(request, "idempotency-key");
    auto const is_printable
        = std::ranges::all_of(key, [](char character) { return character > ' ' && character < '\x7f'; });
    if (key.size() > longest_key || !is_printable)
        return InputError { status_bad_request, Reason::KeyMalformed, "idempotency-key",
            "must be at most 255 printable ASCII characters" };
    if (key.empty() && !routed.request_class->settings.repeatable)
        return InputError { status_bad_request, Reason::KeyMissing, "idempotency-key",
            "this class is not repeatable and needs a key" };
    auto const needs_time = !routed.request_class->settings.repeatable && !table.pool_checks_keys(routed.pool);
    if (needs_time && !Fate::creation_time_of(key))
        return InputError { status_bad_request, Reason::KeyMalformed, "idempotency-key",
            "must be a UUIDv7 (RFC 9562)" };
    routed.upstream.idempotency_key = key;
    return {};
}

}

std::variant<RoutedRequest, InputError> read_request(RawRequest const& request, RoutingTable const& table)
{
    RoutedRequest routed;
    if (auto error = find_duplicate_header(request))
        return *error;
    if (auto error = find_account(request, table, routed))
        return *error;
    if (auto error = find_pool(request, table, routed))
        return *error;
    if (auto error = find_class(request, table, routed))
        return *error;
    if (auto error = read_key(request, table, routed))
        return *error;
    auto const content_type = header(request, "content-type");
    routed.upstream.path = request.path;
    routed.upstream.content_type = content_type.empty() ? "application/json" : content_type;
    routed.upstream.body = request.body;
    return routed;
}

}
