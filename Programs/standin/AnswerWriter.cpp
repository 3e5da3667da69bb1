#include "AnswerWriter.h"

#include "HttpSession.h"
#include <fmt/format.h>

namespace Standin {

using Framing = AnswerStyle::Framing;

namespace {

std::string const garbage = "\x16\x03\x01 no answer\r\n\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";
/// Bytes that a length or a chunk's size promises and that don't follow.
constexpr std::size_t missing_bytes = 7;
constexpr std::size_t long_field_bytes = 30'000;
constexpr auto silence = std::chrono::seconds(1);
constexpr auto pause_between_pieces = std::chrono::milliseconds(2);

/// How an answer that never ends begins, and what is then sent again and again.
struct EndlessAnswer {
    std::string begin;
    std::string repeated;
};

/// Far above what any box may read of such an answer.
constexpr std::size_t max_endless_bytes = std::size_t { 1024 } * 1024 * 1024;

/// Waits until the other side closes the connection or sends something.
Task<void> wait_for_other_side(tcp::socket& socket)
{
    co_await socket.async_wait(tcp::socket::wait_read, Gateway::as_value);
}

}

Task<void> AnswerWriter::write_endless()
{
    constexpr std::size_t piece_bytes = 16 * 1024;
    auto const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + this->text.attempt + "\r\n" + this->text.fields;
    auto const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const field = "X-Standin-Filler: " + std::string(100, 'f') + "\r\n";
    std::string const filler(piece_bytes, 'f');
    auto const answer = [&]() -> EndlessAnswer {
        switch (this->style.endless) {
        case AnswerStyle::Endless::Head:
            return { head, field };
        case AnswerStyle::Endless::InterimAnswers:
            return { "", "HTTP/1.1 103 Early Hints\r\n\r\n" };
        case AnswerStyle::Endless::OtherAnswers:
            return { "", this->other_answer() };
        case AnswerStyle::Endless::ChunkExtension:
            return { chunked + "4;x=", filler };
        case AnswerStyle::Endless::Trailers:
            return { chunked + "2\r\nok\r\n0\r\n", field };
        case AnswerStyle::Endless::Event: {
            auto const first_event = this->event(1) + "data: ";
            return { head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + fmt::format("{:x}\r\n{}\r\n", first_event.size(), first_event),
                fmt::format("{:x}\r\n{}\r\n", filler.size(), filler) };
        }
        case AnswerStyle::Endless::FailedBody:
        case AnswerStyle::Endless::Nothing:
            break;
        }
        return { "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: " + this->text.attempt + "\r\n"
                + this->text.fields + "Transfer-Encoding: chunked\r\n\r\n",
            fmt::format("{:x}\r\n{}\r\n", filler.size(), filler) };
    }();
    bool is_open = co_await this->session.send(answer.begin);
    std::string piece;
    while (piece.size() < piece_bytes)
        piece += answer.repeated;
    for (std::size_t sent = 0; is_open && sent < max_endless_bytes; sent += piece.size())
        is_open = co_await this->session.send(piece);
}

Task<bool> AnswerWriter::write_body(std::string body)
{
    if (this->style.endless != AnswerStyle::Endless::Nothing) {
        co_await this->write_endless();
        co_return false;
    }
    if (!co_await this->begin())
        co_return false;
    bool const has_chunks = this->style.framing == Framing::NoLastChunk;
    auto const length = body.size() + (this->style.framing == Framing::TooLong ? missing_bytes : 0);
    std::string framing;
    if (has_chunks)
        framing = "Transfer-Encoding: chunked\r\n";
    else if (this->style.framing != Framing::Connection)
        framing = fmt::format("Content-Length: {}\r\n", length);
    if (!co_await this->write_head(std::move(framing)))
        co_return false;
    if (!co_await this->write_piece(body, has_chunks, 0))
        co_return false;
    if (this->style.framing != Framing::Usual)
        co_return false;
    co_return co_await this->end();
}

Task<bool> AnswerWriter::write_events(EventRange range)
{
    if (this->style.endless != AnswerStyle::Endless::Nothing) {
        co_await this->write_endless();
        co_return false;
    }
    if (!co_await this->begin())
        co_return false;
    auto const broken_event = this->broken_event(range);
    bool const is_broken_in_order = broken_event != 0 && this->style.break_off != AnswerStyle::BreakOff::Reset;
    bool const has_chunks = this->style.framing != Framing::Connection
        && !(is_broken_in_order && this->style.break_off == AnswerStyle::BreakOff::Orderly);
    std::string framing = "Content-Type: text/event-stream\r\n";
    if (has_chunks)
        framing += "Transfer-Encoding: chunked\r\n";
    if (!co_await this->write_head(std::move(framing)))
        co_return false;
    std::string waiting;
    for (int number = range.first; number <= range.last; ++number) {
        co_await Gateway::sleep_for(range.pause);
        if (this->style.silence == AnswerStyle::Silence::InStream && number == (range.first + range.last) / 2)
            co_await Gateway::sleep_for(silence);
        if (number == broken_event) {
            auto event = this->event(number);
            event.resize(event.size() / 2);
            waiting += event;
            co_await this->break_off(waiting, has_chunks);
            co_return false;
        }
        waiting += this->event(number);
        if (this->style.write == AnswerStyle::Write::AllEvents && number != range.last)
            continue;
        auto const piece = std::exchange(waiting, {});
        bool const is_cut = number == range.last && this->style.framing == Framing::TooLong;
        if (!co_await this->write_piece(piece, has_chunks, is_cut ? missing_bytes : 0))
            co_return false;
    }
    if (!has_chunks || this->style.framing != Framing::Usual)
        co_return false;
    std::string const end_of_chunks(last_chunk);
    if (!co_await this->session.send(end_of_chunks))
        co_return false;
    co_return co_await this->end();
}

Task<bool> AnswerWriter::begin()
{
    if (this->style.silence == AnswerStyle::Silence::ForGood) {
        co_await wait_for_other_side(this->session.socket);
        co_return false;
    }
    if (this->style.silence == AnswerStyle::Silence::BeforeHead)
        co_await Gateway::sleep_for(silence);
    switch (this->style.before) {
    case AnswerStyle::Before::InterimAnswer:
        co_return co_await this->session.send("HTTP/1.1 103 Early Hints\r\n\r\n");
    case AnswerStyle::Before::OtherAnswer: {
        auto const other = this->other_answer();
        co_return co_await this->session.send(other);
    }
    case AnswerStyle::Before::Garbage:
        static_cast<void>(co_await this->session.send(garbage));
        co_return false;
    case AnswerStyle::Before::Nothing:
        break;
    }
    co_return true;
}

Task<bool> AnswerWriter::end()
{
    bool is_open = true;
    if (this->style.behind == AnswerStyle::Behind::Garbage)
        is_open = co_await this->session.send(garbage);
    if (this->style.behind == AnswerStyle::Behind::OtherAnswer) {
        auto const other = this->other_answer();
        is_open = co_await this->session.send(other);
    }
    if (this->style.end == AnswerStyle::End::Reset)
        this->reset();
    co_return is_open&& this->style.end == AnswerStyle::End::KeepsConnection;
}

Task<bool> AnswerWriter::write_head(std::string framing)
{
    std::string head = this->style.has_failed ? "HTTP/1.1 500 Internal Server Error\r\n" : "HTTP/1.1 200 OK\r\n";
    if (this->style.has_no_status)
        head = "HTTP/1.1 000 OK\r\n";
    if (this->style.has_odd_field)
        head += "X Standin: 1\r\n";
    if (this->style.has_echo)
        head += "X-Attempt-Id: " + this->text.attempt + "\r\n";
    head += this->text.fields + framing;
    if (this->style.end == AnswerStyle::End::AnnouncedClose)
        head += "Connection: close\r\n";
    if (this->style.names_encoding)
        head += "Content-Encoding: identity\r\n";
    if (this->style.has_long_head)
        head += "X-Standin-Filler: " + std::string(long_field_bytes, 'f') + "\r\n";
    head += "\r\n";
    if (!this->style.has_head_in_pieces)
        co_return co_await this->session.send(head);
    auto const first_half = head.substr(0, head.size() / 2);
    auto const second_half = head.substr(first_half.size());
    if (!co_await this->session.send(first_half))
        co_return false;
    co_await Gateway::sleep_for(pause_between_pieces);
    co_return co_await this->session.send(second_half);
}

Task<bool> AnswerWriter::write_piece(std::string const& piece, bool has_chunks, std::size_t missing)
{
    auto const bytes = has_chunks ? fmt::format("{:x}\r\n{}\r\n", piece.size() + missing, piece) : piece;
    if (this->style.write != AnswerStyle::Write::Byte)
        co_return co_await this->session.send(bytes);
    for (auto const byte : bytes) {
        std::string const single(1, byte);
        if (!co_await this->session.send(single))
            co_return false;
    }
    co_return true;
}

Task<void> AnswerWriter::break_off(std::string const& rest, bool has_chunks)
{
    static_cast<void>(co_await this->write_piece(rest, has_chunks, 0));
    if (this->style.break_off == AnswerStyle::BreakOff::Reset)
        this->reset();
}

std::string AnswerWriter::event(int number) const
{
    std::string_view line_end = "\n";
    if (this->style.line_end == AnswerStyle::LineEnd::CrLf)
        line_end = "\r\n";
    if (this->style.line_end == AnswerStyle::LineEnd::Cr)
        line_end = "\r";
    return fmt::format("id: {}{}data: {}:{}{}{}", number, line_end, this->text.attempt, number, line_end, line_end);
}

std::string AnswerWriter::other_answer() const
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: other-" + this->text.attempt + "\r\nContent-Length: 5\r\n\r\nother";
}

int AnswerWriter::broken_event(EventRange const& range) const
{
    if (this->style.break_off == AnswerStyle::BreakOff::Nowhere)
        return range.broken_event;
    auto const count = static_cast<double>(range.last - range.first + 1);
    return range.first + static_cast<int>(this->style.break_place * count);
}

void AnswerWriter::reset()
{
    Gateway::error_code ignored;
    this->session.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->session.socket.close(ignored);
}

}
