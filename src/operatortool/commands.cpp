#include "operatortool/commands.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "configuration/documentjson.h"
#include "configuration/documentwarnings.h"
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

/// Prints the names in aItems that are missing from aOtherItems.
template<typename Item>
void
PrintMissingNames(std::string_view aPrefix,
                  std::string_view aKind,
                  std::span<const Item> aItems,
                  std::span<const Item> aOtherItems)
{
  for (const Item& item : aItems) {
    const bool isKnown =
      std::ranges::find(aOtherItems, item.m_name, &Item::m_name) !=
      aOtherItems.end();
    if (!isKnown) {
      std::cout << aPrefix << ' ' << aKind << ' ' << item.m_name.m_value
                << '\n';
    }
  }
}

template<typename Item>
void
PrintDifference(std::string_view aKind,
                std::span<const Item> aOld,
                std::span<const Item> aNew)
{
  PrintMissingNames("-", aKind, aOld, aNew);
  PrintMissingNames("+", aKind, aNew, aOld);
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

/// Prints the customers of both documents whose keys differ, without the keys.
void
PrintChangedKeys(std::span<const configuration::Customer> aOld,
                 std::span<const configuration::Customer> aNew)
{
  for (const configuration::Customer& customer : aNew) {
    const auto old = std::ranges::find(
      aOld, customer.m_name, &configuration::Customer::m_name);
    if (old != aOld.end() && old->m_keys != customer.m_keys) {
      std::cout << "~ customer " << customer.m_name.m_value << ": other keys, "
                << old->m_keys.size() << " before, " << customer.m_keys.size()
                << " now\n";
    }
  }
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
  PrintDifference<configuration::Service>(
    "service", current.m_services, newDocument.m_services);
  PrintDifference<configuration::Job>(
    "job", current.m_jobs, newDocument.m_jobs);
  PrintDifference<configuration::Customer>(
    "customer", current.m_customers, newDocument.m_customers);
  PrintChangedKeys(current.m_customers, newDocument.m_customers);
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
