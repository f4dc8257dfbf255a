#include "operatortool/commands.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "boost/json/parse.hpp"
#include "boost/json/serialize.hpp"

#include "configuration/documentjson.h"
#include "configuration/documentwarnings.h"
#include "configuration/itemdifference.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "operatortool/explain.h"
#include "operatortool/storecalls.h"

namespace heatherdeal::operatortool {

namespace {

constexpr core::Duration kRequestTimeout = std::chrono::seconds(5);
constexpr uint32_t kHttpOk = 200;

ToolExit
PrintFailure(ToolExit aExit, const core::Failure& aFailure)
{
  std::cerr << "heatherdealctl: " << core::Describe(aFailure) << '\n';
  return aExit;
}

ToolExit
PrintFailedStatus(const absl::Status& aStatus)
{
  const core::Failure failure = http::FailureOf(aStatus);
  const bool conflict = std::holds_alternative<core::VersionConflict>(failure);
  return PrintFailure(conflict ? ToolExit::Conflict : ToolExit::Unreachable,
                      failure);
}

ToolExit
PrintErrors(std::span<const core::InvalidSetting> aErrors)
{
  for (const core::InvalidSetting& error : aErrors) {
    std::cerr << "heatherdealctl: " << error.m_path << ": found "
              << error.m_value << ", expected " << error.m_expected << '\n';
  }
  return ToolExit::Invalid;
}

std::optional<std::string>
ReadFileOrStdin(std::string_view aFile)
{
  if (aFile == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream stream{ std::string(aFile) };
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

/// The document of a file, or the exit code after its errors were printed.
using LoadedDocument = std::variant<configuration::Document, ToolExit>;

LoadedDocument
LoadDocument(std::string_view aFile)
{
  const std::optional<std::string> text = ReadFileOrStdin(aFile);
  if (!text) {
    return PrintFailure(ToolExit::Invalid,
                        core::NotFound{ std::string(aFile) });
  }
  configuration::ParsedDocument parsed = configuration::ParseDocument(*text);
  if (!parsed.m_errors.empty()) {
    return PrintErrors(parsed.m_errors);
  }
  return std::move(parsed.m_document);
}

/// Returns the elements of an array of the document as JSON.
std::vector<configuration::DocumentItem>
ListItems(const configuration::Document& aDocument, std::string_view aArray)
{
  const boost::json::value value =
    boost::json::parse(configuration::ToJson(aDocument));
  const boost::json::value* array = value.as_object().if_contains(aArray);
  std::vector<configuration::DocumentItem> items;
  if (array == nullptr) {
    return items;
  }
  for (const boost::json::value& element : array->as_array()) {
    configuration::DocumentItem item;
    item.m_name = std::string(element.at("name").as_string());
    item.m_content = boost::json::serialize(element);
    if (const auto* keys = element.as_object().if_contains("keys")) {
      item.m_summary = std::to_string(keys->as_array().size()) + " keys";
    }
    items.push_back(std::move(item));
  }
  return items;
}

std::string
InBrackets(std::string_view aText)
{
  return aText.empty() ? "" : " (" + std::string(aText) + ")";
}

/// Prints the differences of the documents in one of their arrays.
void
PrintDifference(std::string_view aKind,
                std::string_view aArray,
                const configuration::Document& aOld,
                const configuration::Document& aNew)
{
  for (const configuration::ItemDifference& difference :
       configuration::CompareItems(ListItems(aOld, aArray),
                                   ListItems(aNew, aArray))) {
    std::visit(core::Overloaded{
                 [&](const configuration::ItemRemoved& aItem) {
                   std::cout << "- " << aKind << ' ' << aItem.m_name
                             << InBrackets(aItem.m_summary) << '\n';
                 },
                 [&](const configuration::ItemAdded& aItem) {
                   std::cout << "+ " << aKind << ' ' << aItem.m_name
                             << InBrackets(aItem.m_summary) << '\n';
                 },
                 [&](const configuration::ItemChanged& aItem) {
                   std::cout << "~ " << aKind << ' ' << aItem.m_name
                             << InBrackets(aItem.m_oldSummary);
                   if (!aItem.m_newSummary.empty()) {
                     std::cout << " ->" << InBrackets(aItem.m_newSummary);
                   }
                   std::cout << '\n';
                 } },
               difference);
  }
}

/// Returns the document as JSON with its generation replaced, so that documents
/// compare equal apart from their generation.
std::string
ToJsonWithGeneration(configuration::Document aDocument, uint64_t aGeneration)
{
  aDocument.m_generation = aGeneration;
  return configuration::ToJson(aDocument);
}

/// Returns the document as JSON without its generation and without keys.
std::string
ToPrintableJson(configuration::Document aDocument)
{
  aDocument.m_generation = 0;
  return configuration::ToJsonWithoutKeys(aDocument);
}

ToolExit
Execute(const CheckCommand& aCommand)
{
  const LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  const auto& document = std::get<configuration::Document>(loaded);
  std::cout << "valid: " << document.m_services.size() << " services, "
            << document.m_jobs.size() << " jobs\n";
  for (const configuration::DocumentWarning& warning :
       configuration::FindWarnings(document)) {
    std::cout << "warning: " << warning.m_path << ' ' << warning.m_text << '\n';
  }
  return ToolExit::Ok;
}

ToolExit
Execute(const ShowCommand& aCommand)
{
  tools::BlockingClient client;
  const auto stored = ReadStoredDocument(client, aCommand.m_store);
  if (!stored.ok()) {
    return PrintFailedStatus(stored.status());
  }
  std::cout << stored->m_text << '\n';
  return ToolExit::Ok;
}

ToolExit
Execute(const DiffCommand& aCommand)
{
  const LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  const auto& newDocument = std::get<configuration::Document>(loaded);
  tools::BlockingClient client;
  const auto stored = ReadStoredDocument(client, aCommand.m_store);
  if (!stored.ok()) {
    return PrintFailedStatus(stored.status());
  }
  const configuration::Document current =
    configuration::ParseDocument(stored->m_text).m_document;
  if (ToJsonWithGeneration(newDocument, 0) ==
      ToJsonWithGeneration(current, 0)) {
    std::cout << "no difference\n";
    return ToolExit::Ok;
  }
  PrintDifference("service", "services", current, newDocument);
  PrintDifference("job", "jobs", current, newDocument);
  PrintDifference("route", "routes", current, newDocument);
  PrintDifference("customer", "customers", current, newDocument);
  std::cout << "stored:  " << ToPrintableJson(current) << '\n';
  std::cout << "offered: " << ToPrintableJson(newDocument) << '\n';
  return ToolExit::Differs;
}

ToolExit
Execute(const ApplyCommand& aCommand)
{
  LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  auto& newDocument = std::get<configuration::Document>(loaded);
  tools::BlockingClient client;
  const auto stored = ReadStoredDocument(client, aCommand.m_store);
  if (!stored.ok()) {
    return PrintFailedStatus(stored.status());
  }
  const configuration::Document current =
    configuration::ParseDocument(stored->m_text).m_document;
  if (aCommand.m_expectedGeneration &&
      *aCommand.m_expectedGeneration != current.m_generation) {
    return PrintFailure(ToolExit::Conflict,
                        core::VersionConflict{ *aCommand.m_expectedGeneration,
                                               current.m_generation });
  }
  const auto errors = configuration::ValidateChange(current, newDocument);
  if (!errors.empty()) {
    return PrintErrors(errors);
  }
  // After a deletion no stored generation exists; a higher generation in the
  // file keeps generations increasing.
  newDocument.m_generation =
    std::max(current.m_generation + 1, newDocument.m_generation);
  const auto written =
    ReplaceStoredDocument(client,
                          aCommand.m_store,
                          stored->m_version,
                          configuration::ToJson(newDocument));
  if (!written.ok()) {
    return PrintFailedStatus(written.status());
  }
  std::cout << "generation " << newDocument.m_generation << " accepted\n";
  return ToolExit::Ok;
}

ToolExit
Execute(const DumpCommand& aCommand)
{
  tools::BlockingClient client;
  http::Request request;
  request.m_target = "/dump";
  request.m_headers.push_back(
    { "X-Heatherdeal-Operator-Token", aCommand.m_operatorToken });
  const absl::StatusOr<http::Response> response = client.Call(
    aCommand.m_process, std::move(request), kernel::Now() + kRequestTimeout);
  if (!response.ok()) {
    return PrintFailedStatus(response.status());
  }
  std::cout << response->m_body << '\n';
  return response->m_head.m_status == kHttpOk ? ToolExit::Ok
                                              : ToolExit::Unreachable;
}

ToolExit
Execute(const ExplainCommand& aCommand)
{
  std::vector<std::string> logs;
  for (const std::string& file : aCommand.m_files) {
    std::optional<std::string> text = ReadFileOrStdin(file);
    if (!text) {
      return PrintFailure(
        ToolExit::Invalid,
        core::InvalidSetting{ "FILE", file, "a readable file" });
    }
    logs.push_back(*std::move(text));
  }
  const std::vector<boost::json::object> events =
    CollectRelatedEvents(aCommand.m_id, logs);
  for (const boost::json::object& event : events) {
    std::cout << FormatEvent(event) << '\n';
  }
  return events.empty() ? ToolExit::NotFound : ToolExit::Ok;
}

} // namespace

ToolExit
RunCommand(const Command& aCommand)
{
  return std::visit(
    [](const auto& aAlternative) { return Execute(aAlternative); }, aCommand);
}

} // namespace heatherdeal::operatortool
