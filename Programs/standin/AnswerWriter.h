#pragma once

#include "AnswerStyle.h"
#include "HttpSession.h"

namespace Standin {

/// What a stand-in endpoint answers to one request, in whatever style.
struct AnswerText {
    /// The client's id of the request, which the answer's head echoes.
    std::string attempt;
    /// The other fields of the head. Each ends with a line end.
    std::string fields;
};

/// The events that are still to be sent of a stream.
struct EventRange {
    int first { 1 };
    int last { 0 };
    /// Inside this event the stream breaks off; 0 for none but what the style says.
    int broken_event { 0 };
    /// Time before each event.
    Core::Duration pause { 0 };
};

/// Writes one answer to a session in a style.
class AnswerWriter {
public:
    AnswerWriter(Session& session, AnswerStyle const& style, AnswerText text)
        : session(session)
        , style(style)
        , text(std::move(text))
    {
    }

    /// Writes an answer that is no stream. Returns whether the session goes on.
    [[nodiscard]] Task<bool> write_body(std::string body);
    /// Writes a stream of events. Returns whether the session goes on.
    [[nodiscard]] Task<bool> write_events(EventRange range);

private:
    /// Writes bytes without end, until the other side closes the connection.
    [[nodiscard]] Task<void> write_endless();
    /// Writes what precedes the answer. Returns whether the answer follows.
    [[nodiscard]] Task<bool> begin();
    /// Writes what follows a whole answer. Returns whether the session goes on.
    [[nodiscard]] Task<bool> end();
    [[nodiscard]] Task<bool> write_head(std::string framing);
    /// Writes a part of the body, as a chunk if the answer has chunks. The chunk's size promises `missing` bytes more.
    [[nodiscard]] Task<bool> write_piece(std::string const& piece, bool has_chunks, std::size_t missing);
    /// Writes the rest of what is sent, which ends inside an event, and breaks the answer off.
    [[nodiscard]] Task<void> break_off(std::string const& rest, bool has_chunks);
    [[nodiscard]] std::string event(int number) const;
    [[nodiscard]] std::string other_answer() const;
    /// The event inside which the stream breaks off; 0 for none.
    [[nodiscard]] int broken_event(EventRange const& range) const;
    void reset();

    Session& session;
    AnswerStyle style;
    AnswerText text;
};

}
