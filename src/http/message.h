#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::http {

struct Header
{
  std::string m_name;
  std::string m_value;
};

/// A whole request; the target holds path and query.
struct Request
{
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<Header> m_headers;
  std::string m_body;
};

/// Status and headers of an answer.
struct AnswerHead
{
  uint32_t m_status = 200;
  std::vector<Header> m_headers;
};

/// A whole answer.
struct Answer
{
  AnswerHead m_head;
  std::string m_body;
};

/// True if both are one header name, in any case.
bool
IsHeader(std::string_view aLeft, std::string_view aRight);

/// The value of the first header of that name, any case; "" if none.
std::string_view
FindHeader(std::span<const Header> aHeaders, std::string_view aName);

/// The target without its query.
std::string_view
PathOf(std::string_view aTarget);

/// The value of a query parameter, as it stands; nothing if it is not there.
std::optional<std::string_view>
QueryValue(std::string_view aTarget, std::string_view aName);

/// The query parameter as a decimal number; nothing if it is none.
std::optional<uint64_t>
QueryNumber(std::string_view aTarget, std::string_view aName);

} // namespace heatherdeal::http
