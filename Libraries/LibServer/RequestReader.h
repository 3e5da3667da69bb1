#pragma once

#include <LibServer/RequestFlow.h>
#include <LibServer/RoutingTable.h>

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace Server {

/// A caller's request.
struct RawRequest {
    std::string path;
    /// Names in lower case.
    std::multimap<std::string, std::string> headers;
    std::string body;
    std::string method { "POST" };
};

/// Why a request was rejected before it was submitted.
struct InputError {
    int status { 400 };
    Core::Reason reason { Core::Reason::MalformedBody };
    /// The invalid field; empty if the fault is in no single one.
    std::string field;
    std::string message;

    bool operator==(InputError const&) const = default;
};

/// A request that may be submitted to its pool.
struct RoutedRequest {
    std::string pool;
    RoutingTable::Account const* account { nullptr };
    RoutingTable::RequestClass const* request_class { nullptr };
    UpstreamRequest upstream;
    std::uint64_t prefix_hash { 0 };
    bool streaming { false };
};

/// Checks a request and finds its account, class and pool, and takes its body over. Pure; the result points into
/// `table`.
[[nodiscard]] std::variant<RoutedRequest, InputError> read_request(RawRequest request, RoutingTable const& table);

}
