#include <LibHttp/MessageFraming.h>

#include <vector>

namespace Http {

namespace {

constexpr unsigned http_1_1 = 11;
/// RFC 8297. The library has no name for it.
constexpr unsigned early_hints = 103;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_final_status = 599;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view white_space = " \t";
    auto const first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// The transfer codings in the order in which they were applied, of all fields together.
std::vector<std::string_view> transfer_codings(http::fields const& fields)
{
    std::vector<std::string_view> codings;
    auto const [begin, end] = fields.equal_range(http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field) {
        std::string_view list(field->value().data(), field->value().size());
        for (std::size_t comma = 0; comma != std::string_view::npos; list.remove_prefix(comma + 1)) {
            comma = list.find(',');
            if (auto const coding = trim(list.substr(0, comma)); !coding.empty())
                codings.push_back(coding);
            if (comma == std::string_view::npos)
                break;
        }
    }
    return codings;
}

bool is_chunked_coding(std::string_view coding)
{
    return boost::beast::iequals(boost::beast::string_view(coding.data(), coding.size()), "chunked");
}

}

std::string_view to_string(FramingFault fault)
{
    switch (fault) {
    case FramingFault::LastCodingNotChunked:
        return "the last transfer coding is not chunked";
    case FramingFault::UnsupportedCoding:
        return "a transfer coding other than chunked";
    case FramingFault::CodingInHttp10:
        return "a transfer coding in HTTP/1.0";
    case FramingFault::LengthBesideCoding:
        break;
    }
    return "a length beside a transfer coding";
}

std::optional<FramingFault> framing_fault(http::fields const& fields, unsigned version, bool is_chunked)
{
    if (fields.count(http::field::transfer_encoding) == 0)
        return {};
    if (version < http_1_1)
        return FramingFault::CodingInHttp10;
    if (fields.count(http::field::content_length) > 0)
        return FramingFault::LengthBesideCoding;
    auto const codings = transfer_codings(fields);
    if (codings.empty() || !is_chunked_coding(codings.back()))
        return FramingFault::LastCodingNotChunked;
    return codings.size() > 1 || !is_chunked ? std::optional(FramingFault::UnsupportedCoding) : std::nullopt;
}

bool is_interim_status(unsigned status)
{
    return status == static_cast<unsigned>(http::status::continue_)
        || status == static_cast<unsigned>(http::status::processing) || status == early_hints;
}

bool is_final_status(unsigned status)
{
    return status >= first_final_status && status <= last_final_status;
}

bool is_buffer_full(error_code error)
{
    return error == http::error::buffer_overflow;
}

}
