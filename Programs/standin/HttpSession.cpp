#include "HttpSession.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace Standin {

Task<bool> Session::answer(unsigned status, std::string const& body, std::string const& headers)
{
    co_return co_await this->send(fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
        std::string(http::obsolete_reason(static_cast<http::status>(status))), headers, body.size(), body));
}

Task<bool> Session::send(std::string const& bytes)
{
    auto const [error, written] = co_await asio::async_write(this->socket, asio::buffer(bytes), Gateway::as_value);
    co_return !error;
}

namespace {

Task<void> run_session(std::shared_ptr<Session> session, Handler handler)
{
    Gateway::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
        http::request_parser<http::string_body> parser;
        // Boxes pass on bodies of any size that the operator allows.
        parser.body_limit(boost::none);
        auto const [error, bytes] = co_await http::async_read(session->socket, buffer, parser, Gateway::as_value);
        if (error)
            co_return;
        is_open = co_await handler(session, parser.release());
    }
}

Task<void> accept_sessions(std::shared_ptr<tcp::acceptor> acceptor, Handler handler)
{
    for (;;) {
        auto [error, socket] = co_await acceptor->async_accept(Gateway::as_value);
        if (error)
            continue;
        socket.set_option(tcp::no_delay(true));
        auto session = std::make_shared<Session>(std::move(socket));
        asio::co_spawn(acceptor->get_executor(), run_session(std::move(session), handler), asio::detached);
    }
}

}

std::uint16_t serve(asio::io_context& context, Handler handler)
{
    auto const acceptor = std::make_shared<tcp::acceptor>(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::co_spawn(context, accept_sessions(acceptor, std::move(handler)), asio::detached);
    return acceptor->local_endpoint().port();
}

namespace {

/// Undoes the escapes of a query's name or value, as forms write them: a plus stands for a blank.
std::optional<std::string> unescape(std::string_view text)
{
    constexpr std::size_t escape_size = 3;
    constexpr int hexadecimal = 16;
    std::string plain;
    while (!text.empty()) {
        if (text.front() != '%') {
            plain += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < escape_size)
            return {};
        unsigned char byte = 0;
        auto const [position, error] = std::from_chars(text.data() + 1, text.data() + escape_size, byte, hexadecimal);
        if (error != std::errc {} || position != text.data() + escape_size)
            return {};
        plain += static_cast<char>(byte);
        text.remove_prefix(escape_size);
    }
    return plain;
}

}

std::string query_value(std::string_view target, std::string_view name)
{
    auto const query = target.find('?');
    if (query == std::string_view::npos)
        return {};
    auto rest = target.substr(query + 1);
    while (!rest.empty()) {
        auto const pair = rest.substr(0, rest.find('&'));
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return unescape(pair.substr(equals + 1)).value_or("");
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

}
