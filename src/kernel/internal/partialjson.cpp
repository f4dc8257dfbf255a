#include "kernel/partialjson.h"

#include <algorithm>

#include "kernel/internal/jsonscanner.h"
#include "kernel/json.h"

namespace heatherdeal::kernel {

namespace {

namespace json = boost::json;

// What is nested more deeply counts as a whole. The entries of a list stand
// well above.
constexpr size_t kMaxDepth = 8;
// How often each byte of a document may be scanned on average. Without a limit,
// a list of broken elements could take quadratic time.
constexpr size_t kMaxScansPerByte = 32;
constexpr size_t kMinScanBytes = 64UL * 1024;
// The ends of arrays that are tried for a list whose last element is broken.
constexpr size_t kMaxArrayEndsTried = 16;

/// Reads the values of a document whose text the parser does not accept.
class PartialJsonReader
{
public:
  PartialJsonReader(std::string_view aText, const PartialJsonRules& aRules)
    : m_scanner(aText, aText.size() * kMaxScansPerByte + kMinScanBytes)
    , m_rules(aRules)
  {
  }

  json::value ReadDocument()
  {
    m_position = m_scanner.SkipSpace(0);
    return ReadValue();
  }

private:
  json::value ReadValue()
  {
    const std::optional<size_t> end = m_scanner.FindEnd(m_position);
    if (end) {
      const auto value = ParseJson(Slice(m_position, *end), "value");
      if (value.ok()) {
        m_position = *end;
        return *value;
      }
    }
    const char first = m_scanner.At(m_position);
    const bool hasParts = first == '{' || first == '[';
    if (hasParts && m_depth < kMaxDepth) {
      m_depth += 1;
      json::value value =
        first == '{' ? json::value(ReadObject()) : json::value(ReadArray());
      m_depth -= 1;
      return value;
    }
    SkipTo(end);
    return nullptr;
  }

  json::value ReadMember(std::string_view aName)
  {
    if (std::ranges::find(m_rules.m_wholeMembers, aName) ==
        m_rules.m_wholeMembers.end()) {
      return ReadValue();
    }
    const std::optional<size_t> end = m_scanner.FindEnd(m_position);
    const size_t begin = m_position;
    SkipTo(end);
    const auto value = end ? ParseJson(Slice(begin, *end), "value")
                           : absl::StatusOr<json::value>(nullptr);
    return value.ok() ? *value : nullptr;
  }

  json::object ReadObject()
  {
    json::object object;
    m_position = m_scanner.SkipSpace(m_position + 1);
    while (!m_isBroken && !TakeIf('}')) {
      const std::optional<std::string> name = ReadName();
      if (!name || !TakeIf(':')) {
        m_isBroken = true;
        break;
      }
      object[*name] = ReadMember(*name);
      m_position = m_scanner.SkipSpace(m_position);
      if (!m_isBroken && !TakeIf(',') && m_scanner.At(m_position) != '}') {
        m_isBroken = true;
      }
    }
    return object;
  }

  /// Returns the name of a member, "" if it can't be read, or nothing if there
  /// is none.
  std::optional<std::string> ReadName()
  {
    const size_t begin = m_position;
    const std::optional<size_t> end =
      m_scanner.At(begin) == '"' ? m_scanner.FindEnd(begin) : std::nullopt;
    if (!end) {
      return std::nullopt;
    }
    m_position = m_scanner.SkipSpace(*end);
    const auto name = ParseJson(Slice(begin, *end), "name");
    return name.ok() ? std::string(name->get_string()) : std::string();
  }

  json::array ReadArray()
  {
    json::array array;
    m_position = m_scanner.SkipSpace(m_position + 1);
    while (!m_isBroken && !TakeIf(']')) {
      if (m_scanner.FindEnd(m_position)) {
        array.push_back(ReadValue());
      } else {
        array.push_back(ReadBrokenElement());
      }
      SkipToSeparator();
    }
    return array;
  }

