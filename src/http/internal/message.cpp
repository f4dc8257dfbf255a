#include "http/message.h"

#include <algorithm>
#include <charconv>

#include "boost/beast/core/string.hpp"

namespace heatherdeal::http {

namespace {

constexpr std::string_view kConnectionHeaders[] = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
  "TE",         "Trailer",    "Upgrade",          "Content-Length",
};

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
