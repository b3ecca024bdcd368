#include "Net/HttpHead.h"
#include "Net/HttpStatus.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheearch {

namespace {

char toAsciiLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Calls \p visit for each element of a comma-separated list.
template <typename Visit>
void forEachElement(std::string_view list, Visit visit)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        visit(trimmed(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

/// Heap memory of a text; short ones are stored within the object.
std::size_t heapBytes(const std::string &text)
{
    static const std::size_t inObject = std::string().capacity();
    return text.capacity() > inObject ? text.capacity() : 0;
}

void appendFields(std::string &text, const HttpFields &fields)
{
    for (const HttpField &field : fields.all()) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text.append("\r\n");
}

} // namespace

std::size_t HttpFields::memoryBytes() const
{
    std::size_t bytes = m_fields.capacity() * sizeof(HttpField);
    for (const HttpField &field : m_fields) {
        bytes += heapBytes(field.name) + heapBytes(field.value);
    }
    return bytes;
}

std::size_t memoryBytes(const HttpRequestHead &head)
{
    return heapBytes(head.method) + heapBytes(head.target) + head.fields.memoryBytes();
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return toAsciiLower(a) == toAsciiLower(b); });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || text.empty()) {
        return std::nullopt;
    }
    return value;
}

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void HttpFields::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [&](const HttpField &field) { return equalIgnoringCase(field.name, name); });
}

const std::string *HttpFields::find(std::string_view name) const
{
    for (const HttpField &field : m_fields) {
        if (equalIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(),
                      [&](const HttpField &field) { return equalIgnoringCase(field.name, name); }));
}

bool HttpFields::hasToken(std::string_view name, std::string_view token) const
{
    bool found = false;
    for (const HttpField &field : m_fields) {
        if (equalIgnoringCase(field.name, name)) {
            forEachElement(field.value, [&](std::string_view element) {
                found = found || equalIgnoringCase(element, token);
            });
        }
    }
    return found;
}

bool HttpResponseHead::isCloseDelimited() const
{
    return !chunked && !contentLength && status != HttpStatus::NoContent
        && status != HttpStatus::NotModified;
}

void removeConnectionFields(HttpFields &fields, std::span<const std::string_view> endToEnd)
{
    static constexpr std::array<std::string_view, 9> standard = {
        "connection",          "keep-alive", "proxy-connection",  "te",    "trailer",
        "proxy-authorization", "upgrade",    "transfer-encoding", "expect"};
    std::vector<std::string> nominated;
    for (const HttpField &field : fields.all()) {
        if (equalIgnoringCase(field.name, "connection")) {
            forEachElement(field.value,
                           [&](std::string_view element) { nominated.emplace_back(element); });
        }
    }
    for (const std::string &name : nominated) {
        const bool kept =
            std::any_of(endToEnd.begin(), endToEnd.end(),
                        [&](std::string_view other) { return equalIgnoringCase(name, other); });
        if (!kept) {
            fields.remove(name);
        }
    }
    for (const std::string_view name : standard) {
        fields.remove(name);
    }
}

std::string serializeRequestHead(const HttpRequestHead &head)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendFields(text, head.fields);
    return text;
}

std::string serializeResponseHead(int status, std::string_view reason, const HttpFields &fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason).append("\r\n");
    appendFields(text, fields);
    return text;
}

std::string_view reasonPhrase(int status)
{
    struct Phrase
    {
        int status;
        std::string_view text;
    };
    static constexpr std::array<Phrase, 15> phrases = {{
        {200, "OK"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {411, "Length Required"},
        {413, "Payload Too Large"},
        {421, "Misdirected Request"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    }};
    for (const Phrase &phrase : phrases) {
        if (phrase.status == status) {
            return phrase.text;
        }
    }
    return "Unknown";
}

std::string serializeChunk(std::string_view bytes)
{
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    constexpr int hexadecimal = 16;
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), hexadecimal);
    std::string text(digits.data(), end.ptr);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

} // namespace lycheearch
