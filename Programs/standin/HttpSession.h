#pragma once

#include <LibGateway/Asio.h>

#include <functional>

/// A small HTTP server for stand-ins, with one task per connection and handlers that write their own answers.
namespace Standin {

namespace asio = Gateway::asio;
namespace http = Gateway::http;
using Gateway::Task;
using Gateway::tcp;

using Request = http::request<http::string_body>;

/// The client's side of one request.
struct Session {
    explicit Session(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;

    /// Sends a whole answer with a Content-Length. Each extra header ends with a line end.
    [[nodiscard]] Task<bool> answer(unsigned status, std::string const& body, std::string const& headers = {});
    [[nodiscard]] Task<bool> send(std::string const& bytes);
};

/// Serves one request; false if the connection is to be closed.
using Handler = std::function<Task<bool>(std::shared_ptr<Session> session, Request request)>;

/// Listens on an ephemeral loopback port and serves as long as the context runs.
std::uint16_t serve(asio::io_context& context, Handler handler);

/// The value of a parameter in a target's query, without its escapes; empty if it is absent or badly escaped.
[[nodiscard]] std::string query_value(std::string_view target, std::string_view name);

}
