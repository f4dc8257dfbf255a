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

/// The inclusive range of valid values of a number.
struct Range
{
  int64_t m_min = 0;
  int64_t m_max = INT64_MAX;
};

/// The errors of one document. They are collected so that all of them are
/// reported at once.
struct SettingsErrors
{
  std::vector<core::InvalidSetting> m_errors;
};

/// Reads the fields of one JSON object and records an error for each field that
/// is missing, unknown or invalid. Functions whose names end in "Or" read an
/// optional field and return the default if it is missing or invalid.
class SettingsReader
{
public:
  /// Reads aValue, which has to outlive the reader. aPath is its JSON path in
  /// error messages.
  SettingsReader(const boost::json::value& aValue,
                 std::string_view aPath,
                 SettingsErrors& aErrors);

  /// Records an error for each field of the object that was never requested.
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Reads a required string, which may not be empty.
  std::string Text(std::string_view aName);
  /// Reads a required string of any length, also an empty one.
  std::string AnyText(std::string_view aName);
  std::string TextOr(std::string_view aName, std::string_view aDefault);
  /// Reads a required integer.
  int64_t Integer(std::string_view aName, Range aRange);
  int64_t IntegerOr(std::string_view aName, Range aRange, int64_t aDefault);
  double NumberOr(std::string_view aName,
                  double aMin,
                  double aMax,
                  double aDefault);
  bool FlagOr(std::string_view aName, bool aDefault);
  /// Reads an integer number of milliseconds.
  core::Duration MillisecondsOr(std::string_view aName,
                                Range aRange,
                                core::Duration aDefault);
  /// Reads one of the strings aChoices and returns its index.
  size_t ChoiceOr(std::string_view aName,
                  std::span<const std::string_view> aChoices,
                  size_t aDefault);
  /// Reads an optional array of strings; returns an empty vector if it is
  /// missing.
  std::vector<std::string> OptionalTexts(std::string_view aName);

  /// Returns the value of an optional field of any type, or nullptr if it is
  /// missing.
  const boost::json::value* OptionalValue(std::string_view aName);

  /// Calls aVisit(element, path) for each element of an optional array.
  template<typename Visit>
  void ForEach(std::string_view aName, Visit&& aVisit)
  {
    const boost::json::value* array = OptionalValue(aName);
    if (array == nullptr) {
      return;
    }
    if (!array->is_array()) {
      AddError(aName, *array, "an array");
      return;
    }
    size_t index = 0;
    for (const boost::json::value& element : array->get_array()) {
      const std::string path =
        PathOf(aName) + "[" + std::to_string(index++) + "]";
      aVisit(element, std::string_view(path));
    }
  }

  /// Returns the JSON path of a field of this object.
  std::string PathOf(std::string_view aName) const;
  /// The errors recorded so far; callers may add their own.
  SettingsErrors& Errors() { return m_errors; }

private:
  void AddError(std::string_view aName,
                const boost::json::value& aValue,
                std::string_view aExpected);
  void AddMissingError(std::string_view aName, std::string_view aExpected);

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  SettingsErrors& m_errors;
  std::set<std::string, std::less<>> m_requestedFields;
};

} // namespace heatherdeal::kernel
