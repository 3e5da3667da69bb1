#include <LibServer/RequestReader.h>

#include <LibFate/FateTypes.h>
#include <LibServer/Credentials.h>
#include <LibServer/ModelCall.h>
#include <algorithm>
#include <array>

namespace Server {

namespace {

using Core::Reason;

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_unsupported = 415;
constexpr std::size_t longest_key = 255;
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

InputError error_of(JsonFault const& fault)
{
    if (fault.is_not_utf8)
        return { status_bad_request, Reason::NotUtf8, "body", "body holds bytes that are not UTF-8" };
    return { status_bad_request, Reason::MalformedBody, "body",
        "body is not JSON, at byte " + std::to_string(fault.byte) };
}

std::optional<InputError> check_prompt(ModelCall const& call, bool is_chat)
{
    using Field = ModelCall::Field;
    if (is_chat && call.messages != Field::List)
        return InputError { status_bad_request, Reason::MalformedBody, "messages",
            "must be a list with at least one message" };
    bool const is_prompt = call.prompt == Field::Text || call.prompt == Field::List || call.prompt == Field::EmptyList;
    if (!is_chat && !is_prompt)
        return InputError { status_bad_request, Reason::MalformedBody, "prompt", "must be a text or a list" };
    return {};
}

bool is_flag(ModelCall::Field field)
{
    using Field = ModelCall::Field;
    return field == Field::Absent || field == Field::Null || field == Field::True || field == Field::False;
}

std::optional<InputError> read_model_call(RawRequest const& request, RoutingTable const& table, RoutedRequest& routed)
{
    auto const parsed = parse_model_call(request.body);
    if (auto const* const fault = std::get_if<JsonFault>(&parsed))
        return error_of(*fault);
    auto const& call = std::get<ModelCall>(parsed);
    if (!call.is_object)
        return InputError { status_bad_request, Reason::MalformedBody, "body", "must be a JSON object" };
    if (call.model != ModelCall::Field::Text)
        return InputError { status_bad_request, Reason::MalformedBody, "model", "must be a text" };
    if (!is_flag(call.stream))
        return InputError { status_bad_request, Reason::MalformedBody, "stream", "must be true or false" };
    if (auto error = check_prompt(call, request.path == model_paths[0]))
        return error;
    auto const* pool = table.pool_of_model(call.model_name);
    if (pool == nullptr)
        return InputError { status_not_found, Reason::UnknownModel, "model", "no endpoint serves this model" };
    routed.pool = *pool;
    routed.streaming = call.stream == ModelCall::Field::True;
    routed.prefix_hash = call.prefix_hash;
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

/// Bodies are passed on as they are, and without the field that would tell their encoding.
std::optional<InputError> check_encoding(RawRequest const& request)
{
    auto const encoding = header(request, "content-encoding");
    if (encoding.empty() || encoding == "identity")
        return {};
    return InputError { status_unsupported, Reason::MalformedBody, "content-encoding", "bodies must not be encoded" };
}

}

std::variant<RoutedRequest, InputError> read_request(RawRequest request, RoutingTable const& table)
{
    RoutedRequest routed;
    if (auto error = find_duplicate_header(request))
        return *error;
    if (auto error = find_account(request, table, routed))
        return *error;
    if (auto error = check_encoding(request))
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
    routed.upstream.body = std::move(request.body);
    return routed;
}

}
