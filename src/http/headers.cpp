/** @file headers.cpp Selection of the header fields that the proxy forwards. */
#include "http/headers_func.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace teaselreach::http {

namespace {

// RFC 9110 section 7.6.1, with the framing fields that each hop sets for itself.
constexpr std::array<std::string_view, 11> hopByHopNames {"connection",
                                                          "keep-alive",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "proxy-connection",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "content-length",
                                                          "expect"};
constexpr std::array<std::string_view, 3> requestOnlyNames {"authorization", "host",
                                                            "x-deadline-ms"};
constexpr std::array<std::string_view, 4> loadReportNames {"x-load-busy", "x-load-slots",
                                                           "x-draining", "x-not-run"};
constexpr std::string_view internalPrefix = "x-teaselreach-";

template <std::size_t N>
bool contains(const std::array<std::string_view, N> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return equalIgnoringCase(other, name); });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/** @return The names that Connection fields declare as hop-by-hop. */
std::vector<std::string> connectionTokens(const Headers &headers)
{
    std::vector<std::string> tokens;
    for (const Header &header : headers) {
        if (!equalIgnoringCase(header.name, "connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            tokens.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return tokens;
}

bool hasInternalPrefix(std::string_view name)
{
    return name.size() >= internalPrefix.size()
        && equalIgnoringCase(name.substr(0, internalPrefix.size()), internalPrefix);
}

template <std::size_t N>
Headers filterHeaders(const Headers &headers, const std::array<std::string_view, N> &names)
{
    const std::vector<std::string> tokens = connectionTokens(headers);
    Headers kept;
    for (const Header &header : headers) {
        if (contains(hopByHopNames, header.name) || contains(names, header.name))
            continue;
        if (hasInternalPrefix(header.name))
            continue;
        const bool listedInConnection =
            std::any_of(tokens.begin(), tokens.end(), [&header](const std::string &token) {
                return equalIgnoringCase(token, header.name);
            });
        if (listedInConnection)
            continue;
        kept.push_back(header);
    }
    return kept;
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

bool isFieldName(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char character) {
        return std::isalnum(character) != 0
            || marks.find(static_cast<char>(character)) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    constexpr int asciiDelete = 0x7f;
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return (character < ' ' && character != '\t') || character == asciiDelete;
    });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (equalIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

Headers forwardableHeaders(const Headers &headers)
{
    return filterHeaders(headers, requestOnlyNames);
}

Headers returnableHeaders(const Headers &headers)
{
    return filterHeaders(headers, loadReportNames);
}

} // namespace teaselreach::http
