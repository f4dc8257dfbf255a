#include "kernel/settingsreader.h"

#include <algorithm>

#include "boost/json/serialize.hpp"

#include "kernel/unknownfield.h"

namespace heatherdeal::kernel {

namespace {

constexpr size_t kMaxShownValueBytes = 80;

std::string
FormatValue(const boost::json::value& aValue)
{
  std::string text = boost::json::serialize(aValue);
  if (text.size() > kMaxShownValueBytes) {
    text.resize(kMaxShownValueBytes);
    text += "...";
  }
  return text;
}

std::string
FormatRange(std::string_view aType, Range aRange)
{
  return std::string(aType) + " from " + std::to_string(aRange.m_min) + " to " +
         std::to_string(aRange.m_max);
}

} // namespace

SettingsReader::SettingsReader(const boost::json::value& aValue,
                               std::string_view aPath,
                               SettingsErrors& aErrors)
  : m_path(aPath)
  , m_errors(aErrors)
{
  if (aValue.is_object()) {
    m_object = &aValue.get_object();
    return;
  }
  m_errors.m_errors.push_back({ m_path, FormatValue(aValue), "an object" });
}

SettingsReader::~SettingsReader()
{
  if (m_object == nullptr) {
    return;
  }
  for (const auto& field : *m_object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (!m_requestedFields.contains(name)) {
      AddError(name, field.value(), kNoSuchField);
    }
  }
}

std::string
SettingsReader::PathOf(std::string_view aName) const
{
  return m_path + "." + std::string(aName);
}

const boost::json::value*
SettingsReader::OptionalValue(std::string_view aName)
{
  m_requestedFields.emplace(aName);
  if (m_object == nullptr) {
    return nullptr;
  }
  return m_object->if_contains({ aName.data(), aName.size() });
}

void
SettingsReader::AddError(std::string_view aName,
                         const boost::json::value& aValue,
                         std::string_view aExpected)
{
  m_errors.m_errors.push_back(
    { PathOf(aName), FormatValue(aValue), std::string(aExpected) });
}

void
SettingsReader::AddMissingError(std::string_view aName,
                                std::string_view aExpected)
{
  if (m_object == nullptr) {
    return;
  }
  m_errors.m_errors.push_back(
    { PathOf(aName), "(missing)", std::string(aExpected) });
}

std::string
SettingsReader::Text(std::string_view aName)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    AddMissingError(aName, "a non-empty string");
    return {};
  }
  if (!value->is_string() || value->get_string().empty()) {
    AddError(aName, *value, "a non-empty string");
    return {};
  }
  return std::string(value->get_string());
}

std::string
SettingsReader::AnyText(std::string_view aName)
{
  if (OptionalValue(aName) == nullptr) {
    AddMissingError(aName, "a string");
    return {};
  }
  return TextOr(aName, "");
}

std::string
SettingsReader::TextOr(std::string_view aName, std::string_view aDefault)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    AddError(aName, *value, "a string");
    return std::string(aDefault);
  }
  return std::string(value->get_string());
}

int64_t
SettingsReader::Integer(std::string_view aName, Range aRange)
{
  if (OptionalValue(aName) == nullptr) {
    AddMissingError(aName, FormatRange("an integer", aRange));
    return aRange.m_min;
  }
  return IntegerOr(aName, aRange, aRange.m_min);
}

int64_t
SettingsReader::IntegerOr(std::string_view aName,
                          Range aRange,
                          int64_t aDefault)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto number = value->to_number<int64_t>(error);
  if (!value->is_number() || value->is_double() || error ||
      number < aRange.m_min || number > aRange.m_max) {
    AddError(aName, *value, FormatRange("an integer", aRange));
    return aDefault;
  }
  return number;
}

double
SettingsReader::NumberOr(std::string_view aName,
                         double aMin,
                         double aMax,
                         double aDefault)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const double number =
    value->is_number() ? value->to_number<double>(error) : 0;
  if (!value->is_number() || error || number < aMin || number > aMax) {
    AddError(aName,
             *value,
             "a number from " + std::to_string(aMin) + " to " +
               std::to_string(aMax));
    return aDefault;
  }
  return number;
}

bool
SettingsReader::FlagOr(std::string_view aName, bool aDefault)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    AddError(aName, *value, "true or false");
    return aDefault;
  }
  return value->get_bool();
}

core::Duration
SettingsReader::MillisecondsOr(std::string_view aName,
                               Range aRange,
                               core::Duration aDefault)
{
  const auto fallback =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDefault);
  return std::chrono::milliseconds(IntegerOr(aName, aRange, fallback.count()));
}

size_t
SettingsReader::ChoiceOr(std::string_view aName,
                         std::span<const std::string_view> aChoices,
                         size_t aDefault)
{
  const boost::json::value* value = OptionalValue(aName);
  if (value == nullptr) {
    return aDefault;
  }
  const std::string_view text =
    value->is_string()
      ? std::string_view(value->get_string().data(), value->get_string().size())
      : std::string_view();
  const auto found = std::ranges::find(aChoices, text);
  if (found != aChoices.end()) {
    return static_cast<size_t>(found - aChoices.begin());
  }
  std::string expected = "one of";
  for (const std::string_view choice : aChoices) {
    expected += " \"" + std::string(choice) + "\"";
  }
  AddError(aName, *value, expected);
  return aDefault;
}

std::vector<std::string>
SettingsReader::OptionalTexts(std::string_view aName)
{
  std::vector<std::string> texts;
  ForEach(aName,
          [&](const boost::json::value& aElement, std::string_view aPath) {
            if (aElement.is_string()) {
              texts.emplace_back(aElement.get_string());
              return;
            }
            m_errors.m_errors.push_back(
              { std::string(aPath), FormatValue(aElement), "a string" });
          });
  return texts;
}

} // namespace heatherdeal::kernel
