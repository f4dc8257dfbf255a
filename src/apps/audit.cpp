#include <fstream>
#include <iostream>
#include <iterator>

#include "cxxopts.hpp"

#include "audit/audit.h"
#include "kernel/json.h"

namespace heatherdeal::audit {

namespace {

constexpr int kUsageError = 2;
constexpr int kInvalidSettings = 3;

std::vector<core::Endpoint>
ParseEndpoints(kernel::SettingsReader& aReader, std::string_view aName)
{
  std::vector<core::Endpoint> endpoints;
  aReader.ForEach(
    aName, [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      core::Endpoint peer;
      peer.m_address = element.TextOr("address", "127.0.0.1");
      peer.m_port =
        static_cast<uint16_t>(element.Integer("port", { 1, 65535 }));
      endpoints.push_back(std::move(peer));
    });
  return endpoints;
}

AuditSettings
ParseAuditSettings(kernel::SettingsReader& aReader)
{
  AuditSettings settings;
  settings.m_deployment = aReader.Text("deployment");
  settings.m_trainers = ParseEndpoints(aReader, "trainers");
  settings.m_callers = ParseEndpoints(aReader, "callers");
  settings.m_plainServices = ParseEndpoints(aReader, "plain_services");
  settings.m_engines = ParseEndpoints(aReader, "engines");
  settings.m_timeLimit =
    aReader.MillisecondsOr("limit_ms", { 1, 3'600'000 }, settings.m_timeLimit);
  return settings;
}

int
RunAuditFromFile(std::string_view aFile)
{
  std::ifstream stream{ std::string(aFile) };
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  const auto settings =
    kernel::ParseMessage<AuditSettings>(text, "$", ParseAuditSettings);
  if (!settings.ok()) {
    std::cerr << "heatherdeal-audit: " << settings.status() << '\n';
    return kInvalidSettings;
  }
  return RunAudit(*settings);
}

} // namespace

} // namespace heatherdeal::audit

int
main(int aArgc, char** aArgv)
{
  cxxopts::Options options(
    "heatherdeal-audit", "Checks what the stand-ins of a deployment observed");
  options.add_options()("h,help", "print this help")(
    "settings", "settings file in JSON", cxxopts::value<std::string>(), "FILE");
  try {
    const cxxopts::ParseResult parsed = options.parse(aArgc, aArgv);
    if (parsed.count("help") > 0 || parsed.count("settings") == 0) {
      std::cout << options.help() << '\n';
      return parsed.count("help") > 0 ? 0 : heatherdeal::audit::kUsageError;
    }
    return heatherdeal::audit::RunAuditFromFile(
      parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heatherdeal-audit: " << error.what() << '\n';
    return heatherdeal::audit::kUsageError;
  }
}
