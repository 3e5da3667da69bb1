#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace Standin {

/// How a stand-in endpoint answers one request: what it does that the protocol allows or that a broken endpoint does.
struct AnswerStyle {
    enum class Framing {
        /// A length, or chunks for a stream.
        Usual,
        /// Neither; the connection ends the answer.
        Connection,
        /// A length, or a chunk's size, that is larger than what follows, and then the connection's end.
        TooLong,
        /// Chunks without the last one, and then the connection's end.
        NoLastChunk,
    };
    enum class Before {
        Nothing,
        /// An interim answer (103).
        InterimAnswer,
        /// A whole answer to a request of another client.
        OtherAnswer,
        /// Bytes that are no answer, and then the connection's end.
        Garbage,
    };
    enum class Behind {
        Nothing,
        /// Bytes that are no answer.
        Garbage,
        /// A whole answer to a request of another client.
        OtherAnswer,
    };
    enum class End {
        KeepsConnection,
        /// Says so in the answer's head.
        AnnouncedClose,
        UnannouncedClose,
        Reset,
    };
    /// Where a stream breaks off.
    enum class BreakOff {
        Nowhere,
        /// Inside an event, by an orderly close of an answer without length or chunks.
        Orderly,
        /// Inside an event, by a reset.
        Reset,
    };
    enum class Silence {
        None,
        BeforeHead,
        InStream,
        /// Answers nothing, and keeps the connection until the other side closes it.
        ForGood,
    };
    enum class LineEnd {
        Lf,
        CrLf,
        Cr,
    };
    /// What is sent without end, until the other side closes the connection.
    enum class Endless {
        Nothing,
        /// The fields of the answer's head.
        Head,
        InterimAnswers,
        /// Whole answers to requests of other clients.
        OtherAnswers,
        /// The extension of the first chunk.
        ChunkExtension,
        /// The trailers behind the last chunk.
        Trailers,
        /// The body of an answer that reports an error.
        FailedBody,
        /// The second event of a stream.
        Event,
    };
    /// What a single write holds.
    enum class Write {
        Event,
        AllEvents,
        Byte,
    };

    Framing framing { Framing::Usual };
    Before before { Before::Nothing };
    Behind behind { Behind::Nothing };
    End end { End::KeepsConnection };
    BreakOff break_off { BreakOff::Nowhere };
    Silence silence { Silence::None };
    Endless endless { Endless::Nothing };
    LineEnd line_end { LineEnd::Lf };
    Write write { Write::Event };
    bool has_echo { true };
    bool has_long_head { false };
    bool has_head_in_pieces { false };
    bool names_encoding { false };
    /// Whether the first line has the status 000.
    bool has_no_status { false };
    /// Whether the head names a field with a blank in it.
    bool has_odd_field { false };
    /// Whether the answer reports an error after the request ran.
    bool has_failed { false };
    /// Where a stream breaks off: a fraction of its events.
    double break_place { 0.5 };

    auto operator<=>(AnswerStyle const&) const = default;
};

/// The style with this name in a behaviour file.
[[nodiscard]] std::optional<AnswerStyle> find_answer_style(std::string_view name);
[[nodiscard]] std::vector<std::string_view> answer_style_names();

}