  /// Reads the beginning of an element whose brackets don't match, and goes on
  /// at the next element or at the end of the array.
  json::value ReadBrokenElement()
  {
    const size_t begin = m_position;
    const std::optional<size_t> next = FindNextElement(begin + 1);
    const std::optional<size_t> end = next ? next : FindArrayEnd(begin + 1);
    SkipTo(end);
    PartialJsonReader element(Slice(begin, end.value_or(m_scanner.Size())),
                              m_rules);
    element.m_depth = m_depth + 1;
    return m_depth < kMaxDepth && m_scanner.At(begin) == '{'
             ? json::value(element.ReadObject())
             : json::value(nullptr);
  }

  /// Returns where the next sound element begins.
  std::optional<size_t> FindNextElement(size_t aFrom)
  {
    for (size_t comma = m_scanner.Find(',', aFrom);
         comma < m_scanner.Size() && !m_scanner.IsExhausted();
         comma = m_scanner.Find(',', comma + 1)) {
      const size_t begin = m_scanner.SkipSpace(comma + 1);
      const std::optional<size_t> end =
        m_scanner.At(begin) == '{' ? m_scanner.FindEnd(begin) : std::nullopt;
      if (end && IsElement(Slice(begin, *end))) {
        return begin;
      }
    }
    return std::nullopt;
  }

  bool IsElement(std::string_view aText)
  {
    PartialJsonReader reader(aText, m_rules);
    return m_rules.m_isElement != nullptr &&
           m_rules.m_isElement(reader.ReadDocument());
  }

  /// Returns the end of the array whose last element is broken: the members
  /// after it are the rest of a sound object.
  std::optional<size_t> FindArrayEnd(size_t aFrom)
  {
    size_t end = m_scanner.Size();
    for (size_t i = 0; i < kMaxArrayEndsTried; ++i) {
      end = m_scanner.FindLast(']', end);
      if (end == std::string_view::npos || end < aFrom) {
        return std::nullopt;
      }
      const std::string rest = "[0" + std::string(Slice(end, m_scanner.Size()));
      const std::string object = R"({"":)" + rest;
      JsonScanner scanner(object, object.size() + 1);
      if (scanner.FindEnd(0)) {
        return end;
      }
    }
    return std::nullopt;
  }

  /// Goes to the next element of an array, or to its end. What else follows an
  /// element is skipped.
  void SkipToSeparator()
  {
    m_position = m_scanner.SkipSpace(m_position);
    while (m_scanner.At(m_position) == '}') {
      m_position = m_scanner.SkipSpace(m_position + 1);
    }
    const char next = m_scanner.At(m_position);
    if (!TakeIf(',') && next != ']' && next != '{') {
      const std::optional<size_t> element = FindNextElement(m_position);
      SkipTo(element ? element : FindArrayEnd(m_position));
    }
  }

  bool TakeIf(char aCharacter)
  {
    if (m_scanner.At(m_position) != aCharacter) {
      return false;
    }
    m_position = m_scanner.SkipSpace(m_position + 1);
    return true;
  }

  void SkipTo(std::optional<size_t> aEnd)
  {
    m_isBroken = m_isBroken || !aEnd;
    m_position = aEnd.value_or(m_scanner.Size());
  }

  std::string_view Slice(size_t aBegin, size_t aEnd) const
  {
    return m_scanner.Text().substr(aBegin, aEnd - aBegin);
  }

  JsonScanner m_scanner;
  const PartialJsonRules& m_rules;
  size_t m_position = 0;
  size_t m_depth = 0;
  /// True if the structure after m_position is not known.
  bool m_isBroken = false;
};

} // namespace

absl::StatusOr<json::value>
ParsePartialJson(std::string_view aText,
                 std::string_view aDocumentName,
                 const PartialJsonRules& aRules)
{
  absl::StatusOr<json::value> document = ParseJson(aText, aDocumentName);
  if (document.ok()) {
    return document;
  }
  PartialJsonReader reader(aText, aRules);
  json::value partial = reader.ReadDocument();
  if (!partial.is_object() && !partial.is_array()) {
    return document;
  }
  return partial;
}

} // namespace heatherdeal::kernel
