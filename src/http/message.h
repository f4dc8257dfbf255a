#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "http/body.h"

namespace heatherdeal::http {

/// A header field.
struct Header
{
  std::string m_name;
  std::string m_value;
};

/// A complete request. The target consists of a path and an optional query.
struct Request
{
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<Header> m_headers;
  Body m_body;
  /// The id that the response repeats; "" if it repeats none. The client does
  /// not send a request on a connection that has carried its id before: a late
  /// copy of the earlier response could not be told from the response to it.
  std::string m_repeatedId;
};

/// Status code and headers of a response.
struct ResponseHead
{
  uint32_t m_status = 200;
  std::vector<Header> m_headers;
  /// Set by the client if the connection carried other requests before. The
  /// response may then be a late copy of one to them.
  bool m_isOnUsedConnection = false;
  /// Set by the client if it sent the request before, on a connection that
  /// failed: the peer may have executed it, whatever this response says.
  bool m_isOfSecondTry = false;
};

/// A complete response.
struct Response
{
  ResponseHead m_head;
  std::string m_body;
  /// Bytes of the budget that the body occupies until it was sent, if any.
  std::shared_ptr<const void> m_reservation;
};

/// True if the header names are equal, ignoring case.
bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header of this name, ignoring case, or "" if
/// there is none.
std::string_view
FindHeader(std::span<const Header> aHeaders, std::string_view aName);

/// True if the name can be sent in a head: a token of RFC 9110.
bool
IsHeaderName(std::string_view aName);

/// True if the value can be sent in a head without ending its line.
bool
IsHeaderValue(std::string_view aValue);

/// True if the target can be sent in a request line: it begins with a slash and
/// holds neither spaces nor control characters.
bool
IsTarget(std::string_view aTarget);

/// Returns the headers that do not concern a single connection only.
std::vector<Header>
CopyEndToEndHeaders(std::span<const Header> aHeaders);

/// Returns the target without its query.
std::string_view
PathOf(std::string_view aTarget);

/// Returns the value of a query parameter without percent-decoding, or nullopt
/// if it is missing.
std::optional<std::string_view>
QueryValue(std::string_view aTarget, std::string_view aName);

/// Returns the text with each character percent-encoded that may have a meaning
/// in a target.
std::string
EscapeQueryValue(std::string_view aText);

/// Returns a query parameter as a decimal number, or nullopt if it is missing
/// or not a number.
std::optional<uint64_t>
QueryNumber(std::string_view aTarget, std::string_view aName);

} // namespace heatherdeal::http
