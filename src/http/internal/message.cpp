#include "http/message.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"
#include "boost/beast/core/string.hpp"

namespace heatherdeal::http {

namespace {

constexpr std::string_view kConnectionHeaders[] = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
  "TE",         "Trailer",    "Upgrade",          "Content-Length",
};

// The characters of a token beside letters and digits.
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool
IsControl(char aCharacter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(aCharacter);
  return code < kFirstPrintable || code == kDelete;
}

bool
IsConnectionHeader(std::string_view aName)
{
  return std::ranges::any_of(kConnectionHeaders, [aName](auto aHeader) {
    return IsSameHeaderName(aName, aHeader);
  });
}

} // namespace

bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

std::string_view
FindHeader(std::span<const Header> aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (IsSameHeaderName(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return {};
}

bool
IsHeaderName(std::string_view aName)
{
  return !aName.empty() && std::ranges::all_of(aName, [](char aCharacter) {
    return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
           kTokenPunctuation.find(aCharacter) != std::string_view::npos;
  });
}

bool
IsHeaderValue(std::string_view aValue)
{
  return std::ranges::none_of(aValue, [](char aCharacter) {
    return aCharacter != '\t' && IsControl(aCharacter);
  });
}

bool
IsTarget(std::string_view aTarget)
{
  return aTarget.starts_with('/') &&
         std::ranges::none_of(aTarget, [](char aCharacter) {
           return aCharacter == ' ' || IsControl(aCharacter);
         });
}

std::vector<Header>
CopyEndToEndHeaders(std::span<const Header> aHeaders)
{
  std::vector<Header> headers;
  std::ranges::copy_if(
    aHeaders, std::back_inserter(headers), [](const Header& aHeader) {
      return !IsConnectionHeader(aHeader.m_name);
    });
  return headers;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::optional<std::string_view>
QueryValue(std::string_view aTarget, std::string_view aName)
{
  const size_t begin = aTarget.find('?');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view query = aTarget.substr(begin + 1);
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string_view parameter = query.substr(0, end);
    const size_t equals = parameter.find('=');
    if (parameter.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string_view()
                                              : parameter.substr(equals + 1);
    }
    query = end == std::string_view::npos ? std::string_view()
                                          : query.substr(end + 1);
  }
  return std::nullopt;
}

std::string
EscapeQueryValue(std::string_view aText)
{
  constexpr std::string_view kUnreservedPunctuation = "-._~";
  std::string escaped;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (absl::ascii_isalnum(code) ||
        kUnreservedPunctuation.find(character) != std::string_view::npos) {
      escaped += character;
    } else {
      absl::StrAppendFormat(&escaped, "%%%02X", code);
    }
  }
  return escaped;
}

std::optional<uint64_t>
QueryNumber(std::string_view aTarget, std::string_view aName)
{
  const auto text = QueryValue(aTarget, aName);
  if (!text) {
    return std::nullopt;
  }
  uint64_t number = 0;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace heatherdeal::http
