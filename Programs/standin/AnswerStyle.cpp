#include "AnswerStyle.h"

#include <algorithm>
#include <array>

namespace Standin {

namespace {

struct NamedStyle {
    std::string_view name;
    AnswerStyle style;
};

constexpr std::array named_styles {
    NamedStyle { "ends_with_connection", { .framing = AnswerStyle::Framing::Connection } },
    NamedStyle { "length_too_long", { .framing = AnswerStyle::Framing::TooLong } },
    NamedStyle { "last_chunk_missing", { .framing = AnswerStyle::Framing::NoLastChunk } },
    NamedStyle { "interim_answer_first", { .before = AnswerStyle::Before::InterimAnswer } },
    NamedStyle { "other_answer_first", { .before = AnswerStyle::Before::OtherAnswer } },
    NamedStyle { "no_http", { .before = AnswerStyle::Before::Garbage } },
    NamedStyle { "bytes_behind", { .behind = AnswerStyle::Behind::Garbage } },
    NamedStyle { "other_answer_behind", { .behind = AnswerStyle::Behind::OtherAnswer } },
    NamedStyle { "close_announced", { .end = AnswerStyle::End::AnnouncedClose } },
    NamedStyle { "close_unannounced", { .end = AnswerStyle::End::UnannouncedClose } },
    NamedStyle { "reset_behind", { .end = AnswerStyle::End::Reset } },
    NamedStyle { "broken_off", { .break_off = AnswerStyle::BreakOff::Orderly } },
    NamedStyle { "broken_off_by_reset", { .break_off = AnswerStyle::BreakOff::Reset } },
    NamedStyle { "silent_before_head", { .silence = AnswerStyle::Silence::BeforeHead } },
    NamedStyle { "silent_in_stream", { .silence = AnswerStyle::Silence::InStream } },
    NamedStyle { "silent_for_good", { .silence = AnswerStyle::Silence::ForGood } },
    NamedStyle { "events_with_crlf", { .line_end = AnswerStyle::LineEnd::CrLf } },
    NamedStyle { "events_with_cr", { .line_end = AnswerStyle::LineEnd::Cr } },
    NamedStyle { "events_in_one_write", { .write = AnswerStyle::Write::AllEvents } },
    NamedStyle { "event_in_many_writes", { .write = AnswerStyle::Write::Byte } },
    NamedStyle { "echo_missing", { .has_echo = false } },
    NamedStyle { "long_head", { .has_long_head = true } },
    NamedStyle { "head_in_pieces", { .has_head_in_pieces = true } },
    NamedStyle { "encoding_named", { .names_encoding = true } },
    NamedStyle { "status_zero", { .has_no_status = true } },
    NamedStyle { "field_name_with_blank", { .has_odd_field = true } },
    NamedStyle { "failed", { .has_failed = true } },
    NamedStyle { "head_without_end", { .endless = AnswerStyle::Endless::Head } },
    NamedStyle { "interim_answers_without_end", { .endless = AnswerStyle::Endless::InterimAnswers } },
    NamedStyle { "other_answers_without_end", { .endless = AnswerStyle::Endless::OtherAnswers } },
    NamedStyle { "chunk_extension_without_end", { .endless = AnswerStyle::Endless::ChunkExtension } },
    NamedStyle { "trailers_without_end", { .endless = AnswerStyle::Endless::Trailers } },
    NamedStyle { "event_without_end", { .endless = AnswerStyle::Endless::Event } },
    NamedStyle { "failed_body_without_end", { .endless = AnswerStyle::Endless::FailedBody } },
};

}

std::optional<AnswerStyle> find_answer_style(std::string_view name)
{
    auto const* const found = std::ranges::find(named_styles, name, &NamedStyle::name);
    if (found == named_styles.end())
        return {};
    return found->style;
}

std::vector<std::string_view> answer_style_names()
{
    std::vector<std::string_view> names;
    names.reserve(named_styles.size());
    for (auto const& named : named_styles)
        names.push_back(named.name);
    return names;
}

}
