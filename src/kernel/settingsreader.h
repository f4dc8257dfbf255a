#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::kernel {

/// Least and greatest value that a number may have, both allowed.
struct Range
{
  int64_t m_least = 0;
  int64_t m_greatest = INT64_MAX;
};

/// The errors of one document, collected so that all are reported at once.
struct SettingsErrors
{
  std::vector<core::InvalidSetting> m_errors;
};

/// Reads one JSON object and notes every field that is missing, unknown or
/// ill-typed. A parse function fills its aggregate through one reader.
class SettingsReader
{
public:
  /// aValue has to outlive the reader.
  SettingsReader(const boost::json::value& aValue,
                 std::string_view aPath,
                 SettingsErrors& aErrors);

  /// Notes each field that no call has asked for.
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  std::string Text(std::string_view aName);
  std::string TextOr(std::string_view aName, std::string_view aDefault);
  int64_t Integer(std::string_view aName, Range aRange);
  int64_t IntegerOr(std::string_view aName, Range aRange, int64_t aDefault);
  double NumberOr(std::string_view aName,
                  double aLeast,
                  double aGreatest,
                  double aDefault);
  bool FlagOr(std::string_view aName, bool aDefault);
  /// The field holds milliseconds.
  core::Duration MillisecondsOr(std::string_view aName,
                                Range aRange,
                                core::Duration aDefault);
  /// One of aChoices; returns its index.
  size_t ChoiceOr(std::string_view aName,
                  std::span<const std::string_view> aChoices,
                  size_t aDefault);
  std::vector<std::string> TextsOr(std::string_view aName);

  /// The value of an optional field of any type; null if it is not there.
  const boost::json::value* Optional(std::string_view aName);

  /// Calls aVisit(value, path) for each element of an optional array.
  template<typename Visit>
  void ForEach(std::string_view aName, Visit&& aVisit)
  {
    const boost::json::value* list = Optional(aName);
    if (list == nullptr) {
      return;
    }
    if (!list->is_array()) {
      Note(aName, *list, "an array");
      return;
    }
    size_t index = 0;
    for (const boost::json::value& element : list->get_array()) {
      const std::string path =
        PathOf(aName) + "[" + std::to_string(index++) + "]";
      aVisit(element, std::string_view(path));
    }
  }

  std::string PathOf(std::string_view aName) const;
  SettingsErrors& Errors() { return m_errors; }

private:
  void Note(std::string_view aName,
            const boost::json::value& aValue,
            std::string_view aExpected);
  void NoteMissing(std::string_view aName, std::string_view aExpected);

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  SettingsErrors& m_errors;
  std::set<std::string, std::less<>> m_asked;
};

} // namespace heatherdeal::kernel
