#include "TransferCoding.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace mulberrywall::http
{

static bool isChunked(const std::string &coding)
{
    return boost::beast::iequals(coding, "chunked");
}

/// Returns the codings of all fields in order. Empty list elements are skipped, as HTTP lists allow them.
static std::vector<std::string> codingsOf(const boost::beast::http::fields &fields)
{
    std::vector<std::string> codings;
    const auto [first, last] = fields.equal_range(Field::transfer_encoding);
    for (auto field = first; field != last; ++field) {
        std::vector<std::string> elements;
        boost::algorithm::split(elements, std::string(field->value()), boost::algorithm::is_any_of(","));
        for (std::string &element : elements) {
            boost::algorithm::trim_if(element, boost::algorithm::is_any_of(" \t"));
            if (!element.empty()) {
                codings.push_back(std::move(element));
            }
        }
    }
    return codings;
}

TransferCoding transferCodingOf(const boost::beast::http::fields &fields)
{
    if (fields.find(Field::transfer_encoding) == fields.end()) {
        return TransferCoding::None;
    }
    const std::vector<std::string> codings = codingsOf(fields);
    if (codings.empty() || !isChunked(codings.back()) || std::ranges::count_if(codings, isChunked) > 1) {
        return TransferCoding::Unframed;
    }
    return codings.size() == 1 ? TransferCoding::Chunked : TransferCoding::UnsupportedInChunks;
}

} // namespace mulberrywall::http
