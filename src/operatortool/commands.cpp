#include "operatortool/commands.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "configuration/documentjson.h"
#include "http/exchange.h"
#include "operatortool/explain.h"
#include "operatortool/storecalls.h"

namespace heatherdeal::operatortool {

namespace {

constexpr core::Duration kCallTime = std::chrono::seconds(5);
constexpr uint32_t kOk = 200;

ToolExit
Fail(ToolExit aExit, const core::Failure& aFailure)
{
  std::cerr << "heatherdealctl: " << core::Describe(aFailure) << '\n';
  return aExit;
}

ToolExit
FailStatus(const absl::Status& aStatus)
{
  const core::Failure failure = http::FailureOf(aStatus);
  const bool conflict = std::holds_alternative<core::VersionConflict>(failure);
  return Fail(conflict ? ToolExit::Conflict : ToolExit::Unreachable, failure);
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
ReadFile(std::string_view aFile)
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
  const std::optional<std::string> text = ReadFile(aFile);
  if (!text) {
    return Fail(ToolExit::Invalid, core::NotFound{ std::string(aFile) });
  }
  configuration::ParsedDocument parsed = configuration::ParseDocument(*text);
  if (!parsed.m_errors.empty()) {
    return PrintErrors(parsed.m_errors);
  }
  return std::move(parsed.m_document);
}

/// Prints the names in aItems that are missing from aOthers.
template<typename Item>
void
PrintNames(std::string_view aSign,
           std::string_view aKind,
           std::span<const Item> aItems,
           std::span<const Item> aOthers)
{
  for (const Item& item : aItems) {
    const bool known =
      std::ranges::find(aOthers, item.m_name, &Item::m_name) != aOthers.end();
    if (!known) {
      std::cout << aSign << ' ' << aKind << ' ' << item.m_name.m_value << '\n';
    }
  }
}

template<typename Item>
void
PrintDifference(std::string_view aKind,
                std::span<const Item> aOld,
                std::span<const Item> aNew)
{
  PrintNames("-", aKind, aOld, aNew);
  PrintNames("+", aKind, aNew, aOld);
}

/// Returns the document as JSON with its generation replaced, so that documents
/// compare equal apart from their generation.
std::string
TextAs(configuration::Document aDocument, uint64_t aGeneration)
{
  aDocument.m_generation = aGeneration;
  return configuration::ToJson(aDocument);
}

ToolExit
RunTyped(const CheckCommand& aCommand)
{
  const LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  const auto& document = std::get<configuration::Document>(loaded);
  std::cout << "valid: " << document.m_services.size() << " services, "
            << document.m_jobs.size() << " jobs\n";
  return ToolExit::Ok;
}

ToolExit
RunTyped(const ShowCommand& aCommand)
{
  tools::BlockingClient client;
  const auto stored = ReadStored(client, aCommand.m_store);
  if (!stored.ok()) {
    return FailStatus(stored.status());
  }
  std::cout << stored->m_text << '\n';
  return ToolExit::Ok;
}

ToolExit
RunTyped(const DiffCommand& aCommand)
{
  const LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  const auto& offered = std::get<configuration::Document>(loaded);
  tools::BlockingClient client;
  const auto stored = ReadStored(client, aCommand.m_store);
  if (!stored.ok()) {
    return FailStatus(stored.status());
  }
  const configuration::Document current =
    configuration::ParseDocument(stored->m_text).m_document;
  if (TextAs(offered, 0) == TextAs(current, 0)) {
    std::cout << "no difference\n";
    return ToolExit::Ok;
  }
  PrintDifference<configuration::Service>(
    "service", current.m_services, offered.m_services);
  PrintDifference<configuration::Job>("job", current.m_jobs, offered.m_jobs);
  std::cout << "stored:  " << TextAs(current, 0) << '\n';
  std::cout << "offered: " << TextAs(offered, 0) << '\n';
  return ToolExit::Differs;
}

ToolExit
RunTyped(const ApplyCommand& aCommand)
{
  LoadedDocument loaded = LoadDocument(aCommand.m_file);
  if (const ToolExit* exit = std::get_if<ToolExit>(&loaded)) {
    return *exit;
  }
  auto& offered = std::get<configuration::Document>(loaded);
  tools::BlockingClient client;
  const auto stored = ReadStored(client, aCommand.m_store);
  if (!stored.ok()) {
    return FailStatus(stored.status());
  }
  const configuration::Document current =
    configuration::ParseDocument(stored->m_text).m_document;
  if (aCommand.m_expectedGeneration &&
      *aCommand.m_expectedGeneration != current.m_generation) {
    return Fail(ToolExit::Conflict,
                core::VersionConflict{ *aCommand.m_expectedGeneration,
                                       current.m_generation });
  }
  const auto errors = configuration::ValidateChange(current, offered);
  if (!errors.empty()) {
    return PrintErrors(errors);
  }
  // After a deletion no stored generation exists; a higher generation in the
  // file keeps generations increasing.
  offered.m_generation =
    std::max(current.m_generation + 1, offered.m_generation);
  const auto written = WriteStored(client,
                                   aCommand.m_store,
                                   stored->m_version,
                                   configuration::ToJson(offered));
  if (!written.ok()) {
    return FailStatus(written.status());
  }
  std::cout << "generation " << offered.m_generation << " accepted\n";
  return ToolExit::Ok;
}

ToolExit
RunTyped(const DumpCommand& aCommand)
{
  tools::BlockingClient client;
  http::Request request;
  request.m_target = "/dump";
  request.m_headers.push_back(
    { "X-Heatherdeal-Operator-Token", aCommand.m_operatorToken });
  const absl::StatusOr<http::Answer> answer = client.Call(
    aCommand.m_process, std::move(request), kernel::Now() + kCallTime);
  if (!answer.ok()) {
    return FailStatus(answer.status());
  }
  std::cout << answer->m_body << '\n';
  return answer->m_head.m_status == kOk ? ToolExit::Ok : ToolExit::Unreachable;
}

ToolExit
RunTyped(const ExplainCommand& aCommand)
{
  std::vector<std::string> logs;
  for (const std::string& file : aCommand.m_files) {
    std::optional<std::string> text = ReadFile(file);
    if (!text) {
      return Fail(ToolExit::Invalid,
                  core::InvalidSetting{ "FILE", file, "a readable file" });
    }
    logs.push_back(*std::move(text));
  }
  const std::vector<boost::json::object> story =
    CollectStory(aCommand.m_id, logs);
  for (const boost::json::object& event : story) {
    std::cout << ToLine(event) << '\n';
  }
  return story.empty() ? ToolExit::NotFound : ToolExit::Ok;
}

} // namespace

ToolExit
Run(const Command& aCommand)
{
  return std::visit([](const auto& aTyped) { return RunTyped(aTyped); },
                    aCommand);
}

} // namespace heatherdeal::operatortool
