#include <LibServer/AnswerWriter.h>

#include <fmt/format.h>

namespace Server {

using Http::error_code;
using Http::Task;

namespace {

constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string encode_head(int status, std::string const& content_type, HeaderList const& headers)
{
    auto const reason = Http::http::obsolete_reason(static_cast<Http::http::status>(status));
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    if (!content_type.empty())
        text += "Content-Type: " + content_type + "\r\n";
    for (auto const& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text;
}

std::string_view connection_field(AnswerFraming const& framing)
{
    return framing.keeps_connection ? "" : "Connection: close\r\n";
}

bool closes_connection(HeaderList const& headers)
{
    for (auto const& [name, value] : headers) {
        if (name == "Connection" && value == "close")
            return true;
    }
    return false;
}

}

AnswerWriter::AnswerWriter(Http::tcp::socket& socket, Http::BudgetedConnection& connection, Core::Duration timeout)
    : socket(socket)
    , connection(connection)
    , timeout(timeout)
    , timer(std::make_shared<Http::asio::steady_timer>(socket.get_executor()))
{
}

Task<bool> AnswerWriter::write(WholeAnswer const& answer, AnswerFraming framing)
{
    auto text = encode_head(answer.status, answer.content_type, answer.headers);
    if (!closes_connection(answer.headers))
        text += connection_field(framing);
    text += fmt::format("Content-Length: {}\r\n\r\n", answer.body.size());
    if (!framing.is_to_head_request)
        text += answer.body;
    co_return co_await this->write_bytes(std::move(text));
}

Task<AnswerProgress> AnswerWriter::write_part(AnswerPart const& part, AnswerFraming& framing)
{
    std::string bytes;
    auto progress = AnswerProgress::Unfinished;
    if (auto const* const whole = std::get_if<WholeAnswer>(&part)) {
        framing.keeps_connection = framing.keeps_connection && !closes_connection(whole->headers);
        bool const is_written = co_await this->write(*whole, framing);
        co_return is_written ? AnswerProgress::Finished : AnswerProgress::Broken;
    }
    if (auto const* const head = std::get_if<AnswerHead>(&part)) {
        framing.keeps_connection = framing.keeps_connection && framing.has_chunks && !closes_connection(head->headers);
        bytes = encode_head(head->status, head->content_type, head->headers);
        if (!closes_connection(head->headers))
            bytes += connection_field(framing);
        bytes += framing.has_chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    }
    if (auto const* const piece = std::get_if<AnswerPiece>(&part)) {
        if (!piece->bytes.empty() && framing.has_chunks)
            bytes = fmt::format("{:x}\r\n{}\r\n", piece->bytes.size(), piece->bytes);
        else
            bytes = piece->bytes;
    }
    if (std::holds_alternative<AnswerEnd>(part)) {
        bytes = framing.has_chunks ? last_chunk : "";
        progress = AnswerProgress::Finished;
    }
    bool const is_written = co_await this->write_bytes(std::move(bytes));
    co_return is_written ? progress : AnswerProgress::Broken;
}

Task<bool> AnswerWriter::write_bytes(std::string bytes)
{
    Http::asio::const_buffer rest = Http::asio::buffer(bytes);
    bool is_open = true;
    while (is_open && rest.size() > 0) {
        auto const is_over = std::make_shared<bool>(false);
        this->timer->expires_after(this->timeout);
        // NOTE: Cancelling doesn't stop a handler that is already queued, so it asks whether the write is over.
        this->timer->async_wait([&socket = this->socket, is_over](error_code cancelled) {
            error_code ignored;
            if (!cancelled && !*is_over)
                socket.cancel(ignored);
        });
        auto const [error, written] = co_await this->socket.async_write_some(rest, Http::as_value);
        *is_over = true;
        this->timer->cancel();
        this->connection.note_progress(written, Core::monotonic_now());
        rest += written;
        is_open = !error;
    }
    co_return is_open;
}

}
